package credit

import "sort"

// Loans are kept by state, not by change: a borrower tells a lender all that it
// holds of that lender, and the lender takes the word for it. A lost or
// repeated message then costs nothing but time: the next one puts both right.

// Lend gives up to count free credits of a resource to another member.
func (b *Book) Lend(to, resource string, count int) int {
	a := b.accounts[resource]
	if a == nil {
		return 0
	}
	granted := max(0, min(count, a.Lendable()))
	if granted > 0 {
		a.lent[to] += granted
		a.lentSum += granted
	}
	return granted
}

// SetLent takes a borrower's word for what it holds. It can only shrink a
// loan: a borrower never holds more than it was given.
func (b *Book) SetLent(to string, holding []Amount) {
	kept := make(map[string]int, len(holding))
	for _, amount := range holding {
		kept[amount.Resource] += amount.Count
	}
	for id, a := range b.accounts {
		before := a.lent[to]
		after := min(before, kept[id])
		if before == after {
			continue
		}
		a.lentSum -= before - after
		a.lent[to] = after
		if after == 0 {
			delete(a.lent, to)
		}
	}
	b.dropOutside()
}

// Lent is what a member has borrowed of a resource here.
func (b *Book) Lent(to, resource string) int {
	if a := b.accounts[resource]; a != nil {
		return a.lent[to]
	}
	return 0
}

// Borrow takes what a lender granted; false where this instance is no member
// and takes nothing. Credits on a resource unknown here are kept too, so that
// they are given back.
func (b *Book) Borrow(from string, granted []Amount) bool {
	if !b.Inside() {
		return false
	}
	for _, amount := range granted {
		a := b.open(amount.Resource)
		a.borrowed[from] += amount.Count
		a.borrowedSum += amount.Count
		b.borrowed += amount.Count
	}
	return true
}

// GiveBack ends up to count loans of a resource that are not in use.
func (b *Book) GiveBack(from, resource string, count int) int {
	a := b.accounts[resource]
	if a == nil {
		return 0
	}
	given := max(0, min(count, a.borrowed[from], a.Free()))
	if given == 0 {
		return 0
	}
	a.borrowedSum -= given
	b.borrowed -= given
	a.borrowed[from] -= given
	if a.borrowed[from] == 0 {
		delete(a.borrowed, from)
	}
	return given
}

// Holding lists what this instance has borrowed of a lender.
func (b *Book) Holding(from string) []Amount {
	var holding []Amount
	for id, a := range b.accounts {
		if count := a.borrowed[from]; count > 0 {
			holding = append(holding, Amount{Resource: id, Count: count})
		}
	}
	sort.Slice(holding, func(i, j int) bool { return holding[i].Resource < holding[j].Resource })
	return holding
}

// Lenders lists the members that this instance has borrowed from.
func (b *Book) Lenders() []string {
	seen := map[string]bool{}
	for _, a := range b.accounts {
		for name := range a.borrowed {
			seen[name] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Borrowed is the number of credits held of all lenders.
func (b *Book) Borrowed() int { return b.borrowed }

// DropLoans gives up every loan that is not in use: an instance that is cut off
// keeps only its own credits, because its lenders will take theirs back.
func (b *Book) DropLoans() {
	for _, lender := range b.Lenders() {
		for _, amount := range b.Holding(lender) {
			b.GiveBack(lender, amount.Resource, amount.Count)
		}
	}
}
