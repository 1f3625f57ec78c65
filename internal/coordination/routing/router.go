// Package routing takes a request from a caller to a minion and its answer
// back: at most once where that was promised, and "not run" only where that is
// certain.
package routing

import (
	"context"
	"crypto/sha256"
	"expvar"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var unknown = expvar.NewInt("requests_unknown")

// Control is the replicated log as routing uses it.
type Control interface {
	State() *store.State
	Fresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Registry knows the live minions.
type Registry interface {
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
}

// Minions sends requests.
type Minions interface {
	Serve(ctx context.Context, address, service, id string, body []byte) (*api.Answer, error)
}

// Config of a router.
type Config struct {
	Instance    string
	KeepAnswers time.Duration
	// QueueLength bounds the waiting requests of each customer and service.
	QueueLength int
	Now         func() time.Time
}

// Request is one caller's request.
type Request struct {
	Customer string
	Service  string
	// Key makes a request that is not idempotent run at most once; made here
	// where the caller gave none.
	Key  string
	Body []byte
}

// Router sends requests to minions with free slots.
type Router struct {
	config   Config
	control  Control
	registry Registry
	desk     *desk
	// view is the last one given to the policy; the goroutine of Run owns it.
	view         *admission.View
	viewRevision uint64

	mu      sync.Mutex
	answers map[string]*api.Answer
}

// New makes a router.
func New(config Config, control Control, registry Registry, minions Minions, lenders Lenders) *Router {
	return &Router{
		config:   config,
		control:  control,
		registry: registry,
		desk:     newDesk(config, minions, lenders),
		answers:  map[string]*api.Answer{},
	}
}

// Do answers one request.
func (r *Router) Do(ctx context.Context, request *Request) (*api.Answer, error) {
	if err := r.control.Fresh(); err != nil {
		refused.Add(1)
		return nil, err
	}
	service, ok := r.control.State().Service(request.Service)
	if !ok {
		return nil, failure.New(failure.NotFound, "no service %q", request.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.TimeoutMs)*time.Millisecond)
	defer cancel()
	if request.Key == "" {
		request.Key = ulid.Make().String()
	}
	if service.Idempotent {
		return r.Send(ctx, request, true)
	}
	return r.once(ctx, request)
}

// once commits a claim before the request leaves; whoever finds the claim of
// another must not run it.
func (r *Router) once(ctx context.Context, request *Request) (*api.Answer, error) {
	hash := sha256.Sum256(request.Body)
	attempt := ulid.Make().String()
	claim := &controlpb.Claim{
		Key:       request.Key,
		Customer:  request.Customer,
		Service:   request.Service,
		BodyHash:  hash[:],
		Instance:  r.config.Instance + "/" + attempt,
		ExpiresMs: r.config.Now().Add(r.config.KeepAnswers).UnixMilli(),
	}
	result, err := r.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Claim{Claim: &controlpb.ClaimRequest{Claim: claim}}})
	if err != nil {
		return nil, claimFailure(err)
	}
	if result.Code != "" {
		return nil, failure.New(failure.Code(result.Code), "%s", result.Detail)
	}
	if result.Claim.Instance != claim.Instance {
		return r.earlier(result.Claim)
	}
	answer, err := r.Send(ctx, request, false)
	r.settle(claim, answer, err)
	return answer, err
}

// claimFailure says "not run": without a confirmed claim nothing is sent.
func claimFailure(err error) error {
	f := failure.From(err)
	return failure.Wrap(f.Code, err, "the request could not be claimed")
}

func (r *Router) earlier(claim *controlpb.Claim) (*api.Answer, error) {
	r.mu.Lock()
	answer := r.answers[claim.Customer+"/"+claim.Key]
	r.mu.Unlock()
	if answer != nil {
		return answer, nil
	}
	unknown.Add(1)
	return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the request was sent before; its answer is not here")
}

func (r *Router) settle(claim *controlpb.Claim, answer *api.Answer, err error) {
	settle := &controlpb.SettleClaim{Key: claim.Key, Customer: claim.Customer, Instance: claim.Instance, Holder: r.config.Instance}
	switch {
	case err == nil:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED
		settle.Status = uint32(answer.Status)
		r.mu.Lock()
		r.answers[claim.Customer+"/"+claim.Key] = answer
		r.mu.Unlock()
	case failure.From(err).NotRun == failure.NotRunTrue:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	default:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _ = r.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Settle{Settle: settle}})
}
