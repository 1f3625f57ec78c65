package credit

import (
	"slices"
	"sort"
)

// Amount is a number of credits on one resource.
type Amount struct {
	Resource string
	Count    int
}

// Account is one instance's credits on one resource.
type Account struct {
	resource string
	slots    int
	// target is this instance's share in the newest epoch, and own the part of it
	// that this instance has acquired.
	target, own   int
	inUse         int
	lent          map[string]int
	borrowed      map[string]int
	lentTotal     int
	borrowedTotal int
	// removed marks a resource that no longer exists.
	removed bool
}

// Free is the number of requests that may start now.
func (a *Account) Free() int { return a.own + a.borrowedTotal - a.lentTotal - a.inUse }

// InUse is the number of requests in flight.
func (a *Account) InUse() int { return a.inUse }

// Usable is the number of requests that may be in flight here at once.
func (a *Account) Usable() int { return a.own + a.borrowedTotal - a.lentTotal }

// Borrowed is the number of credits of this resource lent to this instance.
func (a *Account) Borrowed() int { return a.borrowedTotal }

// Slots is the total number of slots of the resource.
func (a *Account) Slots() int { return a.slots }

// Take uses one credit. It returns false if none is free.
func (a *Account) Take() bool {
	if a.Free() <= 0 {
		return false
	}
	a.inUse++
	return true
}

// charged is the number of credits that count against this instance's share:
// the share itself, or what is still in use or lent of an earlier, larger one.
func (a *Account) charged() int { return max(a.own, a.inUse-a.borrowedTotal+a.lentTotal) }

// Lendable is the number of credits that may be lent. Borrowed credits are
// excluded, so that a loan has one lender and is returned in one step.
func (a *Account) Lendable() int { return max(0, min(a.Free(), a.own-a.lentTotal)) }

// Resource is a resource whose slots are shared.
type Resource struct {
	ID    string
	Slots int
}

// Ledger records one instance's credits on every resource.
//
// The members of an epoch all compute the same shares. When the members change,
// an instance gives up at once what it no longer has a share in, and acquires
// what it gained only after every member has confirmed the new epoch. Members in
// different epochs therefore never count the same slot as theirs.
type Ledger struct {
	self    string
	epoch   uint64
	members []string
	// departed are removed members that may not know of their removal yet.
	departed []string
	// borrowed is the number of credits borrowed on all resources.
	borrowed int
	accounts map[string]*Account
	peers    map[string]*peerState
	// reconciled are the members that have reported to this process what they
	// borrowed from an earlier process of this instance.
	reconciled map[string]bool
}

// peerState is the last reported state of another member.
type peerState struct {
	epoch    uint64
	overhang map[string]int
}

// NewLedger returns the ledger of an instance without credits.
func NewLedger(self string) *Ledger {
	return &Ledger{self: self, accounts: map[string]*Account{}, peers: map[string]*peerState{}, reconciled: map[string]bool{}}
}

// Epoch is the epoch from whose members the shares are computed.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Members lists the members of the epoch.
func (l *Ledger) Members() []string { return l.members }

// Account returns the account of a resource, or nil if it is unknown.
func (l *Ledger) Account(resource string) *Account { return l.accounts[resource] }

// SetMembers moves to a newer epoch; an older or equal one is ignored. The
// credits of a departed member stay unused until an epoch no longer lists it, by
// when its lease has expired. Otherwise a departed member that is cut off and
// the member that gained its slots would both use them.
func (l *Ledger) SetMembers(epoch uint64, members, departed []string) {
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	l.members = members
	l.departed = departed
	present := map[string]bool{}
	for _, member := range members {
		present[member] = true
	}
	for _, member := range departed {
		present[member] = true
	}
	for name := range l.peers {
		if !present[name] {
			delete(l.peers, name)
		}
	}
	for _, a := range l.accounts {
		l.dropAbsentPeers(a, present)
		l.updateTarget(a)
	}
	l.dropLoansUnlessMember()
	l.acquireShares()
}

// IsMember reports whether this instance is a member of the epoch.
func (l *Ledger) IsMember() bool { return slices.Contains(l.members, l.self) }

// dropLoansUnlessMember gives up the idle loans of an instance that is not a
// member. Its lenders reclaim them when its lease expires; giving them up does
// not wait for that.
func (l *Ledger) dropLoansUnlessMember() {
	if l.borrowed > 0 && !l.IsMember() {
		l.DropLoans()
	}
}

