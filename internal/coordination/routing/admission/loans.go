package admission

import (
	"sort"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
)

const (
	// holdTimeout is how long a lender holds a borrow request that it cannot grant
	// yet. A credit that becomes idle in that time is lent at once.
	holdTimeout = 50 * time.Millisecond
	// maxOpenRequests is the number of lenders with an outstanding request for
	// credits. More brought no gain in measurements and cost messages.
	maxOpenRequests = 3
	// minRequestInterval is the minimum time between two borrow requests to one
	// lender, and minReturnInterval the minimum time between two returns of idle
	// borrowed credits. Both are extended for slow services; see loanInterval.
	minRequestInterval = 5 * time.Millisecond
	minReturnInterval  = 10 * time.Millisecond
	// intervalFraction is the fraction of the mean service time to which these
	// intervals are extended, and maxInterval the upper limit: slow services do
	// not need credits to move quickly.
	intervalFraction = 0.4
	maxInterval      = 100 * time.Millisecond
	// failureBackoff is the wait after a failed borrow request.
	failureBackoff = 200 * time.Millisecond
	// maxCreditsPerWant limits each count in a borrow request.
	maxCreditsPerWant = 64
)

// loans is the state of borrowing and lending between this instance and others.
type loans struct {
	incarnation int64
	lenders     map[string]*lender
	// held are the borrow requests of other instances that wait for an idle credit
	// here, oldest first.
	held []*heldRequest
	// lastRequests is the latest borrow request received from each instance; older
	// ones are discarded.
	lastRequests map[string]requestOrder
	nextReturn   time.Time
	// uncertain is set while the loans of any lender are uncertain.
	uncertain bool
}

// lender is another instance in its role as a lender of credits.
type lender struct {
	name     string
	sequence uint64
	// pending is set while a borrow request to the lender is outstanding.
	pending bool
	// wantsCredits is set if the pending request asks for credits; requests that
	// only report holdings do not.
	wantsCredits bool
	idle         int
	nextRequest  time.Time
	// uncertain is set while the lender may count a loan that this process does
	// not hold: its reply was lost, or the loan was made to an earlier process of
	// this instance.
	uncertain bool
}

type requestOrder struct {
	incarnation int64
	sequence    uint64
}

type heldRequest struct {
	from    string
	request BorrowRequest
	until   time.Time
}

func newLoans(incarnation int64) loans {
	return loans{incarnation: incarnation, lenders: map[string]*lender{}, lastRequests: map[string]requestOrder{}}
}

func (l *loans) lender(name string) *lender {
	found := l.lenders[name]
	if found == nil {
		found = &lender{name: name, uncertain: true}
		l.lenders[name] = found
	}
	return found
}

// requestCredits sends borrow requests while requests wait for credits, with at
// most one outstanding per lender. Lenders with the most idle credits come first
// and, among equals, those asked least recently; otherwise the same few lenders
// would be asked every time.
func (p *Policy) requestCredits(now time.Time) {
	if p.view.CutOff {
		return
	}
	wants := p.wants()
	if len(wants) == 0 {
		return
	}
	left := maxOpenRequests - p.pendingWants()
	if left <= 0 {
		return
	}
	open := p.availableLenders(now)
	for _, l := range open[:min(left, len(open))] {
		p.sendBorrowRequest(now, l, wants)
	}
}

// wants lists the credits that queued requests need and resets the counts of
// requests blocked by a customer limit.
func (p *Policy) wants() []Want {
	var wants []Want
	for _, s := range p.services {
		if n := s.queue.Len(); n > 0 {
			wants = append(wants, Want{Service: s.name, Count: min(n, maxCreditsPerWant)})
		}
	}
	for name, c := range p.customers {
		if c.limited > 0 && c.limit != nil {
			wants = append(wants, Want{Resource: limitResource(name), Count: min(c.limited, maxCreditsPerWant)})
		}
		c.limited = 0
	}
	sort.Slice(wants, func(i, j int) bool {
		return wants[i].Service < wants[j].Service || (wants[i].Service == wants[j].Service && wants[i].Resource < wants[j].Resource)
	})
	return wants
}

