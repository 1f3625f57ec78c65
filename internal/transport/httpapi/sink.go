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

// answerSink passes a large answer on to the caller while it arrives. Sending
// may outlive the caller's handler, so the sink is closed with the handler:
// nothing is written to a response that is over.
type answerSink struct {
	w       http.ResponseWriter
	request *routing.Request
	begun   atomic.Bool
	mu      sync.Mutex
	closed  bool
}

// Begin implements api.AnswerSink.
func (s *answerSink) Begin(answer *api.Answer) (io.Writer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.begun.Load() {
		return nil, false
	}
	s.begun.Store(true)
	if answer.Length >= 0 {
		s.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	writeAnswerHeader(s.w, s.request.Key, answer)
	return s, true
}

// Write passes a part of the body on.
func (s *answerSink) Write(part []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, nil, "the caller no longer waits")
	}
	return s.w.Write(part)
}

// closeUnlessBegun makes the response free for another answer, unless a part of
// the large one is in it. It waits for no write.
func (s *answerSink) closeUnlessBegun() bool {
	if s.begun.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = !s.begun.Load()
	return s.closed
}

func (s *answerSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// finish ends a streamed answer. Its status has been sent; breaking the
// connection off, without the last chunk or short of the length, is what tells
// the caller of an answer that is cut.
func (s *answerSink) finish(answer *api.Answer, err error) {
	whole := err == nil && answer.Cut == nil
	if !whole {
		// A caller that reads nothing would hold a write, and with it close.
		_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now())
	}
	s.close()
	if !whole {
		panic(http.ErrAbortHandler)
	}
}
