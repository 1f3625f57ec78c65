// Package httpapi serves callers, operators and upstreams over HTTP: one file
// per endpoint family.
package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// Server answers the HTTP interfaces of one instance.
type Server struct {
	settings   *settings.Settings
	control    control.Log
	registry   *membership.Registry
	executor   *claims.Executor
	controller *dispatch.Controller
	stopping   atomic.Bool
}

// New makes a server.
func New(s *settings.Settings, log control.Log, registry *membership.Registry, executor *claims.Executor, controller *dispatch.Controller) *Server {
	return &Server{settings: s, control: log, registry: registry, executor: executor, controller: controller}
}

// Handler gives the routes.
func (s *Server) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc(api.PathAnnounceWorker, s.announceWorker).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnnounceMinion, s.announceMinion).Methods(http.MethodPost)
	routes.HandleFunc(api.PathRequests, s.asCustomer(s.request)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnswer, s.asCustomer(s.answer)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJobs, s.asCustomer(s.submitJob)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathJobs, s.asCustomer(s.listJobs)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.asCustomer(s.getJob)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.asCustomer(s.cancelJob)).Methods(http.MethodDelete)
	routes.HandleFunc(api.PathExplain, s.asCustomer(s.explain)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathDeclarations, s.asOperator(s.getDeclarations)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathDeclarations, s.asOperator(s.applyDeclarations)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathStatus, s.asOperator(s.status)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathMembers, s.asOperator(s.members)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathDrain, s.asOperator(s.drain)).Methods(http.MethodPost, http.MethodDelete)
	routes.HandleFunc(api.PathState, s.asOperator(s.dump)).Methods(http.MethodGet)
	routes.Handle(api.PathVars, s.asOperator(func(w http.ResponseWriter, r *http.Request, _ string) { expvar.Handler().ServeHTTP(w, r) })).Methods(http.MethodGet)
	routes.HandleFunc(api.PathHealthy, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	routes.HandleFunc(api.PathReady, s.ready)
	return s.closeWhenStopping(http.MaxBytesHandler(routes, s.settings.Requests.MaxBodyBytes))
}

// closeWhenStopping gives notice on each connection that it ends with this
// answer, so that its caller sends the next request elsewhere and none is lost
// on a connection that is being closed.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Stopping tells whether the instance has begun to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// BeginStop makes the instance not ready, so that the balancer turns away.
// Requests that still come are served.
func (s *Server) BeginStop() { s.stopping.Store(true) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		writeError(w, failure.New(failure.NotReady, "stopping"))
		return
	}
	if err := s.control.Fresh(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// named is a handler that knows who asks.
type named func(w http.ResponseWriter, r *http.Request, who string)

func (s *Server) asCustomer(handle named) http.HandlerFunc {
	return authenticated(s.settings.Customers, handle)
}

func (s *Server) asOperator(handle named) http.HandlerFunc {
	return authenticated(s.settings.Operators, handle)
}

// authenticated finds whose token came. Every stored hash is compared, each in
// constant time, so that timing tells nothing of which came near.
func authenticated(hashes map[string][]byte, handle named) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		who := ""
		for name, hash := range hashes {
			if subtle.ConstantTimeCompare(given[:], hash) == 1 {
				who = name
			}
		}
		if who == "" {
			writeError(w, failure.New(failure.Unauthorized, "no such token"))
			return
		}
		handle(w, r, who)
	}
}

func readJSON(r *http.Request, into any) error {
	err := json.NewDecoder(r.Body).Decode(into)
	if err == nil {
		return nil
	}
	return bodyFailure(err)
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body, nil
}

func bodyFailure(err error) *failure.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return failure.Wrap(failure.TooLarge, err, "the body is over %d bytes", large.Limit)
	}
	return failure.Wrap(failure.BadRequest, err, "the body cannot be read")
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The status is sent; a caller that went away is seen by its own side.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	f := failure.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderNotRun, string(f.NotRun))
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.HTTPStatus())
	_ = json.NewEncoder(w).Encode(api.ErrorBody{
		Code: f.Code, Message: f.Error(), NotRun: f.NotRun, RetryAfterMs: f.RetryAfter.Milliseconds(), Revision: f.Revision,
	})
}
