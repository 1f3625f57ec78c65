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
	// target is the share in the newest epoch; own is what this instance has
	// taken up of it.
	target, own int
	inUse       int
	lent        map[string]int
	borrowed    map[string]int
	lentSum     int
	borrowedSum int
	// gone marks a resource that is no longer in the view.
	gone bool
}

// Free is the number of requests that may start now.
func (a *Account) Free() int { return a.own + a.borrowedSum - a.lentSum - a.inUse }

// InUse is the number of requests in flight.
func (a *Account) InUse() int { return a.inUse }

// Usable is the number of requests that may be in flight here at once.
func (a *Account) Usable() int { return a.own + a.borrowedSum - a.lentSum }

// Borrowed is the number of credits lent to this instance.
func (a *Account) Borrowed() int { return a.borrowedSum }

// Slots is the size of the whole resource.
func (a *Account) Slots() int { return a.slots }

// Take uses one credit; false when none is free.
func (a *Account) Take() bool {
	if a.Free() <= 0 {
		return false
	}
	a.inUse++
	return true
}

// held is what stands to this instance's own account: its share, or what is
// still in use or lent of an earlier, larger share.
func (a *Account) held() int { return max(a.own, a.inUse-a.borrowedSum+a.lentSum) }

// Lendable is what may be given away: own credits only, so that a loan has one
// lender and its way back is one step.
func (a *Account) Lendable() int { return max(0, min(a.Free(), a.own-a.lentSum)) }

// Resource names something with slots to share.
type Resource struct {
	ID    string
	Slots int
}

// Book keeps one instance's credits on every resource.
//
// The members of an epoch all compute the same shares. At a change of members
// an instance at once gives up what it has no longer a share in, and takes up
// what it gained only after every member has confirmed the new epoch: two
// members that stand in different epochs never count the same slot as theirs.
type Book struct {
	self    string
	epoch   uint64
	members []string
	// departed were removed and may not know it yet.
	departed []string
	// borrowed is the sum of all loans taken.
	borrowed int
	accounts map[string]*Account
	peers    map[string]*peerState
	// met are the members that have told this process what they have borrowed
	// from an earlier process of this instance.
	met map[string]bool
}

// peerState is what another member last said of itself.
type peerState struct {
	epoch    uint64
	overhang map[string]int
}

// NewBook makes the book of one instance with no credits.
func NewBook(self string) *Book {
	return &Book{self: self, accounts: map[string]*Account{}, peers: map[string]*peerState{}, met: map[string]bool{}}
}

// Epoch is the epoch of the members that the shares are computed from.
func (b *Book) Epoch() uint64 { return b.epoch }

// Members lists the members of the epoch.
func (b *Book) Members() []string { return b.members }

// Account looks up a resource; nil for an unknown one.
func (b *Book) Account(resource string) *Account { return b.accounts[resource] }

// SetMembers moves to a newer epoch. What a departed member had stays untouched
// until an epoch no longer names it: by then its lease has run out. Without
// that, one that is cut off and one that took over would both use its slots.
func (b *Book) SetMembers(epoch uint64, members, departed []string) {
	if epoch <= b.epoch {
		return
	}
	b.epoch = epoch
	b.members = members
	b.departed = departed
	present := map[string]bool{}
	for _, member := range members {
		present[member] = true
	}
	for _, member := range departed {
		present[member] = true
	}
	for name := range b.peers {
		if !present[name] {
			delete(b.peers, name)
		}
	}
	for _, a := range b.accounts {
		b.forget(a, present)
		b.aim(a)
	}
	b.dropOutside()
	b.raise()
}

// Inside tells whether this instance is a member of the epoch.
func (b *Book) Inside() bool { return slices.Contains(b.members, b.self) }

// dropOutside gives up the idle loans of an instance that is no member: its
// lenders take them back when its lease is over, which it does not wait for.
func (b *Book) dropOutside() {
	if b.borrowed > 0 && !b.Inside() {
		b.DropLoans()
	}
}

