package credit

import "sort"

// Loans are synchronized by state rather than by changes: a borrower reports all
// that it holds from a lender, and the lender adopts that. After a lost or
// duplicated message both agree again with the next one.

// Lend lends up to count free credits of a resource to another member and
// returns the number lent.
func (l *Ledger) Lend(to, resource string, count int) int {
	a := l.accounts[resource]
	if a == nil {
		return 0
	}
	granted := max(0, min(count, a.Lendable()))
	if granted > 0 {
		a.lent[to] += granted
		a.lentTotal += granted
	}
	return granted
}

// SetLent adopts the holdings that a borrower reports. It can only reduce loans,
// as a borrower never holds more than it was lent.
func (l *Ledger) SetLent(to string, holding []Amount) {
	kept := make(map[string]int, len(holding))
	for _, amount := range holding {
		kept[amount.Resource] += amount.Count
	}
	for id, a := range l.accounts {
		before := a.lent[to]
		after := min(before, kept[id])
		if before == after {
			continue
		}
		a.lentTotal -= before - after
		a.lent[to] = after
		if after == 0 {
			delete(a.lent, to)
		}
	}
	l.dropLoansUnlessMember()
}

// Lent is the number of credits of a resource lent to a member.
func (l *Ledger) Lent(to, resource string) int {
	if a := l.accounts[resource]; a != nil {
		return a.lent[to]
	}
	return 0
}

// Borrow records the credits granted by a lender. It returns false and records
// nothing if this instance is not a member. Credits on an unknown resource are
// recorded too, so that they are returned.
func (l *Ledger) Borrow(from string, granted []Amount) bool {
	if !l.IsMember() {
		return false
	}
	for _, amount := range granted {
		a := l.openAccount(amount.Resource)
		a.borrowed[from] += amount.Count
		a.borrowedTotal += amount.Count
		l.borrowed += amount.Count
	}
	return true
}

// ReturnLoan returns up to count credits of a resource that are borrowed from a
// lender and not in use, and gives the number returned.
func (l *Ledger) ReturnLoan(from, resource string, count int) int {
	a := l.accounts[resource]
	if a == nil {
		return 0
	}
	given := max(0, min(count, a.borrowed[from], a.Free()))
	if given == 0 {
		return 0
	}
	a.borrowedTotal -= given
	l.borrowed -= given
	a.borrowed[from] -= given
	if a.borrowed[from] == 0 {
		delete(a.borrowed, from)
	}
	return given
}

// Holding lists the credits borrowed from a lender, sorted by resource.
func (l *Ledger) Holding(from string) []Amount {
	var holding []Amount
	for id, a := range l.accounts {
		if count := a.borrowed[from]; count > 0 {
			holding = append(holding, Amount{Resource: id, Count: count})
		}
	}
	sort.Slice(holding, func(i, j int) bool { return holding[i].Resource < holding[j].Resource })
	return holding
}

// Lenders lists the members that this instance has borrowed from, sorted.
func (l *Ledger) Lenders() []string {
	seen := map[string]bool{}
	for _, a := range l.accounts {
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

// Borrowed is the number of credits borrowed from all lenders.
func (l *Ledger) Borrowed() int { return l.borrowed }

// DropLoans gives up every loan that is not in use. An instance that is cut off
// keeps only its own credits, because its lenders will reclaim theirs.
func (l *Ledger) DropLoans() {
	for _, lender := range l.Lenders() {
		for _, amount := range l.Holding(lender) {
			l.ReturnLoan(lender, amount.Resource, amount.Count)
		}
	}
}
