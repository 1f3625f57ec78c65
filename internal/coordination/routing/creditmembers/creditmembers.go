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

// Keeper decides about changes of the members while its instance is the leader.
type Keeper struct {
	lease time.Duration
	// missingSince and departedSince hold the times at which this leader first saw
	// a member missing or an instance departed.
	missingSince  map[string]time.Time
	departedSince map[string]time.Time
}

// NewKeeper returns a keeper for leases of the given duration.
func NewKeeper(lease time.Duration) *Keeper {
	k := &Keeper{lease: lease}
	k.Forget()
	return k
}

// Forget discards all observations. An instance that is not the leader, or has
// just become it, starts all times again.
func (k *Keeper) Forget() {
	k.missingSince = map[string]time.Time{}
	k.departedSince = map[string]time.Time{}
}

// Next returns the members of the next epoch, or nil if nothing changes. alive
// are the instances heard from recently whose control state is fresh.
func (k *Keeper) Next(now time.Time, current *controlpb.CreditMembers, alive []string) *controlpb.CreditMembers {
	next := &controlpb.CreditMembers{Epoch: current.Epoch + 1}
	for _, member := range current.Members {
		switch {
		case slices.Contains(alive, member):
			delete(k.missingSince, member)
			next.Members = append(next.Members, member)
		case sinceFirstSeen(k.missingSince, member, now) < removeAfter:
			next.Members = append(next.Members, member)
		default:
			delete(k.missingSince, member)
			next.Departed = append(next.Departed, member)
		}
	}
	for _, name := range alive {
		if !slices.Contains(current.Members, name) {
			next.Members = append(next.Members, name)
		}
	}
	for _, name := range current.Departed {
		if !slices.Contains(next.Members, name) && sinceFirstSeen(k.departedSince, name, now) < k.lease+clockMargin {
			next.Departed = append(next.Departed, name)
			continue
		}
		delete(k.departedSince, name)
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
