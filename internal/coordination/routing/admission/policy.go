package admission

import (
	"strconv"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
	"pinewinch.example/pinewinch/internal/coordination/routing/health"
)

const (
	// maxAttempts caps the attempts of one request, hedges included.
	maxAttempts = 3
	// noMinionRetry is what a caller is told when nothing serves a service.
	noMinionRetry = time.Second
	// minRetryAfter keeps refused callers from coming back in a tight loop.
	minRetryAfter = 50 * time.Millisecond
)

// Policy is one instance's decisions about requests.
type Policy struct {
	config    Config
	book      *credit.Book
	view      View
	targets   map[string]*target
	services  map[string]*service
	customers map[string]*customer
	loans     loans
	demands   demands
	nextSweep time.Time
	actions   []Action
}

// target is one incarnation of a minion.
type target struct {
	minion  Minion
	account *credit.Account
	health  *health.State
}

// service is one kind of request: what serves it and what waits for it.
type service struct {
	name    string
	targets []*target
	queue   *fairqueue.Queue[*Request]
	learned learned
	next    int
	// hedged are the urgent requests in flight that may get a second attempt.
	hedged []*Request
}

type customer struct {
	rules  Customer
	limit  *credit.Account
	budget budget
	rate   rateShare
	// blocked counts the requests that wait for a credit on the limit.
	blocked int
}

// New makes a policy that knows of no minion yet.
func New(config Config, boot int64) *Policy {
	return &Policy{
		config:    config,
		book:      credit.NewBook(config.Self),
		targets:   map[string]*target{},
		services:  map[string]*service{},
		customers: map[string]*customer{},
		loans:     newLoans(boot),
		demands:   demands{},
	}
}

// Book gives the credits, for reports.
func (p *Policy) Book() *credit.Book { return p.book }

func resourceOf(m *Minion) string { return m.ID + "#" + strconv.FormatInt(m.Incarnation, 10) }

func limitResource(customer string) string { return "customer/" + customer }

// SetView takes what is known of the system now.
func (p *Policy) SetView(now time.Time, view View) []Action {
	p.view = view
	p.book.SetMembers(view.Epoch, view.Members, view.Departed)
	resources := make([]credit.Resource, 0, len(view.Minions)+len(view.Customers))
	for i := range view.Minions {
		resources = append(resources, credit.Resource{ID: resourceOf(&view.Minions[i]), Slots: view.Minions[i].Slots})
	}
	for _, c := range view.Customers {
		if c.MaxRequests > 0 {
			resources = append(resources, credit.Resource{ID: limitResource(c.Name), Slots: c.MaxRequests})
		}
	}
	p.book.SetResources(resources)
	p.setTargets(view.Minions)
	p.setCustomers(view.Customers)
	if view.CutOff {
		p.book.DropLoans()
	}
	p.noteUnsure()
	p.pumpAll(now)
	p.sweep(now)
	return p.take()
}

// setTargets keeps what is known of the minions that stay; one that came back
// under a new incarnation starts clean.
func (p *Policy) setTargets(minions []Minion) {
	old := p.targets
	p.targets = make(map[string]*target, len(minions))
	for _, s := range p.services {
		s.targets = nil
	}
	for i := range minions {
		id := resourceOf(&minions[i])
		t := old[id]
		if t == nil {
			t = &target{health: health.New()}
		}
		t.minion = minions[i]
		t.account = p.book.Account(id)
		p.targets[id] = t
		for _, name := range t.minion.Services {
			s := p.service(name)
			s.targets = append(s.targets, t)
		}
	}
}

func (p *Policy) setCustomers(customers []Customer) {
	for _, rules := range customers {
		c := p.customer(rules.Name)
		c.rules = rules
		c.limit = p.book.Account(limitResource(rules.Name))
		c.rate.share = p.rateShare(rules.Name)
	}
}

func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, queue: fairqueue.New[*Request](p.config.QueueLength)}
		p.services[name] = s
	}
	return s
}

func (p *Policy) customer(name string) *customer {
	c := p.customers[name]
	if c == nil {
		c = &customer{rules: Customer{Name: name, Weight: 1}, budget: newBudget()}
		p.customers[name] = c
	}
	return c
}

// take hands out the actions collected during one event.
func (p *Policy) take() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Policy) do(action Action) { p.actions = append(p.actions, action) }

// Arrive takes a new request: it starts, waits or is refused at once.
func (p *Policy) Arrive(now time.Time, r *Request) []Action {
	s := p.service(r.Service)
	c := p.customer(r.Customer)
	if p.view.CutOff {
		p.refuse(r, Refusal{Reason: ReasonCutOff, RetryAfter: noMinionRetry})
		return p.take()
	}
	if len(s.targets) == 0 {
		p.refuse(r, Refusal{Reason: ReasonNoMinion, RetryAfter: noMinionRetry})
		return p.take()
	}
	if wait, ok := c.rate.take(now, c.rules.Rate); !ok {
		p.refuse(r, Refusal{Reason: ReasonRate, RetryAfter: max(wait, minRetryAfter)})
		return p.take()
	}
	p.enqueue(s, c, r)
	p.pump(now, s)
	p.refuseUnmeetable(now, s, r)
	p.ask(now)
	return p.take()
}

