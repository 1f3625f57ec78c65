package store

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// takeClaims answers every claim of a batch on its own.
func (s *State) takeClaims(op *controlpb.ClaimRequests) *controlpb.Result {
	result := &controlpb.Result{}
	for _, wanted := range op.Claims {
		result.Claims = append(result.Claims, s.takeClaim(wanted))
	}
	s.expireClaims(expiredPerClaim * len(op.Claims))
	return result
}

// takeClaim gives the right to run a request to the first that asks. Everyone
// else with the same key and body gets the claim as it stands; another body
// under the key is refused, for the caller would get the wrong answer.
//
// An attempt is taken only right after its predecessor, and only where that
// one surely did not run. A proposal that was delayed or delivered twice names
// an attempt that is used up, and so gives nobody a second right to run.
func (s *State) takeClaim(wanted *controlpb.Claim) *controlpb.ClaimResult {
	existing, ok := s.Claim(wanted.Customer, wanted.Key)
	if !ok {
		return s.firstClaim(wanted)
	}
	if !SameRequest(existing, wanted) {
		return claimRefusal(failure.KeyReused, "the key was used for another request")
	}
	if claimable(existing, wanted.Attempt) {
		return &controlpb.ClaimResult{Claim: s.insertClaim(wanted)}
	}
	return &controlpb.ClaimResult{Claim: s.orphan(existing)}
}

func (s *State) firstClaim(wanted *controlpb.Claim) *controlpb.ClaimResult {
	if s.keySpent(wanted.Customer, wanted.Key) {
		return claimRefusal(failure.KeyExpired, "the key was used before; what became of it is no longer kept")
	}
	if wanted.Attempt != 1 {
		return &controlpb.ClaimResult{Claim: &controlpb.Claim{Outcome: controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN}}
	}
	if _, timed := keyTime(wanted.Key); !timed && s.spentKeysFull(wanted.Customer) {
		return claimRefusal(failure.LimitReached, "too many spent keys that carry no time; use ULIDs as keys")
	}
	return &controlpb.ClaimResult{Claim: s.insertClaim(wanted)}
}

// orphan turns a claim whose holder must have given up into an unknown outcome,
// so that nobody waits for a dead instance. A holder that was only frozen may
// still send: that is why the outcome never becomes NOT_RUN here, and why an
// unknown outcome lets nobody else run. The clocks compared may be wrong by any
// amount; they decide when a caller is told "unknown", never what is run.
func (s *State) orphan(claim *controlpb.Claim) *controlpb.Claim {
	if claim.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING || s.timeMs <= claim.PendingUntilMs {
		return claim
	}
	claim = proto.CloneOf(claim)
	claim.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	claim.Code = string(failure.OutcomeUnknown)
	s.putClaim(claim)
	return claim
}

// settleClaims records every outcome of a batch on its own. A settle that
// comes too late or twice changes nothing, so nobody need be told.
func (s *State) settleClaims(op *controlpb.SettleClaims) *controlpb.Result {
	for _, settle := range op.Settles {
		s.settleClaim(settle)
	}
	return &controlpb.Result{}
}

// settleClaim records what became of one attempt. Only that attempt's own
// proposer knows its id. An unknown outcome may still become a known one.
func (s *State) settleClaim(op *controlpb.SettleClaim) {
	claim, ok := s.Claim(op.Customer, op.Key)
	if ok && claim.Attempt == op.Attempt && claim.Id == op.Id {
		s.closeClaim(claim, op)
		return
	}
	if op.Abandoned != nil {
		s.useUpAttempt(claim, op.Abandoned)
	}
}

func (s *State) closeClaim(claim *controlpb.Claim, op *controlpb.SettleClaim) {
	switch claim.Outcome {
	case controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING, controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
	default:
		return
	}
	claim = proto.CloneOf(claim)
	claim.Outcome = op.Outcome
	claim.Status = op.Status
	claim.Code = op.Code
	s.putClaim(claim)
}

// useUpAttempt keeps a claim that its proposer gave up from being taken when
// its proposal arrives after all: it would stand for ever with nobody to run
// it, and hold up every resend.
func (s *State) useUpAttempt(existing, abandoned *controlpb.Claim) {
	if existing == nil && s.keySpent(abandoned.Customer, abandoned.Key) {
		return
	}
	if existing != nil && !(SameRequest(existing, abandoned) && claimable(existing, abandoned.Attempt)) {
		return
	}
	abandoned = proto.CloneOf(abandoned)
	abandoned.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	s.insertClaim(abandoned)
}

// claimable tells whether an attempt may follow the claim as it stands.
func claimable(existing *controlpb.Claim, attempt uint64) bool {
	return existing.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN && attempt == existing.Attempt+1
}

// SameRequest tells whether two claims under one key are for one request.
func SameRequest(a, b *controlpb.Claim) bool {
	return a.Service == b.Service && bytes.Equal(a.BodyHash, b.BodyHash)
}

func claimRefusal(code failure.Code, detail string) *controlpb.ClaimResult {
	return &controlpb.ClaimResult{Code: string(code), Detail: detail}
}
