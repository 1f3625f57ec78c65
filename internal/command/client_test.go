package command

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// server answers its calls in turn with the given behaviours and counts them.
type server struct {
	calls      atomic.Int64
	behaviours []http.HandlerFunc
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := int(s.calls.Add(1))
	s.behaviours[min(call, len(s.behaviours))-1](w, r)
}

func answers(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

// loses runs the call and drops the connection instead of answering.
func loses(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuses(code failure.Code, notRun failure.NotRun) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f := failure.Ran(code, notRun, nil, "told to")
		w.WriteHeader(f.HTTPStatus())
		_ = json.NewEncoder(w).Encode(api.ErrorBody{Code: code, Message: f.Error(), NotRun: notRun})
	}
}

// A caller names two instances. One may be gone, lose an answer or refuse. The
// call goes to the other only where that cannot run it twice, and a refusal by
// the second never hides that the first may have run it.
func TestSend(t *testing.T) {
	notReady := refuses(failure.NotReady, failure.NotRunTrue)
	tests := map[string]struct {
		first, second []http.HandlerFunc
		firstGone     bool
		repeatable    bool
		want          failure.Code
		notRun        failure.NotRun
		calls         [2]int64
	}{
		"answered":                        {first: []http.HandlerFunc{answers}, second: []http.HandlerFunc{answers}, calls: [2]int64{1, 0}},
		"first is gone":                   {firstGone: true, second: []http.HandlerFunc{answers}, calls: [2]int64{0, 1}},
		"refused, not run":                {first: []http.HandlerFunc{notReady}, second: []http.HandlerFunc{answers}, calls: [2]int64{1, 1}},
		"lost answer, no key":             {first: []http.HandlerFunc{loses}, second: []http.HandlerFunc{answers}, want: failure.OutcomeUnknown, notRun: failure.NotRunUnknown, calls: [2]int64{1, 0}},
		"lost answer, key":                {first: []http.HandlerFunc{loses}, second: []http.HandlerFunc{answers}, repeatable: true, calls: [2]int64{1, 1}},
		"lost answer, then first answers": {first: []http.HandlerFunc{loses, answers}, second: []http.HandlerFunc{notReady}, repeatable: true, calls: [2]int64{2, 1}},
		"lost answer, then not ready":     {first: []http.HandlerFunc{loses, notReady}, second: []http.HandlerFunc{notReady}, repeatable: true, want: failure.OutcomeUnknown, notRun: failure.NotRunUnknown},
		"conflict is final":               {first: []http.HandlerFunc{refuses(failure.Conflict, failure.NotRunTrue)}, second: []http.HandlerFunc{answers}, repeatable: true, want: failure.Conflict, notRun: failure.NotRunTrue, calls: [2]int64{1, 0}},
		"overload is told to the caller":  {first: []http.HandlerFunc{refuses(failure.Overloaded, failure.NotRunTrue)}, second: []http.HandlerFunc{answers}, want: failure.Overloaded, notRun: failure.NotRunTrue, calls: [2]int64{1, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := &server{behaviours: test.first}, &server{behaviours: test.second}
			one, two := httptest.NewServer(first), httptest.NewServer(second)
			defer two.Close()
			defer one.Close()
			if test.firstGone {
				one.Close()
			}
			c, err := newClient(strings.Join([]string{one.URL, two.URL}, ","), "", "", 300*time.Millisecond)
			is.NoErr(err)
			text, err := c.send(context.Background(), &exchange{method: http.MethodPost, path: "/x", repeatable: test.repeatable})
			if test.want == "" {
				is.NoErr(err)
				is.Equal(string(text), "done")
			} else {
				is.Equal(failure.From(err).Code, test.want)
				is.Equal(failure.From(err).NotRun, test.notRun)
			}
			if test.calls != [2]int64{} {
				is.Equal([2]int64{first.calls.Load(), second.calls.Load()}, test.calls)
			}
		})
	}
}

// The same name with other files is another apply: it must not get the outcome
// of the first.
func TestClientName(t *testing.T) {
	is := is.New(t)
	a, b := parsed(t, "[customer a]\n"), parsed(t, "[customer b]\n")
	is.Equal(clientName(a, "night"), clientName(a, "night"))
	is.True(clientName(a, "night") != clientName(b, "night"))
	is.True(clientName(a, "night") != clientName(a, "day"))
	unnamed := clientName(a, "")
	is.True(unnamed != clientName(a, ""))
}

func parsed(t *testing.T, text string) []*controlpb.Item {
	items, err := declaration.Parse("f", []byte(text))
	is.New(t).NoErr(err)
	return items
}
