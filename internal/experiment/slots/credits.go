package slots

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
)

const (
	tick = 5 * time.Millisecond
	// longDeadline stands for no deadline.
	longDeadline = time.Hour
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// credits runs the real policies of all instances.
type credits struct {
	*run
	policies []*admission.Policy
	ticking  []bool
	names    map[string]int
	minions  map[string]int
	loans    bool
}

// Credits shares the slots as credits and lends idle ones.
func Credits(c Config) Result { return playCredits(c, "credits and loans", true) }

// CreditsAlone shares the slots as credits without loans.
func CreditsAlone(c Config) Result { return playCredits(c, "credits, no loans", false) }

func playCredits(c Config, name string, loans bool) Result {
	w := &credits{run: newRun(c, name), names: map[string]int{}, minions: map[string]int{}, loans: loans}
	w.ticking = make([]bool, c.Instances)
	view := w.view()
	for _, member := range view.Members {
		w.policies = append(w.policies, admission.New(admission.Config{Self: member, QueueLength: 1024}, 1))
	}
	for i, policy := range w.policies {
		w.perform(i, policy.SetView(w.time(), view))
	}
	w.settle(view)
	return w.play(w)
}

func (w *credits) view() admission.View {
	view := admission.View{Epoch: 1}
	for i := range w.config.Instances {
		name := fmt.Sprintf("i%d", i)
		w.names[name] = i
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

// settle lets every instance hear every other once.
func (w *credits) settle(view admission.View) {
	for i, policy := range w.policies {
		for _, member := range view.Members {
			policy.Ledger().Confirm(member, view.Epoch, nil)
			policy.Ledger().Reconcile(member, nil)
		}
		w.perform(i, policy.SetView(w.time(), view))
	}
}

func (w *credits) time() time.Time { return zero.Add(w.now) }

func (w *credits) arrive(r *request) {
	deadline := longDeadline
	if w.config.Deadline > 0 {
		deadline = w.config.Deadline
	}
	sent := &admission.Request{
		Customer: fmt.Sprintf("c%d", r.customer),
		Service:  "s",
		Deadline: w.time().Add(deadline),
		Owner:    r,
	}
	w.perform(r.instance, w.policies[r.instance].Arrive(w.time(), sent))
}

func (w *credits) perform(i int, actions []admission.Action) {
	for _, action := range actions {
		w.act(i, action)
	}
	if w.policies[i].Busy() && !w.ticking[i] {
		w.ticking[i] = true
		w.after(tick, func() {
			w.ticking[i] = false
			w.perform(i, w.policies[i].Tick(w.time()))
		})
	}
}

func (w *credits) act(i int, action admission.Action) {
	switch a := action.(type) {
	case admission.Start:
		r := a.Attempt.Request.Owner.(*request)
		w.serve(w.minions[a.Attempt.Minion.ID], r, func() {
			w.perform(i, w.policies[i].Done(w.time(), a.Attempt, admission.Result{Outcome: admission.Answered}))
		})
	case admission.Finish:
		w.answer(a.Request.Owner.(*request))
	case admission.Refuse:
		w.result.Refused++
	case admission.SendBorrowRequest:
		w.ask(i, w.names[a.To], a.Request)
	case admission.SendBorrowReply:
		w.result.Messages++
		to := w.names[a.To]
		w.after(w.config.Hop, func() {
			w.perform(to, w.policies[to].HandleBorrowReply(w.time(), fmt.Sprintf("i%d", i), a.Reply, true))
		})
	}
}

func (w *credits) ask(from, to int, ask admission.BorrowRequest) {
	if !w.loans {
		return
	}
	w.result.Messages++
	w.after(w.config.Hop, func() {
		w.perform(to, w.policies[to].HandleBorrowRequest(w.time(), fmt.Sprintf("i%d", from), ask))
	})
}
