package httpapi

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A large answer is truncated while it streams to the caller. Its status has been sent,
// so only the aborted connection can report it: the caller must get an error and never a
// short answer that appears complete.
func TestTruncatedStreamIsAnErrorForTheCaller(t *testing.T) {
	truncated := failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, nil, "cut")
	cases := []struct {
		name     string
		length   int64
		answer   *api.Answer
		err      error
		complete bool
	}{
		{"complete, length known", 3, &api.Answer{}, nil, true},
		{"complete, in chunks", -1, &api.Answer{}, nil, true},
		{"truncated, length known", 9, &api.Answer{TruncationErr: truncated}, nil, false},
		{"truncated, in chunks", -1, &api.Answer{TruncationErr: truncated}, nil, false},
		{"deadline while streaming", -1, nil, truncated, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sink := &answerSink{w: w, request: &routing.Request{Key: "order-7"}}
				body, ok := sink.Begin(&api.Answer{Status: http.StatusOK, Length: c.length})
				_, again := sink.Begin(&api.Answer{})
				is.True(ok && !again)
				_, _ = body.Write([]byte("ash"))
				is.Equal(sink.closeUnlessStarted(), false)
				sink.finish(c.answer, c.err)
				_, err := body.Write([]byte("late"))
				is.True(err != nil)
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			if err != nil {
				is.Equal(c.complete, false)
				return
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			is.Equal(err == nil, c.complete)
			is.True(!c.complete || string(text) == "ash")
		})
	}
}
