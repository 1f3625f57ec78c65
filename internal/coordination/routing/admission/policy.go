package admission

import (
	"strconv"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
	"pinewinch.example/pinewinch/internal/coordination/routing/health"
)

const (
	// maxAttempts is the maximum number of attempts of a request, hedges included.
	maxAttempts = 3
	// noMinionRetry is the RetryAfter of a request that no minion can serve.
	noMinionRetry = time.Second
	// minRetryAfter keeps refused callers from retrying in a tight loop.
	minRetryAfter = 50 * time.Millisecond
)

// Policy decides about the requests of one instance. It is not safe for
// concurrent use.
type Policy struct {
	config    Config
	ledger    *credit.Ledger
	view      View
	targets   map[string]*target
	services  map[string]*service
	customers map[string]*customer
	loans     loans
	demands   demands
	nextSweep time.Time
	actions   []Action
}

// target is one incarnation of a minion with its credits and health.
type target struct {
	minion  Minion
	account *credit.Account
	health  *health.State
}

// service holds the minions that serve one service and its queued requests.
type service struct {
	name     string
	targets  []*target
	queue    *fairqueue.Queue[*Request]
	estimate serviceTime
	next     int
	// hedgeCandidates are the urgent requests in flight that may be hedged.
	hedgeCandidates []*Request
}

type customer struct {
	rules  Customer
	limit  *credit.Account
	budget budget
	rate   rateShare
	// limited counts the queued requests held back by the customer's limit.
	limited int
}

// New returns a policy without minions. incarnation identifies this process in
// borrow requests and replies; it must be greater than that of any earlier
// process of the instance.
func New(config Config, incarnation int64) *Policy {
	return &Policy{
		config:    config,
		ledger:    credit.NewLedger(config.Self),
		targets:   map[string]*target{},
		services:  map[string]*service{},
		customers: map[string]*customer{},
		loans:     newLoans(incarnation),
		demands:   demands{},
	}
}

// Ledger returns the ledger of this instance's credits.
func (p *Policy) Ledger() *credit.Ledger { return p.ledger }

func minionResource(m *Minion) string { return m.ID + "#" + strconv.FormatInt(m.Incarnation, 10) }

func limitResource(customer string) string { return "customer/" + customer }

// SetView replaces the view of the system. Queued requests that can no longer be
// served are refused at once.
func (p *Policy) SetView(now time.Time, view View) []Action {
	p.view = view
	p.ledger.SetMembers(view.Epoch, view.Members, view.Departed)
	resources := make([]credit.Resource, 0, len(view.Minions)+len(view.Customers))
	for i := range view.Minions {
		resources = append(resources, credit.Resource{ID: minionResource(&view.Minions[i]), Slots: view.Minions[i].Slots})
	}
	for _, c := range view.Customers {
		if c.MaxRequests > 0 {
			resources = append(resources, credit.Resource{ID: limitResource(c.Name), Slots: c.MaxRequests})
		}
	}
	p.ledger.SetResources(resources)
	p.setTargets(view.Minions)
	p.setCustomers(view.Customers)
	if view.CutOff {
		p.ledger.DropLoans()
	}
	p.updateUncertain()
	p.dispatchAll(now)
	p.sweep(now)
	return p.takeActions()
}

// setTargets replaces the set of minions and keeps the health of those that
// remain. A minion with a new incarnation starts with no health history.
func (p *Policy) setTargets(minions []Minion) {
	old := p.targets
	p.targets = make(map[string]*target, len(minions))
	for _, s := range p.services {
		s.targets = nil
	}
	for i := range minions {
		id := minionResource(&minions[i])
		t := old[id]
		if t == nil {
			t = &target{health: health.New()}
		}
		t.minion = minions[i]
		t.account = p.ledger.Account(id)
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
		c.limit = p.ledger.Account(limitResource(rules.Name))
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

// takeActions returns the actions collected during one event and clears them.
func (p *Policy) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }

// Arrive handles a new request: it is started, queued or refused at once.
func (p *Policy) Arrive(now time.Time, r *Request) []Action {
	s := p.service(r.Service)
	c := p.customer(r.Customer)
	if p.view.CutOff {
		p.refuse(r, Refusal{Reason: ReasonCutOff, RetryAfter: noMinionRetry})
		return p.takeActions()
	}
	if len(s.targets) == 0 {
		p.refuse(r, Refusal{Reason: ReasonNoMinion, RetryAfter: noMinionRetry})
		return p.takeActions()
	}
	if wait, ok := c.rate.take(now, c.rules.Rate); !ok {
		p.refuse(r, Refusal{Reason: ReasonRate, RetryAfter: max(wait, minRetryAfter)})
		return p.takeActions()
	}
	p.enqueue(s, c, r)
	p.dispatch(now, s)
	p.refuseUnmeetable(now, s, r)
	p.requestCredits(now)
	return p.takeActions()
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
	p.endWaiting(displaced.Value, Refusal{Reason: reason, RetryAfter: max(wait, minRetryAfter)})
}

// refuse ends a request that was never run.
func (p *Policy) refuse(r *Request, refusal Refusal) {
	r.ended = true
	p.emit(Refuse{Request: r, Refusal: refusal})
}

// endWaiting ends a queued request. If its last attempt may have run, it ends
// with the result of that attempt, else it is refused.
func (p *Policy) endWaiting(r *Request, refusal Refusal) {
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
		p.emit(Cancel{Attempt: other})
	}
	p.emit(Finish{Request: r, Result: result})
}

