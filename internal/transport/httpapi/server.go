// Package httpapi implements the HTTP API for callers, operators and upstreams, with one
// file per group of endpoints.
package httpapi

import (
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/operators"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// Server handles the HTTP API of one instance.
type Server struct {
	settings  *settings.Settings
	control   control.Log
	registry  *membership.Registry
	executor  *claims.Executor
	explainer Explainer
	voters    Voters
	// evacuations handles the orders to evacuate and readmit data centres.
	evacuations *operators.Evacuations
	// started is the time from which this instance receives announcements of upstreams.
	started  time.Time
	stopping atomic.Bool
}

// New creates the server of one instance.
func New(s *settings.Settings, log control.Log, registry *membership.Registry, executor *claims.Executor, explainer Explainer, voters Voters, evacuations *operators.Evacuations) *Server {
	return &Server{settings: s, control: log, registry: registry, executor: executor, explainer: explainer, voters: voters, evacuations: evacuations, started: time.Now()}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.NotFoundHandler = errorHandler(failure.NotFound, "no such path")
	routes.MethodNotAllowedHandler = errorHandler(failure.WrongMethod, "the path has no such method")
	s.upstreamRoutes(routes)
	s.customerRoutes(routes)
	s.operatorRoutes(routes)
	routes.HandleFunc(api.PathHealthy, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	routes.HandleFunc(api.PathReady, s.ready)
	return s.closeWhenStopping(http.MaxBytesHandler(routes, s.settings.Requests.MaxBodyBytes))
}

func (s *Server) upstreamRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathAnnounceWorker, s.requireUpstream(s.announceWorker)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnnounceMinion, s.requireUpstream(s.announceMinion)).Methods(http.MethodPost)
}

// customerRoutes adds the routes of customers, which are limited to a customer's own
// objects. Operators may read and cancel the jobs and workflows of all customers.
func (s *Server) customerRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathRequests, s.requireCustomer(s.extendWriteDeadline(s.request))).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnswer, s.requireCustomer(s.answer)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJobs, s.requireCustomer(s.submitJob)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathJobs, s.requireCustomerOrOperator(s.listJobs)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.requireCustomerOrOperator(s.getJob)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.requireCustomerOrOperator(s.cancelJob)).Methods(http.MethodDelete)
	routes.HandleFunc(api.PathWorkflows, s.requireCustomer(s.submitWorkflow)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathWorkflow, s.requireCustomerOrOperator(s.getWorkflow)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathWorkflow, s.requireCustomerOrOperator(s.cancelWorkflow)).Methods(http.MethodDelete)
	routes.HandleFunc(api.PathExplain, s.requireCustomerOrOperator(s.explain)).Methods(http.MethodGet)
}

// answerMargin is the time beyond the timeout of a service that is allowed for reading
// the request body and writing the answer.
const answerMargin = time.Minute

// extendWriteDeadline extends the write deadline of the response to the timeout of the
// service plus answerMargin. With the server's general deadline the connection of a long
// request would be closed before its answer is written, and the caller would lose the
// outcome of completed work.
func (s *Server) extendWriteDeadline(handle authenticatedHandler) authenticatedHandler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		if service, ok := s.control.State().Service(mux.Vars(r)["service"]); ok {
			allowed := time.Duration(service.TimeoutMs)*time.Millisecond + answerMargin
			// A writer that supports no deadlines has no general one either.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(allowed))
		}
		handle(w, r, caller)
	}
}

func (s *Server) operatorRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathDeclarations, s.requireOperator(s.getDeclarations)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathDeclarations, s.requireOperator(s.applyDeclarations)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathStatus, s.requireOperator(s.status)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathMembers, s.requireOperator(s.members)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathMembers, s.requireOperator(requireTimely(s.changeMembers))).Methods(http.MethodPost)
	routes.HandleFunc(api.PathDrain, s.requireOperator(requireTimely(s.drain))).Methods(http.MethodPost, http.MethodDelete)
	routes.HandleFunc(api.PathDataCentres, s.requireOperator(s.dataCentres)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathEvacuation, s.requireOperator(s.orderEvacuation)).Methods(http.MethodPost, http.MethodDelete)
	routes.HandleFunc(api.PathState, s.requireOperator(s.dump)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathInterference, s.requireOperator(s.interference)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathVars, s.requireOperator(vars)).Methods(http.MethodGet)
}

func vars(w http.ResponseWriter, r *http.Request, _ string) { expvar.Handler().ServeHTTP(w, r) }

// errorHandler returns a handler that answers the router's own errors in the common error
// format.
func errorHandler(code failure.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, failure.New(code, "%s: %s %s", message, r.Method, r.URL.Path))
	})
}

// closeWhenStopping sets Connection: close on answers of a stopping instance, so that
// callers open their next connection to another instance and no request is lost on a
// connection that is being closed.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Stopping reports whether BeginStop was called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// BeginStop makes the readiness check fail, so that the load balancer stops sending
// requests. Requests that still arrive are served.
func (s *Server) BeginStop() { s.stopping.Store(true) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		writeError(w, failure.New(failure.NotReady, "stopping"))
		return
	}
	if err := s.control.CheckFresh(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
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
	// The status has been sent, so a write error cannot be reported.
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