// Release ends the use of one credit.
func (b *Book) Release(a *Account) {
	a.inUse--
	b.dropOutside()
}

func (b *Book) forget(a *Account, present map[string]bool) {
	for name, count := range a.lent {
		if !present[name] {
			a.lentSum -= count
			delete(a.lent, name)
		}
	}
	for name, count := range a.borrowed {
		if !present[name] {
			a.borrowedSum -= count
			b.borrowed -= count
			delete(a.borrowed, name)
		}
	}
}

// aim computes the share and gives up what is beyond it.
func (b *Book) aim(a *Account) {
	a.target = 0
	if !a.gone {
		a.target = Share(a.resource, a.slots, b.members, b.self)
	}
	a.own = min(a.own, a.target)
}

// SetResources takes the resources that exist now. An account of one that is
// gone stays until its last request and loan have ended.
func (b *Book) SetResources(resources []Resource) {
	for _, a := range b.accounts {
		a.gone = true
	}
	for _, resource := range resources {
		a := b.open(resource.ID)
		a.gone = false
		a.slots = resource.Slots
	}
	for id, a := range b.accounts {
		b.aim(a)
		if a.gone && a.inUse == 0 && a.lentSum == 0 && a.borrowedSum == 0 {
			delete(b.accounts, id)
		}
	}
	b.raise()
}

// open finds or makes the account of a resource.
func (b *Book) open(resource string) *Account {
	a := b.accounts[resource]
	if a == nil {
		a = &Account{resource: resource, gone: true, lent: map[string]int{}, borrowed: map[string]int{}}
		b.accounts[resource] = a
	}
	return a
}

// Confirm notes the epoch that a member stands in, and where it still holds
// more than its share of that epoch.
func (b *Book) Confirm(member string, epoch uint64, overhang []Amount) {
	if member == b.self {
		return
	}
	state := &peerState{epoch: epoch, overhang: map[string]int{}}
	for _, amount := range overhang {
		state.overhang[amount.Resource] = amount.Count
	}
	b.peers[member] = state
	b.raise()
}

// Meet takes a member's word for what it has borrowed from an earlier process
// of this instance. Until every member has been met nothing is taken up: a
// lender that forgot its loans over a restart would use the same slots beside
// their borrowers.
func (b *Book) Meet(member string, owed []Amount) {
	if b.met[member] {
		return
	}
	b.met[member] = true
	for _, amount := range owed {
		a := b.open(amount.Resource)
		a.lent[member] += amount.Count
		a.lentSum += amount.Count
	}
	b.raise()
}

// raise takes up the gained part of each share where nobody holds it any more.
func (b *Book) raise() {
	if !b.settled() {
		return
	}
	for _, a := range b.accounts {
		if a.own < a.target && !b.contested(a.resource) {
			a.own = a.target
		}
	}
}

// settled tells whether every member stands in this very epoch and nobody is
// departing. A member that is further on tells its overhang by the shares of
// its own epoch: by those of this one it may hold too much unseen.
func (b *Book) settled() bool {
	if len(b.departed) > 0 {
		return false
	}
	for _, member := range b.members {
		if member == b.self {
			continue
		}
		state := b.peers[member]
		if state == nil || state.epoch != b.epoch || !b.met[member] {
			return false
		}
	}
	return true
}

func (b *Book) contested(resource string) bool {
	for _, state := range b.peers {
		if state.overhang[resource] > 0 {
			return true
		}
	}
	return false
}

// Overhang lists what this instance holds beyond its shares; it goes out with
// the confirmation of an epoch.
func (b *Book) Overhang() []Amount {
	var over []Amount
	for id, a := range b.accounts {
		if excess := a.held() - a.target; excess > 0 {
			over = append(over, Amount{Resource: id, Count: excess})
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].Resource < over[j].Resource })
	return over
}
