package store

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// acquireClaims handles every claim of a batch independently.
func (s *State) acquireClaims(op *controlpb.ClaimRequests) *controlpb.Result {
	result := &controlpb.Result{}
	for _, requested := range op.Claims {
		result.Claims = append(result.Claims, s.acquireClaim(requested))
	}
	s.expireClaims(expiredPerClaim * len(op.Claims))
	return result
}

// acquireClaim gives the right to run a request to the first claimant. Later claimants
// with the same key and body get the existing claim; a different body under the same
// key is refused, because its caller would get the answer to another request.
//
// An attempt is accepted only if it directly follows the previous attempt and that one
// certainly did not run. A delayed or duplicated proposal names an attempt that has been
// consumed, so it can't grant the right to run a second time.
func (s *State) acquireClaim(requested *controlpb.Claim) *controlpb.ClaimResult {
	existing, ok := s.Claim(requested.Customer, requested.Key)
	if !ok {
		return s.firstClaim(requested)
	}
	if !SameRequest(existing, requested) {
		return claimRefusal(failure.KeyReused, "the key was used for another request")
	}
	if canFollow(existing, requested.Attempt) {
		return &controlpb.ClaimResult{Claim: s.insertClaim(requested)}
	}
	return &controlpb.ClaimResult{Claim: s.expirePending(existing)}
}

func (s *State) firstClaim(requested *controlpb.Claim) *controlpb.ClaimResult {
	if s.isSpentKey(requested.Customer, requested.Key) {
		return claimRefusal(failure.KeyExpired, "the key was used before; what became of it is no longer kept")
	}
	if requested.Attempt != 1 {
		return &controlpb.ClaimResult{Claim: &controlpb.Claim{Outcome: controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN}}
	}
	if _, hasTime := keyTime(requested.Key); !hasTime && s.spentKeysFull(requested.Customer) {
		return claimRefusal(failure.LimitReached, "too many spent keys that carry no time; use ULIDs as keys")
	}
	return &controlpb.ClaimResult{Claim: s.insertClaim(requested)}
}

// expirePending sets the outcome of a claim to UNKNOWN once its holder must have given
// up, so that no caller waits for a failed instance. A holder that was only paused may
// still send the request: therefore the outcome never becomes NOT_RUN here, and an
// unknown outcome permits no further attempt. The clocks compared may be off by any
// amount; they only decide when a caller gets "unknown", never what is run.
func (s *State) expirePending(claim *controlpb.Claim) *controlpb.Claim {
	if claim.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING || s.timeMs <= claim.PendingUntilMs {
		return claim
	}
	claim = proto.CloneOf(claim)
	claim.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	claim.Code = string(failure.OutcomeUnknown)
	s.putClaim(claim)
	return claim
}

// settleClaims records every outcome of a batch independently. A late or duplicate
// outcome changes nothing, so the result carries no per-item errors.
func (s *State) settleClaims(op *controlpb.SettleClaims) *controlpb.Result {
	for _, settle := range op.Settles {
		s.settleClaim(settle)
	}
	return &controlpb.Result{}
}

// settleClaim records the outcome of one attempt. Only the proposer of the attempt knows
// its id. An unknown outcome may still be replaced by a known one.
func (s *State) settleClaim(op *controlpb.SettleClaim) {
	claim, ok := s.Claim(op.Customer, op.Key)
	if ok && claim.Attempt == op.Attempt && claim.Id == op.Id {
		s.recordOutcome(claim, op)
		return
	}
	if op.Abandoned != nil {
		s.consumeAttempt(claim, op.Abandoned)
	}
}

func (s *State) recordOutcome(claim *controlpb.Claim, op *controlpb.SettleClaim) {
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

// consumeAttempt marks an attempt that its proposer abandoned as not run, so that the
// proposal isn't accepted if it is delivered later: the claim would stay pending with
// nobody to run it and block every resend.
func (s *State) consumeAttempt(existing, abandoned *controlpb.Claim) {
	if existing == nil && s.isSpentKey(abandoned.Customer, abandoned.Key) {
		return
	}
	if existing != nil && !(SameRequest(existing, abandoned) && canFollow(existing, abandoned.Attempt)) {
		return
	}
	abandoned = proto.CloneOf(abandoned)
	abandoned.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	s.insertClaim(abandoned)
}

// canFollow reports whether the attempt may follow the existing claim.
func canFollow(existing *controlpb.Claim, attempt uint64) bool {
	return existing.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN && attempt == existing.Attempt+1
}

// SameRequest reports whether two claims under one key are for the same request.
func SameRequest(a, b *controlpb.Claim) bool {
	return a.Service == b.Service && bytes.Equal(a.BodyHash, b.BodyHash)
}

func claimRefusal(code failure.Code, detail string) *controlpb.ClaimResult {
	return &controlpb.ClaimResult{Code: string(code), Detail: detail}
}
