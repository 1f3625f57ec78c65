package store

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// CreditMembers returns the entry instances among which slots and limits are divided.
// The epoch is 0 until members are first set.
func (s *State) CreditMembers() *controlpb.CreditMembers { return s.creditMembers }

// setCreditMembers sets the members of the next epoch. If two leaders propose the same
// epoch, the second proposal is refused: an epoch has exactly one set of members.
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
