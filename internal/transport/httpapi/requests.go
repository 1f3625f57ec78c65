package httpapi

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// maxKeyLength bounds what a caller may make the control state keep.
const maxKeyLength = 128

func (s *Server) request(w http.ResponseWriter, r *http.Request, customer string) {
	if s.stopping.Load() {
		writeError(w, failure.New(failure.NotReady, "stopping"))
		return
	}
	body, err := readBody(r)
	if err != nil {
		writeError(w, err)
		return
	}
	key := r.Header.Get(api.HeaderKey)
	if len(key) > maxKeyLength {
		writeError(w, failure.New(failure.BadRequest, "a key is at most %d bytes", maxKeyLength))
		return
	}
	ctx := r.Context()
	if left, ok := api.Deadline(r.Header); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	request := &routing.Request{Customer: customer, Service: mux.Vars(r)["service"], Key: key, Body: body}
	answer, err := s.executor.Do(ctx, request)
	w.Header().Set(api.HeaderKey, request.Key)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(api.HeaderRequestID, request.Key)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
