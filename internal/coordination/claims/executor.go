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
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	refused   = expvar.NewInt("claims_refused")
	resent    = expvar.NewInt("claims_resent")
	unknown   = expvar.NewInt("claims_unknown")
	abandoned = expvar.NewInt("claims_abandoned")
	late      = expvar.NewInt("claims_late_answers")
	cutAtStop = expvar.NewInt("claims_cut_at_stop")
)

const (
	// lateWindow is how long an answer is still taken for its record after the
	// caller stopped waiting. It is part of how long a claim can be pending.
	lateWindow = 5 * time.Second
	// pendingMargin is added to a claim's pending time for its way to the log.
	pendingMargin = 2 * time.Second
	// holdIdempotent is the largest answer held whole for a request that can be
	// sent again: 400 in flight hold 25 MB.
	holdIdempotent = 64 << 10
	// holdKept is the largest answer that is held whole, and so can be kept.
	holdKept = 1 << 20
)

// Control is the replicated log as claims use it.
type Control interface {
	State() *store.State
	// Changed gives a channel that is closed when the state next changes.
	Changed() <-chan struct{}
	Fresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Sender takes a request to a minion and its answer back. It sends a request
// that is not idempotent again only where it surely did not run.
type Sender interface {
	Send(ctx context.Context, request *routing.Request, idempotent bool) (*api.Answer, error)
}

// Peers asks other instances for answers that they keep.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
}

// Config of an executor.
type Config struct {
	Instance string
	// KeepAnswers and KeepBytes bound the answers kept for resends.
	KeepAnswers time.Duration
	KeepBytes   int64
	Now         func() time.Time
}

// Executor answers requests.
type Executor struct {
	config  Config
	control Control
	sender  Sender
	peers   Peers
	answers *Answers
	claims  batcher[*controlpb.Claim, *controlpb.ClaimResult]
	settles batcher[*controlpb.SettleClaim, struct{}]
	// running counts claimed requests and the settling of their claims.
	running sync.WaitGroup
	// base ends when requests are cut at a stop; log ends after that, when
	// outcomes can no longer be recorded.
	base   context.Context
	cut    context.CancelFunc
	log    context.Context
	endLog context.CancelFunc
}

// New makes an executor.
func New(config Config, control Control, sender Sender, peers Peers) *Executor {
	base, cut := context.WithCancel(context.Background())
	log, endLog := context.WithCancel(context.Background())
	e := &Executor{
		config:  config,
		control: control,
		sender:  sender,
		peers:   peers,
		answers: NewAnswers(config.KeepAnswers, config.KeepBytes),
		base:    base,
		cut:     cut,
		log:     log,
		endLog:  endLog,
	}
	e.claims.flush, e.claims.maxFlights = e.proposeClaims, claimFlights
	e.settles.flush, e.settles.maxFlights = e.proposeSettles, settleFlights
	return e
}

// Do answers one request within the time that its service and its caller give.
// It sets the request's key where the caller gave none.
func (e *Executor) Do(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	request.KeyGiven = request.Key != ""
	if !request.KeyGiven {
		request.Key = e.newKey()
	}
	if err := e.control.Fresh(); err != nil {
		return nil, e.refusal(request, err)
	}
	service, ok := e.control.State().Service(request.Service)
	if !ok {
		return nil, e.refusal(request, failure.New(failure.NotFound, "no service %q", request.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.TimeoutMs)*time.Millisecond)
	defer cancel()
	stop := context.AfterFunc(e.base, cancel)
	defer stop()
	request.Call = api.ServeCall{Service: request.Service, Body: request.Body, Sink: request.Sink}
	send := e.once
	if service.Idempotent {
		send = e.repeatable
	}
	answer, err := send(ctx, request)
	return answer, e.atStop(err)
}

// atStop names the stop as the reason where a request is handed back for it.
func (e *Executor) atStop(err error) error {
	if err == nil || e.base.Err() == nil || failure.From(err).NotRun != failure.NotRunTrue {
		return err
	}
	cutAtStop.Add(1)
	f := failure.Wrap(failure.NotReady, err, "the instance stops")
	f.RetryAfter = pollAnswer
	return f
}

// newKey makes a key that carries its time of making: the later of this clock
// and the log's, for a key too old by the log's time is refused as expired.
func (e *Executor) newKey() string {
	now := max(e.config.Now().UnixMilli(), e.control.State().Time().UnixMilli())
	return ulid.MustNew(uint64(now), ulid.DefaultEntropy()).String()
}

// repeatable sends a request that may run any number of times. Its identity is
// new each time, so that an answer to an earlier use of the key is not taken
// for this one's.
func (e *Executor) repeatable(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	request.Call.ID = ulid.Make().String()
	request.Call.Hold = holdIdempotent
	return e.sender.Send(ctx, request, true)
}

// once claims the request's key and runs the request, or gives the outcome of
// whoever claimed the key before.
func (e *Executor) once(ctx context.Context, request *routing.Request) (*api.Answer, error) {
	wanted := e.wanted(ctx, request)
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
		answer, again, err := e.earlier(ctx, claim)
		if !again {
			resent.Add(1)
			return answer, err
		}
	}
}

// wanted is the claim that the request needs, its attempt still open.
func (e *Executor) wanted(ctx context.Context, request *routing.Request) *controlpb.Claim {
	hash := sha256.Sum256(request.Body)
	deadline, _ := ctx.Deadline()
	return &controlpb.Claim{
		Key:            request.Key,
		Customer:       request.Customer,
		Service:        request.Service,
		BodyHash:       hash[:],
		Instance:       e.config.Instance,
		PendingUntilMs: deadline.Add(lateWindow + pendingMargin).UnixMilli(),
	}
}

// refusal reports a request that was turned away before its claim was read.
// Under a key of the caller's own an earlier call may have run it, here or
// elsewhere: "not run" would be a lie about the key, and the caller, who can
// send the same key again safely, loses nothing by "unknown".
func (e *Executor) refusal(request *routing.Request, err error) error {
	refused.Add(1)
	f := failure.From(err)
	if !request.KeyGiven || f.NotRun != failure.NotRunTrue {
		return f
	}
	own := *f
	own.NotRun = failure.NotRunUnknown
	return &own
}

// Cut ends every request now: one that waits is handed back as not run, one
// that is at a minion is reported as unknown.
func (e *Executor) Cut() { e.cut() }

// Stop waits until every outcome is in the log, or ctx ends. A claim that is
// left pending becomes unknown; it is never run again.
func (e *Executor) Stop(ctx context.Context) {
	defer e.endLog()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
