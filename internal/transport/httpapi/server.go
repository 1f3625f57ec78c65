// Package httpapi serves callers, operators and upstreams over HTTP: one file
// per endpoint family.
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
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// Server answers the HTTP interfaces of one instance.
type Server struct {
	settings  *settings.Settings
	control   control.Log
	registry  *membership.Registry
	executor  *claims.Executor
	explainer Explainer
	voters    Voters
	// started is when this instance began to hear upstreams.
	started  time.Time
	stopping atomic.Bool
}

// New makes a server.
func New(s *settings.Settings, log control.Log, registry *membership.Registry, executor *claims.Executor, explainer Explainer, voters Voters) *Server {
	return &Server{settings: s, control: log, registry: registry, executor: executor, explainer: explainer, voters: voters, started: time.Now()}
}

// Handler gives the routes.
func (s *Server) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.NotFoundHandler = refuse(failure.NotFound, "no such path")
	routes.MethodNotAllowedHandler = refuse(failure.WrongMethod, "the path has no such method")
	s.upstreamRoutes(routes)
	s.customerRoutes(routes)
	s.operatorRoutes(routes)
	routes.HandleFunc(api.PathHealthy, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	routes.HandleFunc(api.PathReady, s.ready)
	return s.closeWhenStopping(http.MaxBytesHandler(routes, s.settings.Requests.MaxBodyBytes))
}

func (s *Server) upstreamRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathAnnounceWorker, s.asUpstream(s.announceWorker)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnnounceMinion, s.asUpstream(s.announceMinion)).Methods(http.MethodPost)
}

// customerRoutes serve one customer what is its own. Operators may look at jobs
// of all customers, and cancel them.
func (s *Server) customerRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathRequests, s.asCustomer(s.untilTimeout(s.request))).Methods(http.MethodPost)
	routes.HandleFunc(api.PathAnswer, s.asCustomer(s.answer)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJobs, s.asCustomer(s.submitJob)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathJobs, s.asAny(s.listJobs)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.asAny(s.getJob)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathJob, s.asAny(s.cancelJob)).Methods(http.MethodDelete)
	routes.HandleFunc(api.PathWorkflows, s.asCustomer(s.submitWorkflow)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathWorkflow, s.asAny(s.getWorkflow)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathWorkflow, s.asAny(s.cancelWorkflow)).Methods(http.MethodDelete)
	routes.HandleFunc(api.PathExplain, s.asAny(s.explain)).Methods(http.MethodGet)
}

// answerMargin is the time beyond a service's own timeout in which its body is
// read and its answer written.
const answerMargin = time.Minute

// untilTimeout lets an answer be written as late as the service's timeout
// allows. Under the server's general deadline the connection of a long request
// would break when its answer is ready, and the caller would lose the outcome of
// work that was done.
func (s *Server) untilTimeout(handle named) named {
	return func(w http.ResponseWriter, r *http.Request, who string) {
		if service, ok := s.control.State().Service(mux.Vars(r)["service"]); ok {
			allowed := time.Duration(service.TimeoutMs)*time.Millisecond + answerMargin
			// A writer without deadlines has no general one either.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(allowed))
		}
		handle(w, r, who)
	}
}

func (s *Server) operatorRoutes(routes *mux.Router) {
	routes.HandleFunc(api.PathDeclarations, s.asOperator(s.getDeclarations)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathDeclarations, s.asOperator(s.applyDeclarations)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathStatus, s.asOperator(s.status)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathMembers, s.asOperator(s.members)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathMembers, s.asOperator(s.changeMembers)).Methods(http.MethodPost)
	routes.HandleFunc(api.PathDrain, s.asOperator(s.drain)).Methods(http.MethodPost, http.MethodDelete)
	routes.HandleFunc(api.PathState, s.asOperator(s.dump)).Methods(http.MethodGet)
	routes.HandleFunc(api.PathVars, s.asOperator(vars)).Methods(http.MethodGet)
}

func vars(w http.ResponseWriter, r *http.Request, _ string) { expvar.Handler().ServeHTTP(w, r) }

// refuse gives the router's own errors the body of every other.
func refuse(code failure.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, failure.New(code, "%s: %s %s", message, r.Method, r.URL.Path))
	})
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
