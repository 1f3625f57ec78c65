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

// sendResult is the result of Sender.Send.
type sendResult struct {
	answer *api.Answer
	err    error
}

// inFlightRequest is one claimed request that is being sent.
type inFlightRequest struct {
	done chan sendResult
	// atMinion is true while a minion may be running the request; changed is
	// signalled at each change.
	atMinion atomic.Bool
	changed  chan struct{}
}

func (f *inFlightRequest) setDispatched(at bool) {
	f.atMinion.Store(at)
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// run sends a claimed request. Sending continues after the caller's deadline or
// disconnection: a late answer still settles the claim and is cached for a resend.
func (e *Executor) run(ctx context.Context, request *routing.Request, claim *controlpb.Claim) (*api.Answer, error) {
	f := &inFlightRequest{done: make(chan sendResult, 1), changed: make(chan struct{}, 1)}
	request.Call.ID = request.Customer + "/" + request.Key
	request.Call.MaxBufferedBytes = maxBufferedClaimed
	request.Call.LateAnswerWindow = lateAnswerWindow
	request.Call.OnDispatch = f.setDispatched
	e.background.Go(func() {
		answer, err := e.sender.Send(ctx, request, false)
		e.recordOutcome(ctx, claim, answer, err)
		f.done <- sendResult{answer, err}
	})
	select {
	case o := <-f.done:
		return o.answer, o.err
	case <-ctx.Done():
		return e.resultAfterCancel(f)
	}
}

// resultAfterCancel returns what is known of the request after the caller's
// context has ended. If no minion has the request, it returns as soon as Send
// does, which is immediate, since a cancelled request is not dispatched.
func (e *Executor) resultAfterCancel(f *inFlightRequest) (*api.Answer, error) {
	for !f.atMinion.Load() {
		select {
		case o := <-f.done:
			return o.answer, o.err
		case <-f.changed:
		}
	}
	select {
	case o := <-f.done:
		return o.answer, o.err
	default:
	}
	if e.requestsCtx.Err() != nil {
		cancelledAtStop.Add(1)
	}
	return nil, outcomeUnknownError("the request was sent; no answer has arrived yet")
}

// answerPollInterval is the Retry-After given to a caller whose request has no
// known outcome yet.
const answerPollInterval = time.Second

// recordOutcome caches the answer and then settles the claim, in this order, so
// that the answer is available once the claim is seen as settled.
func (e *Executor) recordOutcome(ctx context.Context, claim *controlpb.Claim, answer *api.Answer, err error) {
	settle := &controlpb.SettleClaim{Key: claim.Key, Customer: claim.Customer, Attempt: claim.Attempt, Id: claim.Id}
	settle.Outcome, settle.Code = outcomeOf(answer, err)
	if settle.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED {
		settle.Status = uint32(answer.Status)
		e.cacheAnswer(claim, answer)
		if ctx.Err() != nil {
			lateAnswers.Add(1)
		}
	}
	e.settle(settle)
}

func outcomeOf(answer *api.Answer, err error) (controlpb.ClaimOutcome, string) {
	if err == nil && answer.TruncationErr == nil {
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

func (e *Executor) cacheAnswer(claim *controlpb.Claim, answer *api.Answer) {
	if answer.Streamed {
		return
	}
	e.answers.put(claim.Customer, &cachedAnswer{key: claim.Key, answer: answer}, e.config.Now())
}
