// Package claims runs a request that is not idempotent at most once, whichever
// instances its caller sends it to. The right to run a request, its claim, is
// committed to the replicated log before the request is sent, and its answer is
// cached for a caller that resends it.
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
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	refusals          = expvar.NewInt("claims_refused")
	resends           = expvar.NewInt("claims_resent")
	unknownOutcomes   = expvar.NewInt("claims_unknown")
	abandonedAttempts = expvar.NewInt("claims_abandoned")
	lateAnswers       = expvar.NewInt("claims_late_answers")
	cancelledAtStop   = expvar.NewInt("claims_cut_at_stop")
)

const (
	// lateAnswerWindow is how long after the caller's deadline an answer is still
	// accepted and recorded. It is part of the time for which a claim can be pending.
	lateAnswerWindow = 5 * time.Second
	// pendingMargin is added to a claim's pending time for the commit of its outcome.
	pendingMargin = 2 * time.Second
	// maxBufferedIdempotent is the largest answer, in bytes, that is buffered for an
	// idempotent request; a larger one is streamed. 400 requests in flight buffer at
	// most 25 MB.
	maxBufferedIdempotent = 64 << 10
	// maxBufferedClaimed is the largest answer, in bytes, that is buffered for a
	// claimed request. Only buffered answers can be cached.
	maxBufferedClaimed = 1 << 20
)

// Control is the part of control.Log that claims use.
type Control interface {
	State() *store.State
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
	CheckFresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Sender sends a request to a minion and returns its answer. It retries a request
// that is not idempotent only if it certainly did not run.
type Sender interface {
	Send(ctx context.Context, request *routing.Request, idempotent bool) (*api.Answer, error)
}

// Peers calls other instances, to fetch the answers that they cache.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
}

// Config configures an Executor.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// AnswerTTL and MaxAnswerBytes limit the age and the total size of the answers
	// cached for resends.
	AnswerTTL      time.Duration
	MaxAnswerBytes int64
	Now            func() time.Time
}

// Executor executes callers' requests. It is safe for concurrent use.
type Executor struct {
	config  Config
	control Control
	sender  Sender
	peers   Peers
	answers *AnswerCache
	claims  batcher[*controlpb.Claim, *controlpb.ClaimResult]
	settles batcher[*controlpb.SettleClaim, struct{}]
	// background counts the goroutines that send claimed requests or settle claims.
	background sync.WaitGroup
	// requestsCtx is cancelled to end all requests at a stop; logCtx is cancelled
	// after that, when outcomes can no longer be recorded.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	logCtx         context.Context
	cancelLog      context.CancelFunc
}

// New returns an Executor; Stop releases it.
func New(config Config, control Control, sender Sender, peers Peers) *Executor {
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	logCtx, cancelLog := context.WithCancel(context.Background())
	e := &Executor{
		config:         config,
		control:        control,
		sender:         sender,
		peers:          peers,
		answers:        NewAnswerCache(config.AnswerTTL, config.MaxAnswerBytes),
		requestsCtx:    requestsCtx,
		cancelRequests: cancelRequests,
		logCtx:         logCtx,
		cancelLog:      cancelLog,
	}
	e.claims.flush, e.claims.maxInFlight = e.proposeClaims, maxClaimBatchesInFlight
	e.settles.flush, e.settles.maxInFlight = e.proposeSettles, maxSettleBatchesInFlight
	return e
}