// CallerLeft handles a caller that cancelled its request or whose deadline has
// passed. A queued request ends at once. A request in flight gets no further
// attempt and ends with the outcome of the current one.
func (p *Policy) CallerLeft(now time.Time, r *Request) []Action {
	if r.ended {
		return nil
	}
	r.callerLeft = true
	if len(r.inFlight) == 0 {
		p.service(r.Service).queue.Remove(&r.item)
		p.endWaiting(r, Refusal{Reason: ReasonCallerLeft})
	}
	return p.takeActions()
}

// Done handles the outcome of an attempt and releases its credits.
func (p *Policy) Done(now time.Time, a *Attempt, result Result) []Action {
	r := a.Request
	s := p.service(r.Service)
	c := p.customer(r.Customer)
	p.release(a)
	p.recordOutcome(now, s, a, result)
	r.inFlight = removeAttempt(r.inFlight, a)
	switch {
	case r.ended:
	case result.Outcome == Answered:
		c.budget.succeeded()
		p.finish(r, result)
	default:
		r.last = result
		p.retry(now, s, c, r)
	}
	p.dispatch(now, s)
	p.grantHeld(now)
	p.requestCredits(now)
	return p.takeActions()
}

func (p *Policy) release(a *Attempt) {
	p.ledger.Release(a.target.account)
	if a.limit != nil {
		p.ledger.Release(a.limit)
	}
	if p.view.CutOff {
		p.ledger.DropLoans()
	}
}

// recordOutcome updates the minion's health and the estimated service time. Only
// answers count towards the service time, so that a minion that fails fast does
// not look fast. A cancelled attempt only shows that the minion took at least
// that long; counting it as a failure would let a burst of cancellations eject
// every minion. An attempt whose deadline passes when it is already late counts
// as failed, as otherwise a minion that hangs would look healthy.
func (p *Policy) recordOutcome(now time.Time, s *service, a *Attempt, result Result) {
	took := now.Sub(a.started)
	h := a.target.health
	over := a.Request.ended || a.Request.callerLeft
	switch {
	case result.Outcome == Answered:
		h.Answered(s.estimate.ratio(took), a.Minion.Slots)
		s.estimate.observe(took)
	case result.Outcome == Refused:
		h.Refused(now, a.target.account.InUse())
	case over && (now.Before(a.Request.Deadline) || took <= s.estimate.lateThreshold()):
		h.Abandoned(s.estimate.ratio(took))
	default:
		h.Failed(now, s.estimate.typical(), s.mayEject(now))
	}
}

// mayEject limits ejected outliers to half of a service's minions, rounded up. If
// more fail, the cause is likely elsewhere, and ejecting them all would leave
// nothing to serve requests.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range s.targets {
		if t.health.Ejected(now) {
			ejected++
		}
	}
	return ejected < (len(s.targets)+1)/2
}

// retry queues a request again if that is safe: it certainly did not run, or it
// is idempotent. The retry budget and the number of attempts are limited, so
// that retries do not overload a failing service.
func (p *Policy) retry(now time.Time, s *service, c *customer, r *Request) {
	if len(r.inFlight) > 0 {
		return
	}
	if r.callerLeft || r.last.Final {
		p.finish(r, r.last)
		return
	}
	safe := r.Idempotent || r.last.Outcome == Refused || r.last.Outcome == NotRun
	if !safe || r.attempts >= maxAttempts || !now.Before(r.Deadline) || !c.budget.spend() {
		p.finish(r, r.last)
		return
	}
	if !p.hasUntried(s, r) {
		r.tried = nil
	}
	p.enqueue(s, c, r)
	p.refuseUnmeetable(now, s, r)
}

// hasUntried reports whether the service has a minion that the request has not
// tried.
func (p *Policy) hasUntried(s *service, r *Request) bool {
	for _, t := range s.targets {
		if !contains(r.tried, t.minion.ID) {
			return true
		}
	}
	return false
}

func removeAttempt(attempts []*Attempt, a *Attempt) []*Attempt {
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
