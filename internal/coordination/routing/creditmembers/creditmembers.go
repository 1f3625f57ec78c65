// Package creditmembers decides which entry instances the slots of minions are
// shared out to. The leader of the control log alone changes them, one epoch at
// a time; it reads no clock.
//
// Removing an instance is a matter of liveness: its credits would otherwise lie
// idle. That nobody uses a removed instance's credits beside it rests on the
// log: it stays listed as departed for the length of the lease, and an instance
// whose control state was confirmed within the lease knows of its own removal.
package creditmembers

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// removeAfter is how long an instance must be silent to be removed.
	removeAfter = 3 * time.Second
	// clockMargin is added to the lease for clocks of unequal speed and for the
	// time between two looks at the own lease.
	clockMargin = time.Second
)

// Keeper follows the members while its instance leads.
type Keeper struct {
	lease time.Duration
	// silent and departed hold since when, seen by this leader, a member has
	// been silent or a departed one departed.
	silent   map[string]time.Time
	departed map[string]time.Time
}

// NewKeeper makes a keeper for that length of lease.
func NewKeeper(lease time.Duration) *Keeper {
	k := &Keeper{lease: lease}
	k.Forget()
	return k
}

// Forget drops what was seen: an instance that does not lead, or has just begun
// to, counts every time anew.
func (k *Keeper) Forget() {
	k.silent = map[string]time.Time{}
	k.departed = map[string]time.Time{}
}

// Next gives the members of the next epoch, or nil where nothing changes.
// alive are the instances heard of lately whose control state is fresh.
func (k *Keeper) Next(now time.Time, current *controlpb.CreditMembers, alive []string) *controlpb.CreditMembers {
	next := &controlpb.CreditMembers{Epoch: current.Epoch + 1}
	for _, member := range current.Members {
		switch {
		case slices.Contains(alive, member):
			delete(k.silent, member)
			next.Members = append(next.Members, member)
		case since(k.silent, member, now) < removeAfter:
			next.Members = append(next.Members, member)
		default:
			delete(k.silent, member)
			next.Departed = append(next.Departed, member)
		}
	}
	for _, name := range alive {
		if !slices.Contains(current.Members, name) {
			next.Members = append(next.Members, name)
		}
	}
	for _, name := range current.Departed {
		if !slices.Contains(next.Members, name) && since(k.departed, name, now) < k.lease+clockMargin {
			next.Departed = append(next.Departed, name)
			continue
		}
		delete(k.departed, name)
	}
	slices.Sort(next.Members)
	slices.Sort(next.Departed)
	if slices.Equal(next.Members, current.Members) && slices.Equal(next.Departed, current.Departed) {
		return nil
	}
	return next
}

// since gives for how long a name has been in the set, which it puts it in.
func since(set map[string]time.Time, name string, now time.Time) time.Duration {
	at, ok := set[name]
	if !ok {
		set[name] = now
		return 0
	}
	return now.Sub(at)
}