// Do executes one request within the service's timeout and ctx, whichever ends
// first. It generates the request's key if the caller gave none. failure.From of
// its error tells whether the request ran.
func (e *Executor) Do(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	request.KeyGiven = request.Key != ""
	if !request.KeyGiven {
		request.Key = e.newKey()
	}
	if err := e.control.CheckFresh(); err != nil {
		return nil, e.refusalError(request, err)
	}
	service, ok := e.control.State().Service(request.Service)
	if !ok {
		return nil, e.refusalError(request, failure.New(failure.NotFound, "no service %q", request.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.TimeoutMs)*time.Millisecond)
	defer cancel()
	stop := context.AfterFunc(e.requestsCtx, cancel)
	defer stop()
	request.Call = api.ServeCall{Service: request.Service, Body: request.Body, Sink: request.Sink}
	send := e.runOnce
	if service.Idempotent {
		send = e.sendIdempotent
	}
	answer, err := send(ctx, request)
	return answer, e.stopError(err)
}

// stopError replaces the error of a request that did not run because of a stop by
// not_ready. All other errors are returned unchanged.
func (e *Executor) stopError(err error) error {
	if err == nil || e.requestsCtx.Err() == nil || failure.From(err).NotRun != failure.NotRunTrue {
		return err
	}
	cancelledAtStop.Add(1)
	f := failure.Wrap(failure.NotReady, err, "the instance is stopping")
	f.RetryAfter = answerPollInterval
	return f
}

// newKey generates a ULID. Its timestamp is the later of the local clock and the
// log's time, because a key that is too old by the log's time is refused as
// expired.
func (e *Executor) newKey() string {
	now := max(e.config.Now().UnixMilli(), e.control.State().Time().UnixMilli())
	return ulid.MustNew(uint64(now), ulid.DefaultEntropy()).String()
}

// sendIdempotent sends a request that may run any number of times. Each call gets
// a new ID, so that an answer to an earlier use of the key is not mistaken for the
// answer to this one.
func (e *Executor) sendIdempotent(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	request.Call.ID = ulid.Make().String()
	request.Call.MaxBufferedBytes = maxBufferedIdempotent
	return e.sender.Send(ctx, request, true)
}

// runOnce claims the request's key and runs the request, or returns the outcome of
// the call that claimed the key earlier.
func (e *Executor) runOnce(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	wanted := e.newClaim(ctx, request)
	for {
		claim, won, err := e.claim(ctx, request, wanted)
		if err != nil {
			return nil, err
		}
		if won {
			if request.Accepted != nil && !request.KeyGiven {
				request.Accepted()
			}
			return e.run(ctx, request, claim)
		}
		answer, notRun, err := e.earlierOutcome(ctx, claim)
		if !notRun {
			resends.Add(1)
			return answer, err
		}
	}
}

// newClaim returns the claim for a request. Its attempt number and id are not set.
func (e *Executor) newClaim(ctx context.Context, request *routing.Request) *controlpb.Claim {
	hash := sha256.Sum256(request.Body)
	deadline, _ := ctx.Deadline()
	return &controlpb.Claim{
		Key:            request.Key,
		Customer:       request.Customer,
		Service:        request.Service,
		BodyHash:       hash[:],
		Instance:       e.config.Instance,
		PendingUntilMs: deadline.Add(lateAnswerWindow + pendingMargin).UnixMilli(),
	}
}

// refusalError converts the error of a request that was refused before its claim
// was read. With a key given by the caller, an earlier call may have run the
// request on this or another instance, so "not run" could be false for the key;
// "unknown" is returned instead, and the caller can safely resend the same key.
func (e *Executor) refusalError(request *routing.Request, err error) error {
	refusals.Add(1)
	f := failure.From(err)
	if !request.KeyGiven || f.NotRun != failure.NotRunTrue {
		return f
	}
	own := *f
	own.NotRun = failure.NotRunUnknown
	return &own
}

// CancelRequests cancels all requests: a queued request fails as not run, one that a
// minion may be running is reported with an unknown outcome.
func (e *Executor) CancelRequests() { e.cancelRequests() }

// Stop waits until all outcomes are recorded in the log or ctx ends. A claim that
// is still pending then becomes unknown; it is never run again.
func (e *Executor) Stop(ctx context.Context) {
	defer e.cancelLog()
	done := make(chan struct{})
	go func() {
		e.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