func (p *Policy) enqueue(s *service, c *customer, r *Request) {
	r.item = fairqueue.Item[*Request]{
		Customer: r.Customer,
		Weight:   c.rules.Weight,
		Priority: r.Priority,
		Deadline: r.Deadline,
		Value:    r,
	}
	displaced := s.queue.Push(&r.item)
	if displaced == nil {
		return
	}
	reason := ReasonDisplaced
	if displaced == &r.item {
		reason = ReasonQueueFull
	}
	wait, _ := p.wait(s, displaced)
	p.giveUp(displaced.Value, Refusal{Reason: reason, RetryAfter: max(wait, minRetryAfter)})
}

// refuse ends a request that was never sent.
func (p *Policy) refuse(r *Request, refusal Refusal) {
	r.ended = true
	p.do(Refuse{Request: r, Refusal: refusal})
}

// giveUp ends a waiting request: one that was tried before gets the result of
// its last attempt.
func (p *Policy) giveUp(r *Request, refusal Refusal) {
	if r.ended || len(r.inFlight) > 0 {
		return
	}
	if r.attempts > 0 && r.last.Outcome != Refused && r.last.Outcome != NotRun {
		p.finish(r, r.last)
		return
	}
	p.refuse(r, refusal)
}

func (p *Policy) finish(r *Request, result Result) {
	r.ended = true
	for _, other := range r.inFlight {
		p.do(Cancel{Attempt: other})
	}
	p.do(Finish{Request: r, Result: result})
}

// Leave notes that a request's caller has gone or that its time is up. One that
// waits ends at once; one in flight gets no other attempt, and ends with the
// outcome of the one it has.
func (p *Policy) Leave(now time.Time, r *Request) []Action {
	if r.ended {
		return nil
	}
	r.gone = true
	if len(r.inFlight) == 0 {
		p.service(r.Service).queue.Remove(&r.item)
		p.giveUp(r, Refusal{Reason: ReasonLeft})
	}
	return p.take()
}

// Done takes the outcome of an attempt; its credit is free again.
func (p *Policy) Done(now time.Time, a *Attempt, result Result) []Action {
	r := a.Request
	s := p.service(r.Service)
	c := p.customer(r.Customer)
	p.release(a)
	p.judge(now, s, a, result)
	r.inFlight = without(r.inFlight, a)
	switch {
	case r.ended:
	case result.Outcome == Answered:
		c.budget.succeeded()
		p.finish(r, result)
	default:
		r.last = result
		p.retry(now, s, c, r)
	}
	p.pump(now, s)
	p.serveHeld(now)
	p.ask(now)
	return p.take()
}

func (p *Policy) release(a *Attempt) {
	p.book.Release(a.target.account)
	if a.limit != nil {
		p.book.Release(a.limit)
	}
	if p.view.CutOff {
		p.book.DropLoans()
	}
}

// judge lets the minion's standing and the learned service time follow the
// outcome. Only answers teach: a quick failure must not look like a quick
// minion. A caller that hangs up says nothing of the minion but that it was not
// quicker: a wave of cancellations must not make outliers of all minions. A
// deadline that passes later than an answer is due counts as failed, or a minion
// that hangs would look healthy.
func (p *Policy) judge(now time.Time, s *service, a *Attempt, result Result) {
	took := now.Sub(a.started)
	h := a.target.health
	over := a.Request.ended || a.Request.gone
	switch {
	case result.Outcome == Answered:
		h.Answered(s.learned.ratio(took), a.Minion.Slots)
		s.learned.add(took)
	case result.Outcome == Refused:
		h.Refused(now, a.target.account.InUse())
	case over && (now.Before(a.Request.Deadline) || took <= s.learned.late()):
		h.Abandoned(s.learned.ratio(took))
	default:
		h.Failed(now, s.learned.usual(), s.mayEject(now))
	}
}

// mayEject bounds the outliers to half of a service's minions: where more fail,
// the fault lies elsewhere, and without them nothing could be served.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range s.targets {
		if t.health.Ejected(now) {
			ejected++
		}
	}
	return ejected < (len(s.targets)+1)/2
}

// retry sends a request again where that is safe: it surely did not run, or
// is idempotent. Budget and attempts are bounded, so that a failing service
// is not buried under retries.
func (p *Policy) retry(now time.Time, s *service, c *customer, r *Request) {
	if len(r.inFlight) > 0 {
		return
	}
	if r.gone || r.last.Final {
		p.finish(r, r.last)
		return
	}
	safe := r.Idempotent || r.last.Outcome == Refused || r.last.Outcome == NotRun
	if !safe || r.attempts >= maxAttempts || !now.Before(r.Deadline) || !c.budget.spend() {
		p.finish(r, r.last)
		return
	}
	if !p.untried(s, r) {
		r.tried = nil
	}
	p.enqueue(s, c, r)
	p.refuseUnmeetable(now, s, r)
}

// untried tells whether a minion is left that this request has not been at.
func (p *Policy) untried(s *service, r *Request) bool {
	for _, t := range s.targets {
		if !contains(r.tried, t.minion.ID) {
			return true
		}
	}
	return false
}

func without(attempts []*Attempt, a *Attempt) []*Attempt {
	for i, other := range attempts {
		if other == a {
			return append(attempts[:i], attempts[i+1:]...)
		}
	}
	return attempts
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
