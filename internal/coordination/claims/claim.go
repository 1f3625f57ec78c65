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
	// proposeTimeout bounds one batch's wait for the log.
	proposeTimeout = 5 * time.Second
	// claimPause is the time before a proposal that was lost is made again.
	claimPause = 50 * time.Millisecond
	// settleTries and settlePause bound the tries to record an outcome: about a
	// minute, longer than an election takes.
	settleTries = 60
	settlePause = time.Second
)

// claim gets the right to run the request, or the claim of another. What the
// local state already shows needs no word from the log: a claim that is not
// "not run" never lets another attempt follow.
func (e *Executor) claim(ctx context.Context, request *routing.Request, wanted *controlpb.Claim) (*controlpb.Claim, bool, error) {
	existing, _ := e.control.State().Claim(request.Customer, request.Key)
	for {
		if existing.GetId() != "" && !store.SameRequest(existing, wanted) {
			return nil, false, reused()
		}
		if existing.GetId() != "" && existing.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			return existing, false, nil
		}
		own := proto.CloneOf(wanted)
		own.Id = ulid.Make().String()
		own.Attempt = existing.GetAttempt() + 1
		standing, err := e.ask(ctx, request, own)
		if err != nil {
			return nil, false, err
		}
		if standing.Id == own.Id {
			return standing, true, nil
		}
		existing = standing
	}
}

func reused() error {
	return failure.Ran(failure.KeyReused, failure.NotRunUnknown, nil, "the key was used for another request")
}

// ask proposes one attempt and gives the claim as it stands. Where the answer
// never came the attempt is given up: this instance never sends under it, and
// once the log knows that, a resend may run.
func (e *Executor) ask(ctx context.Context, request *routing.Request, own *controlpb.Claim) (*controlpb.Claim, error) {
	result, sent, err := e.claims.do(ctx, own)
	if err == nil {
		return standing(result)
	}
	f := failure.From(err)
	if sent && f.NotRun != failure.NotRunTrue {
		e.abandon(own)
	}
	code := f.Code
	if ctx.Err() != nil {
		code = failure.DeadlinePassed
	}
	lost := failure.Wrap(code, err, "the request could not be claimed and was not sent")
	lost.RetryAfter = f.RetryAfter
	return nil, e.refusal(request, lost)
}

func standing(result *controlpb.ClaimResult) (*controlpb.Claim, error) {
	switch code := failure.Code(result.Code); code {
	case "":
		return result.Claim, nil
	case failure.KeyReused, failure.KeyExpired:
		return nil, failure.Ran(code, failure.NotRunUnknown, nil, "%s", result.Detail)
	default:
		return nil, failure.New(code, "%s", result.Detail)
	}
}

// proposeClaims commits a batch. A proposal whose outcome was lost, as when the
// leader dies, is made again: a claim that was committed is found by its id, so
// a second one changes nothing.
func (e *Executor) proposeClaims(claims []*controlpb.Claim) ([]*controlpb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(e.log, proposeTimeout)
	defer cancel()
	for {
		op := &controlpb.Command_Claims{Claims: &controlpb.ClaimRequests{Claims: claims}}
		result, err := e.control.Propose(ctx, &controlpb.Command{Op: op})
		if err == nil && len(result.Claims) != len(claims) {
			err = failure.Ran(failure.Internal, failure.NotRunUnknown, nil, "%d claims answered of %d", len(result.Claims), len(claims))
		}
		if err == nil {
			return result.Claims, nil
		}
		if failure.From(err).NotRun == failure.NotRunTrue || !control.Pause(ctx, claimPause) {
			return nil, err
		}
	}
}

// abandon records that an attempt will never be sent, whether or not its claim
// was committed.
func (e *Executor) abandon(own *controlpb.Claim) {
	abandoned.Add(1)
	e.settle(&controlpb.SettleClaim{
		Key:       own.Key,
		Customer:  own.Customer,
		Attempt:   own.Attempt,
		Id:        own.Id,
		Outcome:   controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
		Abandoned: own,
	})
}

// settle records an outcome without holding up the caller. A settle that is
// lost leaves the claim pending, and later unknown: nobody runs it again.
func (e *Executor) settle(settle *controlpb.SettleClaim) {
	e.running.Go(func() {
		for range settleTries {
			if _, _, err := e.settles.do(e.log, settle); err == nil {
				return
			}
			if !control.Pause(e.log, settlePause) {
				return
			}
		}
	})
}

func (e *Executor) proposeSettles(settles []*controlpb.SettleClaim) ([]struct{}, error) {
	ctx, cancel := context.WithTimeout(e.log, proposeTimeout)
	defer cancel()
	op := &controlpb.Command_Settles{Settles: &controlpb.SettleClaims{Settles: settles}}
	if _, err := e.control.Propose(ctx, &controlpb.Command{Op: op}); err != nil {
		return nil, err
	}
	return make([]struct{}, len(settles)), nil
}
