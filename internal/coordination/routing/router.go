// Package routing takes a request from a caller to a minion and its answer
// back, and says "not run" only where that is certain.
package routing

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Registry knows the live minions.
type Registry interface {
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
	// Instances lists the entry instances heard within the window.
	Instances(window time.Duration) []*peerpb.InstanceState
}

// Minions sends requests.
type Minions interface {
	Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error)
}

// Request is one caller's request.
type Request struct {
	Customer string
	Service  string
	// Key makes a request that is not idempotent run at most once; made here
	// where the caller gave none.
	Key string
	// KeyGiven tells that the caller made the key, and so may have used it before.
	KeyGiven bool
	Body     []byte
	// Sink takes an answer too large to be held whole; see api.AnswerSink.
	Sink api.AnswerSink
	// Accepted, if any, is called once a key made here is claimed.
	Accepted func()
	// Call is the request as it goes to a minion.
	Call api.ServeCall
}

// Control is the control state as routing reads it.
type Control interface {
	State() *store.State
	Fresh() error
}

// Config of a router.
type Config struct {
	Instance string
	// QueueLength bounds the waiting requests of each customer and service.
	QueueLength int
	// FreshnessBound is how old control state is at most while Fresh holds. It is
	// the length of the lease on credits.
	FreshnessBound time.Duration
	Now            func() time.Time
}

// Router sends requests to minions with free slots.
type Router struct {
	config   Config
	control  Control
	registry Registry
	desk     *desk
	// view is the last one given to the policy, and viewRevision the revision
	// that it was read from; the goroutine of Run owns both.
	view         *admission.View
	viewRevision uint64
	lease        lease
}

// New makes a router.
func New(config Config, control Control, registry Registry, minions Minions, lenders Lenders) *Router {
	return &Router{
		config:   config,
		control:  control,
		registry: registry,
		desk:     newDesk(config, minions, lenders),
	}
}
