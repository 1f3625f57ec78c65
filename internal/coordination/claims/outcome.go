package claims

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Answer returns the outcome of a customer's earlier request, fetching the answer
// from the instance that holds it. It waits for a pending outcome until ctx ends.
// It fails with not_found where no outcome is known, with outcome_unknown,
// answer_gone, or the failure that the request ended with.
func (e *Executor) Answer(ctx context.Context, customer, key string) (*api.Answer, error) {
	claim, ok := e.control.State().Claim(customer, key)
	if !ok {
		return nil, noOutcomeError()
	}
	answer, notRun, err := e.earlierOutcome(ctx, claim)
	if notRun {
		return nil, noOutcomeError()
	}
	return answer, err
}

// noOutcomeError does not say whether the request ran: this instance's
// state may be behind, or the claim may have expired.
func noOutcomeError() error {
	return failure.Ran(failure.NotFound, failure.NotRunUnknown, nil, "no outcome is recorded under this key")
}

// earlierOutcome returns the outcome of a request that another call claimed.
// notRun is true if that request certainly did not run, so that the caller may
// make another attempt.
func (e *Executor) earlierOutcome(ctx context.Context, claim *controlpb.Claim) (answer *api.Answer, notRun bool, err error) {
	claim, err = e.awaitSettled(ctx, claim)
	if err != nil {
		return nil, false, err
	}
	switch claim.Outcome {
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		return nil, true, nil
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED:
		answer, err = e.fetchAnswer(ctx, claim)
		return answer, false, err
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_FAILED:
		return nil, false, failure.Ran(failure.Code(claim.Code), failure.NotRunFalse, nil, "the request ran when it was sent earlier; its answer was not received in full")
	default:
		return nil, false, outcomeUnknownError("the request was sent earlier; its outcome is unknown")
	}
}

// awaitSettled waits while the claim is pending, but not beyond PendingUntilMs, by
// which its holder must have given up.
func (e *Executor) awaitSettled(ctx context.Context, claim *controlpb.Claim) (*controlpb.Claim, error) {
	remaining := time.UnixMilli(claim.PendingUntilMs).Sub(e.config.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	for claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING {
		changed := e.control.Changed()
		if newer, ok := e.control.State().Claim(claim.Customer, claim.Key); ok && newer.Attempt >= claim.Attempt && isSettled(newer) {
			return newer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, outcomeUnknownError("the request was sent earlier and has no outcome yet")
		}
	}
	return claim, nil
}

func isSettled(claim *controlpb.Claim) bool {
	return claim.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING
}

func outcomeUnknownError(text string) error {
	unknownOutcomes.Add(1)
	f := failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "%s", text)
	f.RetryAfter = answerPollInterval
	return f
}

// fetchAnswer returns the answer from the instance that ran the request. It fails
// with answer_gone where the answer is no longer available: the request is known
// to have run.
func (e *Executor) fetchAnswer(ctx context.Context, claim *controlpb.Claim) (*api.Answer, error) {
	if claim.Instance == e.config.Instance {
		return e.CachedAnswer(claim.Customer, claim.Key)
	}
	fetch := &peerpb.FetchAnswer{Customer: claim.Customer, Key: claim.Key}
	reply, err := e.peers.Call(ctx, claim.Instance, &peerpb.Call{Body: &peerpb.Call_Fetch{Fetch: fetch}})
	if err != nil {
		return nil, failure.Ran(failure.AnswerGone, failure.NotRunFalse, err, "the request was answered with status %d; instance %s did not return the stored answer", claim.Status, claim.Instance)
	}
	answer := reply.GetAnswer()
	return &api.Answer{Status: int(answer.GetStatus()), ContentType: answer.GetContentType(), Body: answer.GetBody()}, nil
}

// CachedAnswer returns an answer from this instance's cache, or answer_gone if it
// has expired or was evicted.
func (e *Executor) CachedAnswer(customer, key string) (*api.Answer, error) {
	cached := e.answers.get(customer, key, e.config.Now())
	if cached == nil {
		return nil, failure.Ran(failure.AnswerGone, failure.NotRunFalse, nil, "the request was answered; its answer is no longer stored")
	}
	return cached.answer, nil
}

// ServeFetch serves another instance's request for a cached answer.
func (e *Executor) ServeFetch(fetch *peerpb.FetchAnswer) (*peerpb.Reply, error) {
	answer, err := e.CachedAnswer(fetch.Customer, fetch.Key)
	if err != nil {
		return nil, err
	}
	body := &peerpb.Answer{Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	return &peerpb.Reply{Body: &peerpb.Reply_Answer{Answer: body}}, nil
}
