package conservation

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/standin"
	"pinewinch.example/pinewinch/test/process"
)

// slowTime is how long the minion of these tests takes.
const slowTime = 800 * time.Millisecond

type reply struct {
	status int
	close  bool
	text   string
	err    error
}

// The services of these tests; heldOrder's time outlasts every bound of a stop,
// so that nothing but the bound can end its request.
const (
	cutOrder  = "cut-order"
	heldOrder = "held-order"
	heldTime  = 50 * time.Second
)

func order(url, service, key string) reply {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/requests/"+service, strings.NewReader("ash"))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+process.Tokens["crews"])
	request.Header.Set(api.HeaderKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Close, string(text), err}
}

// startSlow starts one instance and one slow minion with one slot, and sends
// an order that is at the minion when it returns.
func startSlow(t *testing.T, stop, service string, options standin.MinionOptions) (*process.Instance, <-chan reply) {
	i := startInstances(t, 1, stop)[0]
	minion := startMinion(t, []*process.Instance{i}, options)
	process.Await(t, "minion", func() bool { return order(i.URL, service, "first").status == http.StatusOK })
	slow := make(chan reply, 1)
	go func() { slow <- order(i.URL, service, "slow") }()
	process.Await(t, "order at the minion", func() bool { return minion.Runs()["crews/slow"] == 1 })
	return i, slow
}

// A request cut off because its instance was told to stop.
func TestStopCutsOffNothing(t *testing.T) {
	is := is.New(t)
	i, slow := startSlow(t, "notice = 1s\ngrace = 20s\n", cutOrder, slowMinion())
	is.NoErr(i.Command.Process.Signal(syscall.SIGTERM))
	process.Await(t, "not ready", func() bool { return !i.Ready() })
	again := order(i.URL, cutOrder, "again")
	is.NoErr(again.err)
	is.Equal(again.status, http.StatusOK)
	is.True(again.close)
	first := <-slow
	is.NoErr(first.err)
	is.Equal(first.status, http.StatusOK)
	is.True(strings.HasSuffix(first.text, "crews/slow: ash\n"))
	<-i.Exited
	is.Equal(i.Command.ProcessState.ExitCode(), 0)
	is.True(order(i.URL, cutOrder, "late").err != nil)

	// The last outcomes are in the log: a resend after a restart finds them.
	i.Start(t)
	process.Await(t, "restart", i.Ready)
	for _, key := range []string{"slow", "again"} {
		body := api.ErrorBody{}
		is.NoErr(json.Unmarshal([]byte(order(i.URL, cutOrder, key).text), &body))
		is.Equal(body.Code, failure.AnswerGone)
		is.Equal(body.NotRun, failure.NotRunFalse)
	}
}

// A broken connection in place of an answer, for a request that outlasts the grace.
func TestStopAtItsBound(t *testing.T) {
	for name, stop := range map[string]string{
		"grace over":    "notice = 10ms\ngrace = 50ms\n",
		"second signal": "notice = 1h\ngrace = 1h\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i, slow := startSlow(t, stop, heldOrder, standin.MinionOptions{StallEvery: 2, Stall: heldTime})
			is.NoErr(i.Command.Process.Signal(syscall.SIGTERM))
			process.Await(t, "not ready", func() bool { return !i.Ready() })
			if name == "second signal" {
				is.NoErr(i.Command.Process.Signal(syscall.SIGTERM))
			}
			cut := <-slow
			is.NoErr(cut.err)
			body := api.ErrorBody{}
			is.NoErr(json.Unmarshal([]byte(cut.text), &body))
			is.Equal(body.Code, failure.OutcomeUnknown)
			is.Equal(body.NotRun, failure.NotRunUnknown)
			<-i.Exited
			is.Equal(i.Command.ProcessState.ExitCode(), 0)
		})
	}
}
