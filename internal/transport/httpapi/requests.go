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

// maxKeyLength bounds what a caller may make the control state keep.
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
	request.Accepted = func() { announceKey(w, r, request.Key) }
	answer, err := s.executor.Do(ctx, request)
	if !sink.closeUnlessBegun() {
		sink.finish(answer, err)
		return
	}
	reply(w, request.Key, answer, err)
}

// announceKey tells the caller the key that was made for it as soon as the
// request may run, in an interim answer: a caller that loses its connection
// later can still ask for the outcome.
func announceKey(w http.ResponseWriter, r *http.Request, key string) {
	if !r.ProtoAtLeast(1, 1) {
		return
	}
	w.Header().Set(api.HeaderKey, key)
	w.WriteHeader(http.StatusEarlyHints)
}

// answer gives a caller that lost its connection the outcome of its own
// request. It waits only as long as the caller says in the deadline header.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, customer string) {
	left, ok := api.Deadline(r.Header)
	if !ok {
		left = answerLookup
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	key := mux.Vars(r)["key"]
	answer, err := s.executor.Answer(ctx, customer, key)
	reply(w, key, answer, err)
}

// answerLookup bounds a look-up whose caller named no deadline: enough to ask
// another instance.
const answerLookup = 2 * time.Second

func callerContext(r *http.Request) (context.Context, context.CancelFunc) {
	if left, ok := api.Deadline(r.Header); ok {
		return context.WithTimeout(r.Context(), left)
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
	// The status is sent; a caller that went away is seen by its own side.
	_, _ = w.Write(answer.Body)
}

func writeAnswerHeader(w http.ResponseWriter, key string, answer *api.Answer) {
	header := w.Header()
	header.Set(api.HeaderKey, key)
	header.Set(api.HeaderRequestID, key)
	header.Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
}