// Release returns one credit that was in use.
func (l *Ledger) Release(a *Account) {
	a.inUse--
	l.dropLoansUnlessMember()
}

func (l *Ledger) dropAbsentPeers(a *Account, present map[string]bool) {
	for name, count := range a.lent {
		if !present[name] {
			a.lentTotal -= count
			delete(a.lent, name)
		}
	}
	for name, count := range a.borrowed {
		if !present[name] {
			a.borrowedTotal -= count
			l.borrowed -= count
			delete(a.borrowed, name)
		}
	}
}

// updateTarget recomputes the share and gives up credits beyond it.
func (l *Ledger) updateTarget(a *Account) {
	a.target = 0
	if !a.removed {
		a.target = Share(a.resource, a.slots, l.members, l.self)
	}
	a.own = min(a.own, a.target)
}

// SetResources replaces the set of resources. The account of a removed resource
// is kept until its last request and loan have ended.
func (l *Ledger) SetResources(resources []Resource) {
	for _, a := range l.accounts {
		a.removed = true
	}
	for _, resource := range resources {
		a := l.openAccount(resource.ID)
		a.removed = false
		a.slots = resource.Slots
	}
	for id, a := range l.accounts {
		l.updateTarget(a)
		if a.removed && a.inUse == 0 && a.lentTotal == 0 && a.borrowedTotal == 0 {
			delete(l.accounts, id)
		}
	}
	l.acquireShares()
}

// openAccount returns the account of a resource and creates it if needed.
func (l *Ledger) openAccount(resource string) *Account {
	a := l.accounts[resource]
	if a == nil {
		a = &Account{resource: resource, removed: true, lent: map[string]int{}, borrowed: map[string]int{}}
		l.accounts[resource] = a
	}
	return a
}

// Confirm records the epoch that a member has reached and its overhang: the
// credits that it still holds beyond its shares in that epoch.
func (l *Ledger) Confirm(member string, epoch uint64, overhang []Amount) {
	if member == l.self {
		return
	}
	state := &peerState{epoch: epoch, overhang: map[string]int{}}
	for _, amount := range overhang {
		state.overhang[amount.Resource] = amount.Count
	}
	l.peers[member] = state
	l.acquireShares()
}

// Reconcile records what a member reports to have borrowed from an earlier process
// of this instance. Only the first report of a member counts. Until every member
// has reported, no credits are acquired: a lender that lost its loans in a
// restart would use the same slots as its borrowers.
func (l *Ledger) Reconcile(member string, owed []Amount) {
	if l.reconciled[member] {
		return
	}
	l.reconciled[member] = true
	for _, amount := range owed {
		a := l.openAccount(amount.Resource)
		a.lent[member] += amount.Count
		a.lentTotal += amount.Count
	}
	l.acquireShares()
}

// acquireShares acquires the gained part of each share that no member still
// holds.
func (l *Ledger) acquireShares() {
	if !l.allConfirmed() {
		return
	}
	for _, a := range l.accounts {
		if a.own < a.target && !l.hasOverhang(a.resource) {
			a.own = a.target
		}
	}
}

// allConfirmed reports whether every member has reached exactly this epoch and
// has been reconciled, and no member is departing. A member in a later epoch
// reports its overhang relative to the shares of that epoch, which may hide an
// excess over its shares in this one.
func (l *Ledger) allConfirmed() bool {
	if len(l.departed) > 0 {
		return false
	}
	for _, member := range l.members {
		if member == l.self {
			continue
		}
		state := l.peers[member]
		if state == nil || state.epoch != l.epoch || !l.reconciled[member] {
			return false
		}
	}
	return true
}

func (l *Ledger) hasOverhang(resource string) bool {
	for _, state := range l.peers {
		if state.overhang[resource] > 0 {
			return true
		}
	}
	return false
}

// Overhang lists the credits that this instance holds beyond its shares, sorted
// by resource. It is sent with the confirmation of an epoch.
func (l *Ledger) Overhang() []Amount {
	var over []Amount
	for id, a := range l.accounts {
		if excess := a.charged() - a.target; excess > 0 {
			over = append(over, Amount{Resource: id, Count: excess})
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].Resource < over[j].Resource })
	return over
}
