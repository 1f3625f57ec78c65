// Package routing takes a request from a caller to a minion and its answer
// back, and says "not run" only where that is certain.
package routing

import (
	"context"
	"expvar"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

var (
	answered = expvar.NewInt("requests_answered")
	refused  = expvar.NewInt("requests_refused")
	retried  = expvar.NewInt("requests_retried")
)

const (
	// maxAttempts caps the tries of one request, whatever else allows more.
	maxAttempts = 3
	// overloadRetryAfter is what a caller is told when every slot is taken.
	overloadRetryAfter = time.Second
)

// Registry knows the live minions.
type Registry interface {
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
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

// Router sends requests to minions with free slots.
type Router struct {
	registry Registry
	minions  Minions
	mu       sync.Mutex
	inFlight map[string]uint32
}

// New makes a router.
func New(registry Registry, minions Minions) *Router {
	return &Router{
		registry: registry,
		minions:  minions,
		inFlight: map[string]uint32{},
	}
}

// Send tries minions until one answers. It tries again only what surely did
// not run, or what is idempotent.
func (r *Router) Send(ctx context.Context, request *Request, idempotent bool) (*api.Answer, error) {
	var last error
	tried := map[string]bool{}
	for range maxAttempts {
		minion := r.pick(request.Service, tried)
		if minion == nil {
			break
		}
		tried[minion.Id] = true
		answer, err := r.minions.Serve(ctx, minion.Address, &request.Call)
		r.release(minion.Id)
		if err == nil {
			answered.Add(1)
			return answer, nil
		}
		last = err
		if ctx.Err() != nil || (!idempotent && failure.From(err).NotRun != failure.NotRunTrue) {
			return nil, err
		}
		retried.Add(1)
	}
	if last != nil {
		return nil, last
	}
	refused.Add(1)
	f := failure.New(failure.Overloaded, "no minion of %q has a free slot", request.Service)
	f.RetryAfter = overloadRetryAfter
	return nil, f
}

// pick takes a slot of the least loaded minion that is not leaving.
func (r *Router) pick(service string, tried map[string]bool) *peerpb.Upstream {
	minions := r.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION)
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *peerpb.Upstream
	for _, minion := range minions {
		if minion.Leaving || tried[minion.Id] || !serves(minion, service) || r.inFlight[minion.Id] >= minion.Slots {
			continue
		}
		if best == nil || r.inFlight[minion.Id] < r.inFlight[best.Id] {
			best = minion
		}
	}
	if best != nil {
		r.inFlight[best.Id]++
	}
	return best
}

func (r *Router) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[id]--
	if r.inFlight[id] == 0 {
		delete(r.inFlight, id)
	}
}

func serves(minion *peerpb.Upstream, service string) bool {
	for _, name := range minion.Services {
		if name == service {
			return true
		}
	}
	return false
}
