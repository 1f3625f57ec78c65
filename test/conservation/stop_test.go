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

// slowDelay is the service time of slowMinion.
const slowDelay = 800 * time.Millisecond

type reply struct {
	status int
	close  bool
	text   string
	err    error
}

// The services of these tests. The stall of a heldOrder request is longer than the time
// limit of any stop in these tests, so that only that limit can end the request.
const (
	cutOrder  = "cut-order"
	heldOrder = "held-order"
	stallTime = 50 * time.Second
)

func sendOrder(url, service, key string) reply {
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

// startSlowRequest starts one instance and one minion, and sends a request that has
// reached the minion when the function returns.
func startSlowRequest(t *testing.T, stop, service string, options standin.MinionOptions) (*process.Instance, <-chan reply) {
	i := startInstances(t, 1, stop)[0]
	minion := startMinion(t, []*process.Instance{i}, options)
	process.Await(t, "minion", func() bool { return sendOrder(i.URL, service, "first").status == http.StatusOK })
	slow := make(chan reply, 1)
	go func() { slow <- sendOrder(i.URL, service, "slow") }()
	process.Await(t, "order at the minion", func() bool { return minion.Runs()["crews/slow"] == 1 })
	return i, slow
}

// A graceful stop must not abort requests in flight, and requests that arrive before the
// instance ends are still answered.
func TestStopCutsOffNothing(t *testing.T) {
	is := is.New(t)
	i, slow := startSlowRequest(t, "notice = 1s\ngrace = 20s\n", cutOrder, slowMinion())
	is.NoErr(i.Command.Process.Signal(syscall.SIGTERM))
	process.Await(t, "not ready", func() bool { return !i.Ready() })
	again := sendOrder(i.URL, cutOrder, "again")
	is.NoErr(again.err)
	is.Equal(again.status, http.StatusOK)
	is.True(again.close)
	first := <-slow
	is.NoErr(first.err)
	is.Equal(first.status, http.StatusOK)
	is.True(strings.HasSuffix(first.text, "crews/slow: ash\n"))
	<-i.Exited
	is.Equal(i.Command.ProcessState.ExitCode(), 0)
	is.True(sendOrder(i.URL, cutOrder, "late").err != nil)

	// The last outcomes are in the log: a resend after a restart returns them.
	i.Start(t)
	process.Await(t, "restart", i.Ready)
	for _, key := range []string{"slow", "again"} {
		body := api.ErrorBody{}
		is.NoErr(json.Unmarshal([]byte(sendOrder(i.URL, cutOrder, key).text), &body))
		is.Equal(body.Code, failure.AnswerGone)
		is.Equal(body.NotRun, failure.NotRunFalse)
	}
}

// A request that exceeds the grace period must get the answer outcome_unknown instead of
// a closed connection.
func TestStopAtItsBound(t *testing.T) {
	for name, stop := range map[string]string{
		"grace over":    "notice = 10ms\ngrace = 50ms\n",
		"second signal": "notice = 1h\ngrace = 1h\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i, slow := startSlowRequest(t, stop, heldOrder, standin.MinionOptions{StallEvery: 2, Stall: stallTime})
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
