package claims

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Answer gives a customer the outcome of its own request, from whichever
// instance keeps it. It waits for one that is pending until ctx ends.
func (e *Executor) Answer(ctx context.Context, customer, key string) (*api.Answer, error) {
	claim, ok := e.control.State().Claim(customer, key)
	if !ok {
		return nil, notKnown()
	}
	answer, again, err := e.earlier(ctx, claim)
	if again {
		return nil, notKnown()
	}
	return answer, err
}

// notKnown says nothing of whether the request ran: this instance's state may
// be behind, or the claim expired.
func notKnown() error {
	return failure.Ran(failure.NotFound, failure.NotRunUnknown, nil, "no outcome is kept under this key")
}

// earlier gives the outcome of a request that another call claimed; again says
// that it surely did not run, so that this one may try.
func (e *Executor) earlier(ctx context.Context, claim *controlpb.Claim) (answer *api.Answer, again bool, err error) {
	claim, err = e.await(ctx, claim)
	if err != nil {
		return nil, false, err
	}
	switch claim.Outcome {
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		return nil, true, nil
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED:
		answer, err = e.fetch(ctx, claim)
		return answer, false, err
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_FAILED:
		return nil, false, failure.Ran(failure.Code(claim.Code), failure.NotRunFalse, nil, "the request ran when it was sent before; its answer did not come whole")
	default:
		return nil, false, stillUnknown("the request was sent before; what became of it is not known")
	}
}

// await waits while the claim is pending, but not past the time at which its
// holder must have given up.
func (e *Executor) await(ctx context.Context, claim *controlpb.Claim) (*controlpb.Claim, error) {
	until := time.UnixMilli(claim.PendingUntilMs).Sub(e.config.Now())
	ctx, cancel := context.WithTimeout(ctx, until)
	defer cancel()
	for claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING {
		changed := e.control.Changed()
		if newer, ok := e.control.State().Claim(claim.Customer, claim.Key); ok && newer.Attempt >= claim.Attempt && settled(newer) {
			return newer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, stillUnknown("the request was sent before and has no outcome yet")
		}
	}
	return claim, nil
}

func settled(claim *controlpb.Claim) bool {
	return claim.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING
}

func stillUnknown(text string) error {
	unknown.Add(1)
	f := failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "%s", text)
	f.RetryAfter = pollAnswer
	return f
}

// fetch gets the answer from the instance that ran the request. The outcome is
// known even where the answer is not to be had any more.
func (e *Executor) fetch(ctx context.Context, claim *controlpb.Claim) (*api.Answer, error) {
	if claim.Instance == e.config.Instance {
		return e.Kept(claim.Customer, claim.Key)
	}
	fetch := &peerpb.FetchAnswer{Customer: claim.Customer, Key: claim.Key}
	reply, err := e.peers.Call(ctx, claim.Instance, &peerpb.Call{Body: &peerpb.Call_Fetch{Fetch: fetch}})
	if err != nil {
		return nil, failure.Ran(failure.AnswerGone, failure.NotRunFalse, err, "the request was answered with status %d; %s keeps the answer and gives none", claim.Status, claim.Instance)
	}
	answer := reply.GetAnswer()
	return &api.Answer{Status: int(answer.GetStatus()), ContentType: answer.GetContentType(), Body: answer.GetBody()}, nil
}

// Kept gives an answer that this instance keeps.
func (e *Executor) Kept(customer, key string) (*api.Answer, error) {
	k := e.answers.get(customer, key, e.config.Now())
	if k == nil {
		return nil, failure.Ran(failure.AnswerGone, failure.NotRunFalse, nil, "the request was answered; its answer is no longer kept")
	}
	return k.answer, nil
}

// ServeFetch answers another instance's call for a kept answer.
func (e *Executor) ServeFetch(fetch *peerpb.FetchAnswer) (*peerpb.Reply, error) {
	answer, err := e.Kept(fetch.Customer, fetch.Key)
	if err != nil {
		return nil, err
	}
	body := &peerpb.Answer{Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	return &peerpb.Reply{Body: &peerpb.Reply_Answer{Answer: body}}, nil
}
