// Package routing forwards requests from callers to minions and returns the
// answers. It reports a request as not run only when that is certain.
package routing

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Registry lists the live minions and entry instances.
type Registry interface {
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
	// Instances lists the entry instances whose state was received within the
	// window.
	Instances(window time.Duration) []*peerpb.InstanceState
}

// MinionClient sends requests to minions.
type MinionClient interface {
	Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error)
}

// Request is one caller's request.
type Request struct {
	Customer string
	Service  string
	// Key is the idempotency key with which a request that is not idempotent runs
	// at most once. One is generated where the caller gave none.
	Key string
	// KeyGiven is set when the caller chose the key and so may have used it before.
	KeyGiven bool
	Body     []byte
	// Sink receives an answer too large to be buffered; see api.AnswerSink.
	Sink api.AnswerSink
	// Accepted, if not nil, is called once a generated key has been claimed.
	Accepted func()
	// Call is the request as it is sent to a minion.
	Call api.ServeCall
}

// Control gives read access to the control state. CheckFresh returns an error when
// the state has not been confirmed within the freshness bound.
type Control interface {
	State() *store.State
	CheckFresh() error
}

// Config configures a router.
type Config struct {
	Instance string
	// QueueLength limits the queued requests of each customer and service.
	QueueLength int
	// FreshnessBound is the maximum age of the control state while Control.CheckFresh
	// returns nil. It is also the duration of the lease on credits.
	FreshnessBound time.Duration
	Now            func() time.Time
}

// Router dispatches requests to minions with free slots.
type Router struct {
	config     Config
	control    Control
	registry   Registry
	dispatcher *dispatcher
	// view is the last view given to the policy, and viewRevision the state
	// revision it was read from. Both belong to the goroutine of Run.
	view         *admission.View
	viewRevision uint64
	lease        lease
}

// New returns a router. It refuses all requests until Run has read a view.
func New(config Config, control Control, registry Registry, minions MinionClient, lenders CreditLenders) *Router {
	return &Router{
		config:     config,
		control:    control,
		registry:   registry,
		dispatcher: newDispatcher(config, minions, lenders),
	}
}
