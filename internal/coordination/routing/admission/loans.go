package admission

import (
	"sort"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
)

const (
	// askHold is how long a lender keeps an ask that it can't meet yet: a credit
	// that becomes idle meanwhile goes out at once.
	askHold = 50 * time.Millisecond
	// openAsks is how many lenders are asked at once. More gains nothing in the
	// measurements and costs messages.
	openAsks = 3
	// askPause is the least time between two asks of one lender, and returnEvery
	// how often idle borrowed credits go back; both grow with the service time.
	askPause    = 5 * time.Millisecond
	returnEvery = 10 * time.Millisecond
	// paceShare of the usual service time is the pace of loans where that is
	// longer, maxPace its bound: slow services need no quick loans.
	paceShare = 0.4
	maxPace   = 100 * time.Millisecond
	// repairPause is the wait after an ask that failed.
	repairPause = 200 * time.Millisecond
	// maxAsk bounds the credits asked for in one message.
	maxAsk = 64
)

// loans is the traffic of credits between this instance and the others.
type loans struct {
	boot    int64
	lenders map[string]*lender
	// held are the asks of others that wait for an idle credit here, oldest first.
	held []*heldAsk
	// heard orders the asks of each borrower.
	heard      map[string]order
	nextReturn time.Time
	// unsure is whether any member is unsure as a lender.
	unsure bool
}

// lender is another instance as one to borrow from.
type lender struct {
	name     string
	sequence uint64
	open     bool
	// wanting is set where the open ask asks for credits.
	wanting  bool
	idle     int
	askAgain time.Time
	// unsure is set while the lender may count a loan that never came here: its
	// reply was lost, or an earlier process of this instance had it.
	unsure bool
}

type order struct {
	boot     int64
	sequence uint64
}

type heldAsk struct {
	from  string
	ask   Ask
	until time.Time
}

func newLoans(boot int64) loans {
	return loans{boot: boot, lenders: map[string]*lender{}, heard: map[string]order{}}
}

func (l *loans) lender(name string) *lender {
	found := l.lenders[name]
	if found == nil {
		found = &lender{name: name, unsure: true}
		l.lenders[name] = found
	}
	return found
}

// ask sends out asks while requests wait for credits: to the lenders that had
// most to lend, then to those asked longest ago, one open ask to each. Without
// the second the same few would be asked again and again.
func (p *Policy) ask(now time.Time) {
	if p.view.CutOff {
		return
	}
	wants := p.wants()
	if len(wants) == 0 {
		return
	}
	left := openAsks - p.asking()
	if left <= 0 {
		return
	}
	open := p.openLenders(now)
	for _, l := range open[:min(left, len(open))] {
		p.sendAsk(now, l, wants)
	}
}

// wants lists what the waiting requests lack.
func (p *Policy) wants() []Want {
	var wants []Want
	for _, s := range p.services {
		if n := s.queue.Len(); n > 0 {
			wants = append(wants, Want{Service: s.name, Count: min(n, maxAsk)})
		}
	}
	for name, c := range p.customers {
		if c.blocked > 0 && c.limit != nil {
			wants = append(wants, Want{Resource: limitResource(name), Count: min(c.blocked, maxAsk)})
		}
		c.blocked = 0
	}
	sort.Slice(wants, func(i, j int) bool {
		return wants[i].Service < wants[j].Service || (wants[i].Service == wants[j].Service && wants[i].Resource < wants[j].Resource)
	})
	return wants
}

// pace is the part of the quickest service's time that loans keep to.
func (p *Policy) pace() time.Duration {
	quickest := maxPace
	for _, s := range p.services {
		if s.learned.samples > 0 {
			quickest = min(quickest, seconds(paceShare*s.learned.mean))
		}
	}
	return quickest
}

func (p *Policy) openLenders(now time.Time) []*lender {
	var open []*lender
	for _, name := range p.view.Members {
		if name == p.config.Self {
			continue
		}
		if l := p.loans.lender(name); !l.open && !now.Before(l.askAgain) {
			open = append(open, l)
		}
	}
	sort.SliceStable(open, func(i, j int) bool {
		if open[i].idle != open[j].idle {
			return open[i].idle > open[j].idle
		}
		return open[i].askAgain.Before(open[j].askAgain)
	})
	return open
}

// asking counts the lenders that are asked for credits now.
func (p *Policy) asking() int {
	n := 0
	for _, l := range p.loans.lenders {
		if l.open && l.wanting {
			n++
		}
	}
	return n
}

func (p *Policy) sendAsk(now time.Time, l *lender, wants []Want) {
	l.sequence++
	l.open = true
	l.wanting = len(wants) > 0
	l.askAgain = now.Add(max(askPause, p.pace()))
	ask := Ask{Boot: p.loans.boot, Sequence: l.sequence, Wants: wants, Holding: p.book.Holding(l.name)}
	p.do(SendAsk{To: l.name, Ask: ask})
}

