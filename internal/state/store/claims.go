package store

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// claim gives the right to run a request to the first that asks. Everyone else
// with the same key and body gets the claim as it stands; another body under
// the key is refused, for the caller would get the wrong answer.
func (s *State) claim(op *controlpb.ClaimRequest) *controlpb.Result {
	wanted := op.Claim
	existing, ok := s.Claim(wanted.Customer, wanted.Key)
	if !ok || existing.ExpiresMs < s.timeMs {
		s.claims, _, _ = s.claims.Insert(claimKey(wanted.Customer, wanted.Key), wanted)
		return &controlpb.Result{Claim: wanted}
	}
	if existing.Service != wanted.Service || !bytes.Equal(existing.BodyHash, wanted.BodyHash) {
		return refusal(0, failure.KeyReused, "the key was used for another request")
	}
	if existing.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
		s.claims, _, _ = s.claims.Insert(claimKey(wanted.Customer, wanted.Key), wanted)
		return &controlpb.Result{Claim: wanted}
	}
	return &controlpb.Result{Claim: existing}
}

// settle records what became of a claimed request; only the claim's owner may,
// and only once, but an unknown outcome may still become a known one.
func (s *State) settle(op *controlpb.SettleClaim) *controlpb.Result {
	claim, ok := s.Claim(op.Customer, op.Key)
	if !ok || claim.Instance != op.Instance {
		return refusal(0, failure.NotFound, "no such claim of this instance")
	}
	open := claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING ||
		claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	if !open {
		return &controlpb.Result{Claim: claim}
	}
	claim = proto.CloneOf(claim)
	claim.Outcome = op.Outcome
	claim.Holder = op.Holder
	claim.Status = op.Status
	s.claims, _, _ = s.claims.Insert(claimKey(op.Customer, op.Key), claim)
	return &controlpb.Result{Claim: claim}
}
