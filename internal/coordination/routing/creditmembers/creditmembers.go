// Package creditmembers decides among which entry instances the slots of minions
// are divided. Only the leader of the control log changes these members, one
// epoch at a time. The package reads no clock.
//
// Removing an instance serves liveness only: its credits would otherwise stay
// idle. Safety, that nobody uses a removed instance's credits at the same time as
// it does, follows from the log: a removed instance stays listed as departed for
// the duration of the lease, and an instance whose control state was confirmed
// within the lease knows of its own removal.
package creditmembers

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// removeAfter is how long a member must be missing from the live instances
	// before it is removed.
	removeAfter = 3 * time.Second
	// clockMargin is added to the lease to allow for clock drift and for the
	// interval at which an instance checks its own lease.
	clockMargin = time.Second
)

// Tracker decides about changes of the members while its instance is the leader.
type Tracker struct {
	lease time.Duration
	// missingSince and departedSince hold the times at which this leader first saw
	// a member missing or an instance departed.
	missingSince  map[string]time.Time
	departedSince map[string]time.Time
}

// NewTracker returns a tracker for leases of the given duration.
func NewTracker(lease time.Duration) *Tracker {
	t := &Tracker{lease: lease}
	t.Reset()
	return t
}

// Reset discards all observations. An instance that is not the leader, or has
// just become it, starts all times again.
func (t *Tracker) Reset() {
	t.missingSince = map[string]time.Time{}
	t.departedSince = map[string]time.Time{}
}

// Next returns the members of the next epoch, or nil if nothing changes. alive
// are the instances heard from recently whose control state is fresh.
func (t *Tracker) Next(now time.Time, current *controlpb.CreditMembers, alive []string) *controlpb.CreditMembers {
	next := &controlpb.CreditMembers{Epoch: current.Epoch + 1}
	for _, member := range current.Members {
		switch {
		case slices.Contains(alive, member):
			delete(t.missingSince, member)
			next.Members = append(next.Members, member)
		case sinceFirstSeen(t.missingSince, member, now) < removeAfter:
			next.Members = append(next.Members, member)
		default:
			delete(t.missingSince, member)
			next.Departed = append(next.Departed, member)
		}
	}
	for _, name := range alive {
		if !slices.Contains(current.Members, name) {
			next.Members = append(next.Members, name)
		}
	}
	for _, name := range current.Departed {
		if !slices.Contains(next.Members, name) && sinceFirstSeen(t.departedSince, name, now) < t.lease+clockMargin {
			next.Departed = append(next.Departed, name)
			continue
		}
		delete(t.departedSince, name)
	}
	slices.Sort(next.Members)
	slices.Sort(next.Departed)
	if slices.Equal(next.Members, current.Members) && slices.Equal(next.Departed, current.Departed) {
		return nil
	}
	return next
}

// sinceFirstSeen returns how long a name has been in the set, and adds it with
// the current time if it is not.
func sinceFirstSeen(set map[string]time.Time, name string, now time.Time) time.Duration {
	at, ok := set[name]
	if !ok {
		set[name] = now
		return 0
	}
	return now.Sub(at)
}