// Replied takes a lender's reply; ok is false when none came. A reply to an
// older ask is dropped: the next ask tells the lender that nothing is held.
func (p *Policy) Replied(now time.Time, from string, reply Reply, ok bool) []Action {
	l := p.loans.lender(from)
	if reply.Sequence != l.sequence || !l.open {
		return nil
	}
	l.open = false
	l.idle = 0
	if ok {
		p.book.Meet(from, reply.Owed)
	}
	// A reply of a process that has since been replaced lends nothing: its
	// successor does not know of the loan.
	ok = ok && reply.Boot >= p.loans.heard[from].boot
	l.unsure = !ok || p.view.CutOff || !p.book.Borrow(from, reply.Granted)
	if l.unsure {
		l.askAgain = now.Add(repairPause)
	} else {
		l.idle = reply.Idle
	}
	p.noteUnsure()
	p.pumpAll(now)
	return p.take()
}

// Asked takes another instance's ask. It is answered at once if something can
// be lent or nothing is wanted, else it is held for a moment.
func (p *Policy) Asked(now time.Time, from string, ask Ask) []Action {
	last := p.loans.heard[from]
	if ask.Boot < last.boot || (ask.Boot == last.boot && ask.Sequence <= last.sequence) {
		return nil
	}
	p.loans.heard[from] = order{boot: ask.Boot, sequence: ask.Sequence}
	p.dropHeld(from)
	p.book.SetLent(from, ask.Holding)
	p.loans.held = append(p.loans.held, &heldAsk{from: from, ask: ask, until: now.Add(askHold)})
	p.pumpAll(now)
	if len(ask.Wants) == 0 || p.view.CutOff || !contains(p.view.Members, from) {
		p.answerHeld(from, nil)
	}
	return p.take()
}

func (p *Policy) dropHeld(from string) {
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
			p.do(SendReply{To: from, Reply: Reply{
				Boot:     p.loans.boot,
				Sequence: held.ask.Sequence,
				Granted:  granted,
				Owed:     p.book.Holding(from),
				Idle:     p.idle(),
			}})
		}
	}
	p.dropHeld(from)
}

// serveHeld lends idle credits to the instances that asked, oldest ask first.
func (p *Policy) serveHeld(now time.Time) {
	if p.view.CutOff {
		return
	}
	for _, held := range append([]*heldAsk(nil), p.loans.held...) {
		var granted []credit.Amount
		for _, want := range held.ask.Wants {
			granted = append(granted, p.grant(now, held.from, want)...)
		}
		if len(granted) > 0 {
			p.answerHeld(held.from, granted)
		}
	}
}

// grant lends half of what is idle, so that the next request here need not
// borrow it back.
func (p *Policy) grant(now time.Time, to string, want Want) []credit.Amount {
	if want.Resource != "" {
		return p.grantOn(to, want.Resource, min(want.Count, half(p.lendable(want.Resource))))
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
		one := p.grantOn(to, resourceOf(&t.minion), 1)
		left -= len(one)
		granted = append(granted, one...)
	}
	return granted
}

func half(n int) int { return (n + 1) / 2 }

func (p *Policy) lendable(resource string) int {
	if a := p.book.Account(resource); a != nil {
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

func (p *Policy) grantOn(to, resource string, count int) []credit.Amount {
	given := p.book.Lend(to, resource, count)
	if given == 0 {
		return nil
	}
	return []credit.Amount{{Resource: resource, Count: given}}
}

// idle is what this instance could lend now.
func (p *Policy) idle() int {
	total := 0
	for _, t := range p.targets {
		total += t.account.Lendable()
	}
	return total
}

// Tick does what is due by time.
func (p *Policy) Tick(now time.Time) []Action {
	for _, held := range append([]*heldAsk(nil), p.loans.held...) {
		if !now.Before(held.until) {
			p.answerHeld(held.from, nil)
		}
	}
	p.hedge(now)
	p.pumpAll(now)
	if !now.Before(p.nextSweep) {
		p.sweep(now)
	}
	p.giveBack(now)
	return p.take()
}

// giveBack returns borrowed credits that are idle, and puts right what a lost
// reply left unsure.
func (p *Policy) giveBack(now time.Time) {
	if now.Before(p.loans.nextReturn) || p.view.CutOff || (p.book.Borrowed() == 0 && !p.loans.unsure) {
		return
	}
	p.loans.nextReturn = now.Add(max(returnEvery, p.pace()))
	for _, l := range p.openLenders(now) {
		if p.returnTo(l.name) || l.unsure {
			p.sendAsk(now, l, nil)
		}
	}
}

func (p *Policy) returnTo(name string) bool {
	returned := false
	for _, amount := range p.book.Holding(name) {
		if p.book.GiveBack(name, amount.Resource, amount.Count) > 0 {
			returned = true
		}
	}
	return returned
}

// Busy tells whether anything here waits for time to pass; a policy that is
// not busy needs no tick.
func (p *Policy) Busy() bool {
	if len(p.loans.held) > 0 || p.book.Borrowed() > 0 || p.loans.unsure {
		return true
	}
	for _, s := range p.services {
		if s.queue.Len() > 0 || len(s.hedged) > 0 {
			return true
		}
	}
	return false
}

// noteUnsure looks whether some lender's count of loans is in doubt.
func (p *Policy) noteUnsure() {
	p.loans.unsure = false
	for _, name := range p.view.Members {
		if name != p.config.Self && p.loans.lender(name).unsure {
			p.loans.unsure = true
		}
	}
}
