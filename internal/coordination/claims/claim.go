package claims

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// proposeTimeout limits the time to commit one batch, retries included.
	proposeTimeout = 5 * time.Second
	// claimRetryInterval is the delay before a proposal with an unknown outcome is
	// repeated.
	claimRetryInterval = 50 * time.Millisecond
	// maxSettleAttempts and settleRetryInterval limit the attempts to record an
	// outcome to about a minute, which is longer than an election takes.
	maxSettleAttempts   = 60
	settleRetryInterval = time.Second
)

// claim returns the request's own new claim and true, or the claim of an earlier
// call and false. An earlier claim found in the local state is returned without
// a proposal: unless its outcome is NOT_RUN, it never permits another attempt.
func (e *Executor) claim(ctx context.Context, request *routing.Request, wanted *controlpb.Claim) (*controlpb.Claim, bool, error) {
	existing, _ := e.control.State().Claim(request.Customer, request.Key)
	for {
		if existing.GetId() != "" && !store.SameRequest(existing, wanted) {
			return nil, false, keyReusedError()
		}
		if existing.GetId() != "" && existing.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			return existing, false, nil
		}
		own := proto.CloneOf(wanted)
		own.Id = ulid.Make().String()
		own.Attempt = existing.GetAttempt() + 1
		current, err := e.proposeClaim(ctx, request, own)
		if err != nil {
			return nil, false, err
		}
		if current.Id == own.Id {
			return current, true, nil
		}
		existing = current
	}
}

func keyReusedError() error {
	return failure.Ran(failure.KeyReused, failure.NotRunUnknown, nil, "the key was used for another request")
}

// proposeClaim proposes one attempt and returns the claim that the key then has.
// If the result of the proposal is unknown, the attempt is abandoned: this
// instance never sends the request under it, and once the log records that, a
// resend may run.
func (e *Executor) proposeClaim(ctx context.Context, request *routing.Request, own *controlpb.Claim) (*controlpb.Claim, error) {
	result, sent, err := e.claims.do(ctx, own)
	if err == nil {
		return claimFromResult(result)
	}
	f := failure.From(err)
	if sent && f.NotRun != failure.NotRunTrue {
		e.abandon(own)
	}
	code := f.Code
	if ctx.Err() != nil {
		code = failure.DeadlinePassed
	}
	notClaimed := failure.Wrap(code, err, "the request could not be claimed and was not sent")
	notClaimed.RetryAfter = f.RetryAfter
	return nil, e.refusalError(request, notClaimed)
}

func claimFromResult(result *controlpb.ClaimResult) (*controlpb.Claim, error) {
	switch code := failure.Code(result.Code); code {
	case "":
		return result.Claim, nil
	case failure.KeyReused, failure.KeyExpired:
		return nil, failure.Ran(code, failure.NotRunUnknown, nil, "%s", result.Detail)
	default:
		return nil, failure.New(code, "%s", result.Detail)
	}
}

// proposeClaims commits a batch of claims and returns one result per claim. A
// proposal whose outcome is unknown, for example because the leader failed, is
// repeated: a claim that was committed is recognised by its id, so the repetition
// changes nothing.
func (e *Executor) proposeClaims(claims []*controlpb.Claim) ([]*controlpb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(e.logCtx, proposeTimeout)
	defer cancel()
	for {
		op := &controlpb.Command_Claims{Claims: &controlpb.ClaimRequests{Claims: claims}}
		result, err := e.control.Propose(ctx, &controlpb.Command{Op: op})
		if err == nil && len(result.Claims) != len(claims) {
			err = failure.Ran(failure.Internal, failure.NotRunUnknown, nil, "the log returned %d results for %d claims", len(result.Claims), len(claims))
		}
		if err == nil {
			return result.Claims, nil
		}
		if failure.From(err).NotRun == failure.NotRunTrue || !control.Sleep(ctx, claimRetryInterval) {
			return nil, err
		}
	}
}

// abandon records that the request will never be sent under an attempt, whether
// or not the attempt's claim was committed.
func (e *Executor) abandon(own *controlpb.Claim) {
	abandonedAttempts.Add(1)
	e.settle(&controlpb.SettleClaim{
		Key:       own.Key,
		Customer:  own.Customer,
		Attempt:   own.Attempt,
		Id:        own.Id,
		Outcome:   controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
		Abandoned: own,
	})
}

// settle records an outcome in the background. If it cannot be recorded, the
// claim stays pending and later becomes unknown; it is never run again.
func (e *Executor) settle(settle *controlpb.SettleClaim) {
	e.background.Go(func() {
		for range maxSettleAttempts {
			if _, _, err := e.settles.do(e.logCtx, settle); err == nil {
				return
			}
			if !control.Sleep(e.logCtx, settleRetryInterval) {
				return
			}
		}
	})
}

func (e *Executor) proposeSettles(settles []*controlpb.SettleClaim) ([]struct{}, error) {
	ctx, cancel := context.WithTimeout(e.logCtx, proposeTimeout)
	defer cancel()
	op := &controlpb.Command_Settles{Settles: &controlpb.SettleClaims{Settles: settles}}
	if _, err := e.control.Propose(ctx, &controlpb.Command{Op: op}); err != nil {
		return nil, err
	}
	return make([]struct{}, len(settles)), nil
}