// loanInterval returns intervalFraction of the mean time of the fastest service,
// at most maxInterval.
func (p *Policy) loanInterval() time.Duration {
	quickest := maxInterval
	for _, s := range p.services {
		if s.estimate.samples > 0 {
			quickest = min(quickest, seconds(intervalFraction*s.estimate.mean))
		}
	}
	return quickest
}

func (p *Policy) availableLenders(now time.Time) []*lender {
	var open []*lender
	for _, name := range p.view.Members {
		if name == p.config.Self {
			continue
		}
		if l := p.loans.lender(name); !l.pending && !now.Before(l.nextRequest) {
			open = append(open, l)
		}
	}
	sort.SliceStable(open, func(i, j int) bool {
		if open[i].idle != open[j].idle {
			return open[i].idle > open[j].idle
		}
		return open[i].nextRequest.Before(open[j].nextRequest)
	})
	return open
}

// pendingWants counts the lenders with an outstanding request for credits.
func (p *Policy) pendingWants() int {
	n := 0
	for _, l := range p.loans.lenders {
		if l.pending && l.wantsCredits {
			n++
		}
	}
	return n
}

func (p *Policy) sendBorrowRequest(now time.Time, l *lender, wants []Want) {
	l.sequence++
	l.pending = true
	l.wantsCredits = len(wants) > 0
	l.nextRequest = now.Add(max(minRequestInterval, p.loanInterval()))
	request := BorrowRequest{Incarnation: p.loans.incarnation, Sequence: l.sequence, Wants: wants, Holding: p.ledger.Holding(l.name)}
	p.emit(SendBorrowRequest{To: l.name, Request: request})
}

// HandleBorrowReply handles a lender's reply; ok is false when none arrived. A
// reply to an older borrow request is discarded, and the next request tells the
// lender that the credits are not held.
func (p *Policy) HandleBorrowReply(now time.Time, from string, reply BorrowReply, ok bool) []Action {
	l := p.loans.lender(from)
	if reply.Sequence != l.sequence || !l.pending {
		return nil
	}
	l.pending = false
	l.idle = 0
	if ok {
		p.ledger.Reconcile(from, reply.Owed)
	}
	// A reply from a lender's process that has since restarted grants nothing: the
	// new process does not know of the loan.
	ok = ok && reply.Incarnation >= p.loans.lastRequests[from].incarnation
	l.uncertain = !ok || p.view.CutOff || !p.ledger.Borrow(from, reply.Granted)
	if l.uncertain {
		l.nextRequest = now.Add(failureBackoff)
	} else {
		l.idle = reply.Idle
	}
	p.updateUncertain()
	p.dispatchAll(now)
	return p.takeActions()
}

// HandleBorrowRequest handles another instance's borrow request. It is answered at
// once if credits can be lent or none are wanted; otherwise it is held for
// holdTimeout.
func (p *Policy) HandleBorrowRequest(now time.Time, from string, request BorrowRequest) []Action {
	last := p.loans.lastRequests[from]
	if request.Incarnation < last.incarnation || (request.Incarnation == last.incarnation && request.Sequence <= last.sequence) {
		return nil
	}
	p.loans.lastRequests[from] = requestOrder{incarnation: request.Incarnation, sequence: request.Sequence}
	p.discardHeld(from)
	p.ledger.SetLent(from, request.Holding)
	p.loans.held = append(p.loans.held, &heldRequest{from: from, request: request, until: now.Add(holdTimeout)})
	p.dispatchAll(now)
	if len(request.Wants) == 0 || p.view.CutOff || !contains(p.view.Members, from) {
		p.answerHeld(from, nil)
	}
	return p.takeActions()
}

func (p *Policy) discardHeld(from string) {
	kept := p.loans.held[:0]
	for _, held := range p.loans.held {
		if held.from != from {
			kept = append(kept, held)
		}
	}
	p.loans.held = kept
}

func (p *Policy) answerHeld(from string, granted []credit.Amount) {
	for _, held := range p.loans.held {
		if held.from == from {
			p.emit(SendBorrowReply{To: from, Reply: BorrowReply{
				Incarnation: p.loans.incarnation,
				Sequence:    held.request.Sequence,
				Granted:     granted,
				Owed:        p.ledger.Holding(from),
				Idle:        p.idle(),
			}})
		}
	}
	p.discardHeld(from)
}

