// Package claims runs a request that is not idempotent at most once, whichever
// instances its caller asks: the right to run it is committed to the replicated
// log before it is sent, and its answer is kept for a caller that asks again.
package claims

import (
	"context"
	"crypto/sha256"
	"expvar"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	refused = expvar.NewInt("claims_refused")
	unknown = expvar.NewInt("claims_unknown")
)

// settleTimeout bounds how long an outcome waits for the log.
const settleTimeout = 5 * time.Second

// Control is the replicated log as claims use it.
type Control interface {
	State() *store.State
	Fresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Sender takes a request to a minion and its answer back. It sends a request
// that is not idempotent again only where it surely did not run.
type Sender interface {
	Send(ctx context.Context, request *routing.Request, idempotent bool) (*api.Answer, error)
}

// Config of an executor.
type Config struct {
	Instance    string
	KeepAnswers time.Duration
	Now         func() time.Time
}

// Executor answers requests.
type Executor struct {
	config  Config
	control Control
	sender  Sender
	mu      sync.Mutex
	answers map[string]*api.Answer
}

// New makes an executor.
func New(config Config, control Control, sender Sender) *Executor {
	return &Executor{config: config, control: control, sender: sender, answers: map[string]*api.Answer{}}
}

// Do answers one request.
func (e *Executor) Do(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	if err := e.control.Fresh(); err != nil {
		refused.Add(1)
		return nil, err
	}
	service, ok := e.control.State().Service(request.Service)
	if !ok {
		return nil, failure.New(failure.NotFound, "no service %q", request.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.TimeoutMs)*time.Millisecond)
	defer cancel()
	if request.Key == "" {
		request.Key = ulid.Make().String()
	}
	if service.Idempotent {
		return e.sender.Send(ctx, request, true)
	}
	return e.once(ctx, request)
}

// once commits a claim before the request leaves; whoever finds the claim of
// another must not run it.
func (e *Executor) once(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	hash := sha256.Sum256(request.Body)
	attempt := ulid.Make().String()
	claim := &controlpb.Claim{
		Key:       request.Key,
		Customer:  request.Customer,
		Service:   request.Service,
		BodyHash:  hash[:],
		Instance:  e.config.Instance + "/" + attempt,
		ExpiresMs: e.config.Now().Add(e.config.KeepAnswers).UnixMilli(),
	}
	result, err := e.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Claim{Claim: &controlpb.ClaimRequest{Claim: claim}}})
	if err != nil {
		return nil, claimFailure(err)
	}
	if result.Code != "" {
		return nil, failure.New(failure.Code(result.Code), "%s", result.Detail)
	}
	if result.Claim.Instance != claim.Instance {
		return e.earlier(result.Claim)
	}
	answer, err := e.sender.Send(ctx, request, false)
	e.settle(claim, answer, err)
	return answer, err
}

// claimFailure says "not run": without a confirmed claim nothing is sent.
func claimFailure(err error) error {
	f := failure.From(err)
	return failure.Wrap(f.Code, err, "the request could not be claimed")
}

func (e *Executor) earlier(claim *controlpb.Claim) (*api.Answer, error) {
	e.mu.Lock()
	answer := e.answers[claim.Customer+"/"+claim.Key]
	e.mu.Unlock()
	if answer != nil {
		return answer, nil
	}
	unknown.Add(1)
	return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the request was sent before; its answer is not here")
}

func (e *Executor) settle(claim *controlpb.Claim, answer *api.Answer, err error) {
	settle := &controlpb.SettleClaim{Key: claim.Key, Customer: claim.Customer, Instance: claim.Instance, Holder: e.config.Instance}
	switch {
	case err == nil:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED
		settle.Status = uint32(answer.Status)
		e.mu.Lock()
		e.answers[claim.Customer+"/"+claim.Key] = answer
		e.mu.Unlock()
	case failure.From(err).NotRun == failure.NotRunTrue:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	default:
		settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, _ = e.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Settle{Settle: settle}})
}
