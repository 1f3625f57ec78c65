package creditmembers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func TestRemovedMemberStaysDepartedForTheLease(t *testing.T) {
	// An instance is no longer heard from. Its credits go to the others only after
	// it was listed as departed for the whole lease, measured from the start by each
	// leader, because an instance that is merely cut off may use them for that long.
	is := is.New(t)
	const lease = 3 * time.Second
	now := time.Unix(1000, 0)
	tracker := NewTracker(lease)
	current := &controlpb.CreditMembers{Epoch: 4, Members: []string{"a", "b"}}
	step := func(d time.Duration, alive ...string) *controlpb.CreditMembers {
		now = now.Add(d)
		next := tracker.Next(now, current, alive)
		if next != nil {
			is.Equal(next.Epoch, current.Epoch+1)
			current = next
		}
		return next
	}
	is.True(step(0, "a") == nil) // a short absence does not remove a member
	is.True(step(2*time.Second, "a") == nil)
	is.Equal(step(time.Second, "a").Departed, []string{"b"})
	is.True(step(0, "a") == nil)
	tracker.Reset() // a new leader measures the lease from the start
	is.True(step(lease, "a") == nil)
	is.True(step(lease, "a") == nil)
	is.True(step(clockMargin, "a") != nil)
	is.Equal(current.Members, []string{"a"})
	is.Equal(len(current.Departed), 0)
	is.Equal(step(0, "a", "b").Members, []string{"a", "b"}) // it returns as a new member
}

func TestReturningInstanceIsNoLongerDeparted(t *testing.T) {
	// A departed instance is alive again before its lease has expired. It joins the
	// next epoch, which it must confirm like any other member.
	is := is.New(t)
	tracker := NewTracker(time.Second)
	current := &controlpb.CreditMembers{Epoch: 1, Members: []string{"a"}, Departed: []string{"b"}}
	next := tracker.Next(time.Unix(1, 0), current, []string{"a", "b"})
	is.Equal(next.Members, []string{"a", "b"})
	is.Equal(len(next.Departed), 0)
}
