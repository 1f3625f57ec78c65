package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// maxKeyLength limits the key that the control state stores for a caller, in bytes.
const maxKeyLength = 128

func (s *Server) request(w http.ResponseWriter, r *http.Request, customer string) {
	key := r.Header.Get(api.HeaderKey)
	if len(key) > maxKeyLength {
		writeError(w, failure.New(failure.BadRequest, "a key is at most %d bytes", maxKeyLength))
		return
	}
	body, err := readBody(r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := callerContext(r)
	defer cancel()
	request := &routing.Request{Customer: customer, Service: mux.Vars(r)["service"], Key: key, Body: body}
	sink := &answerSink{w: w, request: request}
	request.Sink = sink
	request.Accepted = func() { sendKeyEarly(w, r, request.Key) }
	answer, err := s.executor.Do(ctx, request)
	if !sink.closeUnlessStarted() {
		sink.finish(answer, err)
		return
	}
	reply(w, request.Key, answer, err)
}

// sendKeyEarly sends the generated key in an interim response (103 Early Hints) as soon
// as the request may run, so that a caller that loses its connection later can still look
// up the outcome.
func sendKeyEarly(w http.ResponseWriter, r *http.Request, key string) {
	if !r.ProtoAtLeast(1, 1) {
		return
	}
	w.Header().Set(api.HeaderKey, key)
	w.WriteHeader(http.StatusEarlyHints)
}

// answer returns the outcome of an earlier request to a caller that lost its connection.
// It waits until the deadline in the request header, or answerLookupTimeout without one.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, customer string) {
	remaining, ok := api.Deadline(r.Header)
	if !ok {
		remaining = answerLookupTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	key := mux.Vars(r)["key"]
	answer, err := s.executor.Answer(ctx, customer, key)
	reply(w, key, answer, err)
}

// answerLookupTimeout limits a lookup without a deadline; it allows for a call to another
// instance.
const answerLookupTimeout = 2 * time.Second

func callerContext(r *http.Request) (context.Context, context.CancelFunc) {
	if remaining, ok := api.Deadline(r.Header); ok {
		return context.WithTimeout(r.Context(), remaining)
	}
	return context.WithCancel(r.Context())
}

func reply(w http.ResponseWriter, key string, answer *api.Answer, err error) {
	w.Header().Set(api.HeaderKey, key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswerHeader(w, key, answer)
	// The status has been sent, so a write error cannot be reported.
	_, _ = w.Write(answer.Body)
}

func writeAnswerHeader(w http.ResponseWriter, key string, answer *api.Answer) {
	header := w.Header()
	header.Set(api.HeaderKey, key)
	header.Set(api.HeaderRequestID, key)
	header.Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
}
