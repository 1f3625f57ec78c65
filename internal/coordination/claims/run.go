package claims

import (
	"context"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// outcome is what sending gave.
type outcome struct {
	answer *api.Answer
	err    error
}

// flight is one claimed request on its way.
type flight struct {
	done chan outcome
	// atMinion is whether a minion may be running the request; moved is told of
	// each change.
	atMinion atomic.Bool
	moved    chan struct{}
}

func (f *flight) dispatched(at bool) {
	f.atMinion.Store(at)
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

// run sends a claimed request. Sending outlives the caller: an answer that
// comes after the caller's deadline, or after it went away, still settles the
// claim and is kept for a resend.
func (e *Executor) run(ctx context.Context, request *routing.Request, claim *controlpb.Claim) (*api.Answer, error) {
	f := &flight{done: make(chan outcome, 1), moved: make(chan struct{}, 1)}
	request.Call.ID = request.Customer + "/" + request.Key
	request.Call.Hold = holdKept
	request.Call.Late = lateWindow
	request.Call.Dispatched = f.dispatched
	e.running.Go(func() {
		answer, err := e.sender.Send(ctx, request, false)
		e.record(ctx, claim, answer, err)
		f.done <- outcome{answer, err}
	})
	select {
	case o := <-f.done:
		return o.answer, o.err
	case <-ctx.Done():
		return e.afterWait(f)
	}
}

// afterWait tells a caller whose time is over what is known. A request that no
// minion has comes back at once, for sending goes no further.
func (e *Executor) afterWait(f *flight) (*api.Answer, error) {
	for !f.atMinion.Load() {
		select {
		case o := <-f.done:
			return o.answer, o.err
		case <-f.moved:
		}
	}
	select {
	case o := <-f.done:
		return o.answer, o.err
	default:
	}
	if e.base.Err() != nil {
		cutAtStop.Add(1)
	}
	return nil, stillUnknown("the request was sent; its answer has not come in time")
}

// pollAnswer is when a caller may ask again for an outcome that is not there.
const pollAnswer = time.Second

// record keeps the answer, then settles the claim: whoever reads the settled
// claim finds the answer.
func (e *Executor) record(ctx context.Context, claim *controlpb.Claim, answer *api.Answer, err error) {
	settle := &controlpb.SettleClaim{Key: claim.Key, Customer: claim.Customer, Attempt: claim.Attempt, Id: claim.Id}
	settle.Outcome, settle.Code = outcomeOf(answer, err)
	if settle.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED {
		settle.Status = uint32(answer.Status)
		e.keep(claim, answer)
		if ctx.Err() != nil {
			late.Add(1)
		}
	}
	e.settle(settle)
}

func outcomeOf(answer *api.Answer, err error) (controlpb.ClaimOutcome, string) {
	if err == nil && answer.Cut == nil {
		return controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED, ""
	}
	if err == nil {
		return controlpb.ClaimOutcome_CLAIM_OUTCOME_FAILED, string(failure.TruncatedAnswer)
	}
	f := failure.From(err)
	switch f.NotRun {
	case failure.NotRunTrue:
		return controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, string(f.Code)
	case failure.NotRunFalse:
		return controlpb.ClaimOutcome_CLAIM_OUTCOME_FAILED, string(f.Code)
	}
	return controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, string(f.Code)
}

func (e *Executor) keep(claim *controlpb.Claim, answer *api.Answer) {
	if answer.Streamed {
		return
	}
	e.answers.put(claim.Customer, &kept{key: claim.Key, answer: answer}, e.config.Now())
}
