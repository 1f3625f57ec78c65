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

// server handles its calls in turn with the given behaviours, repeating the last, and
// counts them.
type server struct {
	calls      atomic.Int64
	behaviours []http.HandlerFunc
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := int(s.calls.Add(1))
	s.behaviours[min(call, len(s.behaviours))-1](w, r)
}

func respond(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

// dropConnection runs the call and drops the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(code failure.Code, notRun failure.NotRun) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f := failure.Ran(code, notRun, nil, "told to")
		w.WriteHeader(f.HTTPStatus())
		_ = json.NewEncoder(w).Encode(api.ErrorBody{Code: code, Message: f.Error(), NotRun: notRun})
	}
}

// The client has two instances. The first may be down, drop the connection before its
// response, or refuse. Guards against sending the call to the second where that could
// run it twice, and against reporting the second's refusal although the first may have
// run the call.
func TestSend(t *testing.T) {
	notReady := refuse(failure.NotReady, failure.NotRunTrue)
	tests := map[string]struct {
		first, second []http.HandlerFunc
		firstDown     bool
		idempotent    bool
		want          failure.Code
		notRun        failure.NotRun
		calls         [2]int64
	}{
		"answered":                        {first: []http.HandlerFunc{respond}, second: []http.HandlerFunc{respond}, calls: [2]int64{1, 0}},
		"first is gone":                   {firstDown: true, second: []http.HandlerFunc{respond}, calls: [2]int64{0, 1}},
		"refused, not run":                {first: []http.HandlerFunc{notReady}, second: []http.HandlerFunc{respond}, calls: [2]int64{1, 1}},
		"lost answer, no key":             {first: []http.HandlerFunc{dropConnection}, second: []http.HandlerFunc{respond}, want: failure.OutcomeUnknown, notRun: failure.NotRunUnknown, calls: [2]int64{1, 0}},
		"lost answer, key":                {first: []http.HandlerFunc{dropConnection}, second: []http.HandlerFunc{respond}, idempotent: true, calls: [2]int64{1, 1}},
		"lost answer, then first answers": {first: []http.HandlerFunc{dropConnection, respond}, second: []http.HandlerFunc{notReady}, idempotent: true, calls: [2]int64{2, 1}},
		"lost answer, then not ready":     {first: []http.HandlerFunc{dropConnection, notReady}, second: []http.HandlerFunc{notReady}, idempotent: true, want: failure.OutcomeUnknown, notRun: failure.NotRunUnknown},
		"conflict is final":               {first: []http.HandlerFunc{refuse(failure.Conflict, failure.NotRunTrue)}, second: []http.HandlerFunc{respond}, idempotent: true, want: failure.Conflict, notRun: failure.NotRunTrue, calls: [2]int64{1, 0}},
		"overload is reported":            {first: []http.HandlerFunc{refuse(failure.Overloaded, failure.NotRunTrue)}, second: []http.HandlerFunc{respond}, want: failure.Overloaded, notRun: failure.NotRunTrue, calls: [2]int64{1, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := &server{behaviours: test.first}, &server{behaviours: test.second}
			one, two := httptest.NewServer(first), httptest.NewServer(second)
			defer two.Close()
			defer one.Close()
			if test.firstDown {
				one.Close()
			}
			c, err := newClient(strings.Join([]string{one.URL, two.URL}, ","), "", "", 300*time.Millisecond)
			is.NoErr(err)
			text, err := c.send(context.Background(), &apiCall{method: http.MethodPost, path: "/x", idempotent: test.idempotent})
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

// Guards against an apply that gets the outcome of an earlier one with the same name but
// other files.
func TestClientName(t *testing.T) {
	is := is.New(t)
	a, b := parseItems(t, "[customer a]\n"), parseItems(t, "[customer b]\n")
	is.Equal(clientName(a, "night"), clientName(a, "night"))
	is.True(clientName(a, "night") != clientName(b, "night"))
	is.True(clientName(a, "night") != clientName(a, "day"))
	unnamed := clientName(a, "")
	is.True(unnamed != clientName(a, ""))
}

func parseItems(t *testing.T, text string) []*controlpb.Item {
	items, err := declaration.Parse("f", []byte(text))
	is.New(t).NoErr(err)
	return items
}
