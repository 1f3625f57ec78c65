package store

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// CreditMembers gives the entry instances that slots and limits are shared out
// to; epoch 0 before the first.
func (s *State) CreditMembers() *controlpb.CreditMembers { return s.creditMembers }

// setCreditMembers takes the members of the next epoch. Of two leaders with the
// same epoch in mind the second is refused: an epoch has one set of members.
func (s *State) setCreditMembers(next *controlpb.CreditMembers) *controlpb.Result {
	if next.Epoch != s.creditMembers.Epoch+1 {
		return refusal(0, failure.StaleEpoch, "the credit members are at another epoch")
	}
	if !slices.IsSorted(next.Members) {
		return refusal(0, failure.BadRequest, "members are not in order")
	}
	s.creditMembers = next
	return &controlpb.Result{}
}
