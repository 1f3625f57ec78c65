package httpapi

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// answerSink streams a large answer to the caller while it arrives. The exchange with the
// upstream may outlive the caller's handler, so the handler closes the sink before it
// returns: nothing is written to a response after that.
type answerSink struct {
	w       http.ResponseWriter
	request *routing.Request
	started atomic.Bool
	mu      sync.Mutex
	closed  bool
}

// Begin implements api.AnswerSink.
func (s *answerSink) Begin(answer *api.Answer) (io.Writer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.started.Load() {
		return nil, false
	}
	s.started.Store(true)
	if answer.Length >= 0 {
		s.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	writeAnswerHeader(s.w, s.request.Key, answer)
	return s, true
}

// Write writes a part of the body to the caller.
func (s *answerSink) Write(part []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, nil, "the caller's request has ended")
	}
	return s.w.Write(part)
}

// closeUnlessStarted closes the sink and reports true if no answer was started, so that
// another answer can be written to the response. It does not wait for a pending write.
func (s *answerSink) closeUnlessStarted() bool {
	if s.started.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = !s.started.Load()
	return s.closed
}

func (s *answerSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// finish ends a streamed answer. Its status has been sent, so a truncated answer is
// reported by aborting the connection before the last chunk or the declared length.
func (s *answerSink) finish(answer *api.Answer, err error) {
	complete := err == nil && answer.TruncationErr == nil
	if !complete {
		// A caller that does not read would block a pending write, and close with it.
		_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now())
	}
	s.close()
	if !complete {
		panic(http.ErrAbortHandler)
	}
}
