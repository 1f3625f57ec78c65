package routing

import (
	"context"
	"expvar"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	answered = expvar.NewInt("requests_answered")
	refused  = expvar.NewInt("requests_refused")
	retried  = expvar.NewInt("requests_retried")
	hedged   = expvar.NewInt("requests_hedged")
	asksSent = expvar.NewInt("requests_credit_asks")
	// refusals counts refused requests by reason.
	refusals = expvar.NewMap("requests_refusals")
	// outcomes counts attempts by outcome.
	outcomes = expvar.NewMap("requests_attempts")
)

var outcomeNames = map[admission.Outcome]string{
	admission.Answered: "answered",
	admission.Refused:  "refused",
	admission.NotRun:   "not_run",
	admission.Failed:   "failed",
	admission.Unknown:  "unknown",
}

func count(attempt *admission.Attempt, outcome admission.Outcome) {
	outcomes.Add(outcomeNames[outcome], 1)
	switch {
	case attempt.Hedge:
		hedged.Add(1)
	case attempt.Number > 1:
		retried.Add(1)
	}
}

// urgentPriority is the lowest service priority whose late requests are hedged.
const urgentPriority = 50

// Send forwards one request to a minion and returns the answer. The request is
// retried only if it certainly did not run, or if idempotent is set and running
// it twice is harmless. Errors say whether the request ran; see
// failure.From. If an attempt is in flight when ctx is done, Send returns the
// outcome of that attempt.
func (r *Router) Send(ctx context.Context, request *Request, idempotent bool) (*api.Answer, error) {
	w := &waiter{ctx: ctx, request: request, done: make(chan delivery, 1)}
	priority := r.priority(request.Service)
	sent := &admission.Request{
		Customer:   request.Customer,
		Service:    request.Service,
		Priority:   priority,
		Deadline:   r.deadline(ctx),
		Idempotent: idempotent,
		Urgent:     priority >= urgentPriority,
		Owner:      w,
	}
	r.dispatcher.handle(func(p *admission.Policy, now time.Time) []admission.Action { return p.Arrive(now, sent) })
	var d delivery
	select {
	case d = <-w.done:
	case <-ctx.Done():
		r.dispatcher.handle(func(p *admission.Policy, now time.Time) []admission.Action { return p.CallerLeft(now, sent) })
		d = <-w.done
	}
	if d.err == nil {
		answered.Add(1)
	}
	return d.answer, d.err
}

// noDeadline is the time allowed to a request whose context has no deadline.
const noDeadline = time.Hour

func (r *Router) deadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return r.config.Now().Add(noDeadline)
}

func (r *Router) priority(name string) uint32 {
	service, _ := r.control.State().Service(name)
	return service.GetPriority()
}

// refusalFailure counts a refused request and returns the error for its caller.
func refusalFailure(request *admission.Request, refusal admission.Refusal) *failure.Error {
	refused.Add(1)
	refusals.Add(string(refusal.Reason), 1)
	code := failure.Overloaded
	switch refusal.Reason {
	case admission.ReasonRate, admission.ReasonLimit:
		code = failure.LimitReached
	case admission.ReasonCutOff:
		code = failure.StaleState
	case admission.ReasonCallerLeft:
		code = failure.DeadlinePassed
	}
	f := failure.New(code, "request for %q refused: %s", request.Service, refusal.Reason)
	f.RetryAfter = refusal.RetryAfter
	return f
}

// Run refreshes the view and drives queued requests until ctx is done.
func (r *Router) Run(ctx context.Context) { r.dispatcher.run(ctx, r.refresh) }

// HandleBorrowRequest answers a borrow request for credits from another instance.
func (r *Router) HandleBorrowRequest(ctx context.Context, from string, request admission.BorrowRequest) (admission.BorrowReply, error) {
	return r.dispatcher.handleBorrowRequest(ctx, from, request)
}

// refresh rebuilds the view and passes it to the policy if it changed.
func (r *Router) refresh() {
	r.updatePeers()
	r.dispatcher.countDemand()
	view := r.readView()
	if r.view != nil && equalViews(r.view, &view) {
		return
	}
	r.view = &view
	r.dispatcher.handle(func(p *admission.Policy, now time.Time) []admission.Action { return p.SetView(now, view) })
}

func (r *Router) readView() admission.View {
	// A pause between the two must not let an old state pass as fresh.
	fresh := r.control.CheckFresh() == nil
	state := r.control.State()
	members := state.CreditMembers()
	view := admission.View{Epoch: members.Epoch, Members: members.Members, Departed: members.Departed}
	r.lease.update(r.config, fresh, &view)
	for _, minion := range r.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION) {
		if minion.Leaving || state.Drained(minion.Id) || state.Evacuated(minion.DataCentre) {
			continue
		}
		view.Minions = append(view.Minions, admission.Minion{
			ID:          minion.Id,
			Incarnation: minion.Incarnation,
			Address:     minion.Address,
			Slots:       int(minion.Slots),
			Services:    minion.Services,
		})
	}
	view.Customers = r.readCustomers(state)
	return view
}

// readCustomers reads the declared customers. It iterates over the declarations
// only when the state revision has changed.
func (r *Router) readCustomers(state *store.State) []admission.Customer {
	if r.view != nil && r.viewRevision == state.Revision() {
		return r.view.Customers
	}
	r.viewRevision = state.Revision()
	var customers []admission.Customer
	for _, item := range state.Items() {
		if c := item.GetCustomer(); c != nil {
			customers = append(customers, admission.Customer{
				Name:        c.Name,
				Weight:      c.Weight,
				MaxRequests: int(c.MaxRequests),
				Rate:        int(c.RequestRate),
			})
		}
	}
	return customers
}