// grantHeld lends idle credits to the held borrow requests, oldest first.
func (p *Policy) grantHeld(now time.Time) {
	if p.view.CutOff {
		return
	}
	for _, held := range append([]*heldRequest(nil), p.loans.held...) {
		var granted []credit.Amount
		for _, want := range held.request.Wants {
			granted = append(granted, p.grant(now, held.from, want)...)
		}
		if len(granted) > 0 {
			p.answerHeld(held.from, granted)
		}
	}
}

// grant lends up to half of the idle credits, so that the next request on this
// instance need not borrow them back.
func (p *Policy) grant(now time.Time, to string, want Want) []credit.Amount {
	if want.Resource != "" {
		return p.lend(to, want.Resource, min(want.Count, half(p.lendable(want.Resource))))
	}
	s := p.services[want.Service]
	if s == nil || s.queue.Len() > 0 {
		return nil
	}
	left := min(want.Count, half(s.lendable(now)))
	var granted []credit.Amount
	for i := range s.targets {
		if left == 0 {
			break
		}
		t := s.targets[(s.next+i)%len(s.targets)]
		if !t.health.Allows(now, t.account.InUse()) {
			continue
		}
		one := p.lend(to, minionResource(&t.minion), 1)
		left -= len(one)
		granted = append(granted, one...)
	}
	return granted
}

func half(n int) int { return (n + 1) / 2 }

func (p *Policy) lendable(resource string) int {
	if a := p.ledger.Account(resource); a != nil {
		return a.Lendable()
	}
	return 0
}

func (s *service) lendable(now time.Time) int {
	total := 0
	for _, t := range s.targets {
		if t.health.Allows(now, t.account.InUse()) {
			total += t.account.Lendable()
		}
	}
	return total
}

func (p *Policy) lend(to, resource string, count int) []credit.Amount {
	given := p.ledger.Lend(to, resource, count)
	if given == 0 {
		return nil
	}
	return []credit.Amount{{Resource: resource, Count: given}}
}

// idle returns the number of minion credits that this instance could lend now.
func (p *Policy) idle() int {
	total := 0
	for _, t := range p.targets {
		total += t.account.Lendable()
	}
	return total
}

// Tick handles everything that is due at now: held borrow requests that timed
// out, hedges, the sweep of queued requests and the return of idle loans.
func (p *Policy) Tick(now time.Time) []Action {
	for _, held := range append([]*heldRequest(nil), p.loans.held...) {
		if !now.Before(held.until) {
			p.answerHeld(held.from, nil)
		}
	}
	p.hedge(now)
	p.dispatchAll(now)
	if !now.Before(p.nextSweep) {
		p.sweep(now)
	}
	p.returnIdle(now)
	return p.takeActions()
}

// returnIdle returns idle borrowed credits, and reports holdings to the lenders
// whose loans are uncertain.
func (p *Policy) returnIdle(now time.Time) {
	if now.Before(p.loans.nextReturn) || p.view.CutOff || (p.ledger.Borrowed() == 0 && !p.loans.uncertain) {
		return
	}
	p.loans.nextReturn = now.Add(max(minReturnInterval, p.loanInterval()))
	for _, l := range p.availableLenders(now) {
		if p.returnTo(l.name) || l.uncertain {
			p.sendBorrowRequest(now, l, nil)
		}
	}
}

func (p *Policy) returnTo(name string) bool {
	returned := false
	for _, amount := range p.ledger.Holding(name) {
		if p.ledger.ReturnLoan(name, amount.Resource, amount.Count) > 0 {
			returned = true
		}
	}
	return returned
}

// Busy reports whether anything depends on the passage of time. A policy that
// is not busy needs no Tick.
func (p *Policy) Busy() bool {
	if len(p.loans.held) > 0 || p.ledger.Borrowed() > 0 || p.loans.uncertain {
		return true
	}
	for _, s := range p.services {
		if s.queue.Len() > 0 || len(s.hedgeCandidates) > 0 {
			return true
		}
	}
	return false
}

// updateUncertain recomputes whether the loans of any lender are uncertain.
func (p *Policy) updateUncertain() {
	p.loans.uncertain = false
	for _, name := range p.view.Members {
		if name != p.config.Self && p.loans.lender(name).uncertain {
			p.loans.uncertain = true
		}
	}
}
