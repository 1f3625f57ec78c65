package slots

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
)

const (
	tickInterval = 5 * time.Millisecond
	// noDeadline is the deadline of requests without one.
	noDeadline = time.Hour
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// credits runs the real admission policy of every instance.
type credits struct {
	*run
	policies  []*admission.Policy
	ticking   []bool
	instances map[string]int
	minions   map[string]int
	loans     bool
}

// Credits simulates slots split among the instances as credits, with loans of idle ones.
func Credits(c Config) Result { return runCredits(c, "credits and loans", true) }

// CreditsWithoutLoans simulates slots split among the instances as credits that are never
// lent.
func CreditsWithoutLoans(c Config) Result { return runCredits(c, "credits, no loans", false) }

func runCredits(c Config, name string, loans bool) Result {
	w := &credits{run: newRun(c, name), instances: map[string]int{}, minions: map[string]int{}, loans: loans}
	w.ticking = make([]bool, c.Instances)
	view := w.view()
	for _, member := range view.Members {
		w.policies = append(w.policies, admission.New(admission.Config{Self: member, QueueLength: 1024}, 1))
	}
	for i, policy := range w.policies {
		w.executeAll(i, policy.SetView(w.time(), view))
	}
	w.connectMembers(view)
	return w.simulate(w)
}

func (w *credits) view() admission.View {
	view := admission.View{Epoch: 1}
	for i := range w.config.Instances {
		name := fmt.Sprintf("i%d", i)
		w.instances[name] = i
		view.Members = append(view.Members, name)
	}
	for i := range w.config.Minions {
		id := fmt.Sprintf("m%d", i)
		w.minions[id] = i
		view.Minions = append(view.Minions, admission.Minion{ID: id, Slots: w.config.Slots, Services: []string{"s"}})
	}
	for i := range max(w.config.Customers, 1) {
		view.Customers = append(view.Customers, admission.Customer{Name: fmt.Sprintf("c%d", i), Weight: 1})
	}
	return view
}

// connectMembers confirms every instance to every other one, so that all credits are
// usable.
func (w *credits) connectMembers(view admission.View) {
	for i, policy := range w.policies {
		for _, member := range view.Members {
			policy.Ledger().Confirm(member, view.Epoch, nil)
			policy.Ledger().Reconcile(member, nil)
		}
		w.executeAll(i, policy.SetView(w.time(), view))
	}
}

func (w *credits) time() time.Time { return simulationStart.Add(w.now) }

func (w *credits) arrive(r *request) {
	deadline := noDeadline
	if w.config.Deadline > 0 {
		deadline = w.config.Deadline
	}
	request := &admission.Request{
		Customer: fmt.Sprintf("c%d", r.customer),
		Service:  "s",
		Deadline: w.time().Add(deadline),
		Owner:    r,
	}
	w.executeAll(r.instance, w.policies[r.instance].Arrive(w.time(), request))
}

func (w *credits) executeAll(i int, actions []admission.Action) {
	for _, action := range actions {
		w.execute(i, action)
	}
	if w.policies[i].Busy() && !w.ticking[i] {
		w.ticking[i] = true
		w.after(tickInterval, func() {
			w.ticking[i] = false
			w.executeAll(i, w.policies[i].Tick(w.time()))
		})
	}
}

func (w *credits) execute(i int, action admission.Action) {
	switch a := action.(type) {
	case admission.Start:
		r := a.Attempt.Request.Owner.(*request)
		w.serve(w.minions[a.Attempt.Minion.ID], r, func() {
			w.executeAll(i, w.policies[i].Done(w.time(), a.Attempt, admission.Result{Outcome: admission.Answered}))
		})
	case admission.Finish:
		w.answer(a.Request.Owner.(*request))
	case admission.Refuse:
		w.result.Refused++
	case admission.SendBorrowRequest:
		w.sendBorrowRequest(i, w.instances[a.To], a.Request)
	case admission.SendBorrowReply:
		w.result.Messages++
		to := w.instances[a.To]
		w.after(w.config.Hop, func() {
			w.executeAll(to, w.policies[to].HandleBorrowReply(w.time(), fmt.Sprintf("i%d", i), a.Reply, true))
		})
	}
}

func (w *credits) sendBorrowRequest(from, to int, borrow admission.BorrowRequest) {
	if !w.loans {
		return
	}
	w.result.Messages++
	w.after(w.config.Hop, func() {
		w.executeAll(to, w.policies[to].HandleBorrowRequest(w.time(), fmt.Sprintf("i%d", from), borrow))
	})
}
