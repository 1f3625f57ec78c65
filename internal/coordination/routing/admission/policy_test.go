package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const mean = 100 * time.Millisecond

var epoch = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// harness drives one policy and records its actions.
type harness struct {
	*Policy
	now            time.Time
	started        []*Attempt
	refused        map[*Request]Refusal
	results        map[*Request]Result
	borrowRequests []SendBorrowRequest
	replies        []SendBorrowReply
}

func newHarness(minions, slots int) *harness {
	h := &harness{
		Policy:  New(Config{Self: "a", QueueLength: 100}, 1),
		now:     epoch,
		refused: map[*Request]Refusal{},
		results: map[*Request]Result{},
	}
	view := View{Epoch: 1, Members: []string{"a"}}
	for i := range minions {
		view.Minions = append(view.Minions, Minion{ID: fmt.Sprintf("m%d", i), Slots: slots, Services: []string{"s"}})
	}
	h.record(h.SetView(h.now, view))
	return h
}

func (h *harness) record(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			h.started = append(h.started, a.Attempt)
		case Refuse:
			h.refused[a.Request] = a.Refusal
		case Finish:
			h.results[a.Request] = a.Result
		case SendBorrowRequest:
			h.borrowRequests = append(h.borrowRequests, a)
		case SendBorrowReply:
			h.replies = append(h.replies, a)
		}
	}
}

func (h *harness) arrive(customer string, within time.Duration, idempotent bool) *Request {
	r := &Request{Customer: customer, Service: "s", Deadline: h.now.Add(within), Idempotent: idempotent}
	h.record(h.Arrive(h.now, r))
	return r
}

func (h *harness) done(a *Attempt, outcome Outcome) {
	h.record(h.Done(h.now, a, Result{Outcome: outcome}))
}

// learnServiceTime completes one request that takes mean.
func (h *harness) learnServiceTime() {
	h.arrive("a", time.Minute, true)
	last := h.started[len(h.started)-1]
	h.now = h.now.Add(mean)
	h.done(last, Answered)
	h.started = nil
}

func TestRetriesOnlyWhenSafe(t *testing.T) {
	// A request fails on its first minion. It may be retried only if it did not run
	// or is idempotent; otherwise the caller gets the outcome and no second minion
	// receives the request.
	cases := []struct {
		name       string
		outcome    Outcome
		idempotent bool
		again      bool
	}{
		{"refused, not idempotent", Refused, false, true},
		{"not run, not idempotent", NotRun, false, true},
		{"failed, not idempotent", Failed, false, false},
		{"unknown, not idempotent", Unknown, false, false},
		{"failed, idempotent", Failed, true, true},
		{"unknown, idempotent", Unknown, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2, 1)
			r := h.arrive("a", time.Minute, c.idempotent)
			h.done(h.started[0], c.outcome)
			is.Equal(len(h.started) == 2, c.again)
			if c.again {
				is.True(h.started[0].Minion.ID != h.started[1].Minion.ID) // another minion
				return
			}
			is.Equal(h.results[r].Outcome, c.outcome)
		})
	}
}

func TestAttemptsAndBudgetBoundRetries(t *testing.T) {
	// Every minion fails every request. Without limits, retries would multiply the
	// load on the failing service.
	is := is.New(t)
	h := newHarness(40, 8)
	const requests = 100
	failed := 0
	for range requests {
		r := h.arrive("a", time.Hour, true)
		for !r.ended {
			h.now = h.now.Add(time.Minute)
			h.record(h.Tick(h.now))
			for ; failed < len(h.started); failed++ {
				h.done(h.started[failed], Failed)
			}
		}
		is.True(r.attempts <= maxAttempts)
	}
	is.True(len(h.started) <= requests+maxBudget) // retries only from the budget
}

func TestRefusedAtOnceWhenTheDeadlineCannotBeMet(t *testing.T) {
	// The only slot is taken and three requests are queued. A request whose deadline
	// is too close to be served is refused in the same event, with a RetryAfter.
	is := is.New(t)
	h := newHarness(1, 1)
	h.learnServiceTime()
	for range 4 {
		h.arrive("a", time.Minute, true)
	}
	longDeadline := h.arrive("a", 10*mean, true)
	shortDeadline := h.arrive("a", 3*mean/2, true)
	_, waits := h.refused[longDeadline]
	is.True(!waits)
	refusal, gone := h.refused[shortDeadline]
	is.True(gone)
	is.Equal(refusal.Reason, ReasonDeadline)
	is.True(refusal.RetryAfter > 0)
}

func TestUnservableRequestsAreRefusedBeforeTheDeadline(t *testing.T) {
	// Requests are queued with deadlines up to 99 s away when all minions disappear.
	// They must be refused in the event that makes them unservable, not at their
	// deadlines.
	is := is.New(t)
	h := newHarness(10, 8)
	h.learnServiceTime()
	for range 1000 {
		h.arrive(fmt.Sprintf("c%d", len(h.started)%20), time.Minute, true)
	}
	var waiting []*Request
	for i := range 90 {
		waiting = append(waiting, h.arrive("a", time.Duration(10+i)*time.Second, true))
	}
	h.record(h.SetView(h.now, View{Epoch: 1, Members: []string{"a"}}))
	for _, r := range waiting {
		refusal, gone := h.refused[r]
		is.True(gone)
		is.Equal(refusal.Reason, ReasonNoMinion)
	}
}

func TestQueuedRequestEndsWhenItsCallerLeaves(t *testing.T) {
	// A caller cancels while its request is queued, an hour before its deadline.
	// The request is refused as not run and does not start when the slot is free.
	is := is.New(t)
	h := newHarness(1, 1)
	h.learnServiceTime()
	h.arrive("a", time.Hour, false)
	gone := h.arrive("a", time.Hour, false)
	h.record(h.CallerLeft(h.now, gone))
	is.Equal(h.refused[gone].Reason, ReasonCallerLeft)
	h.done(h.started[0], Answered)
	is.Equal(len(h.started), 1)
}

func TestLateQueuedRequestTakesNoSlot(t *testing.T) {
	// A slot becomes free when the first queued request has less time left than an
	// answer takes. Starting it would waste the slot, so it is refused and the next
	// request gets the slot.
	is := is.New(t)
	h := newHarness(1, 1)
	h.learnServiceTime()
	h.arrive("a", time.Hour, false)
	shortDeadline := h.arrive("a", 6*mean, false)
	longDeadline := h.arrive("a", time.Hour, false)
	h.now = h.now.Add(5*mean + mean/2)
	h.done(h.started[0], Answered)
	is.Equal(h.refused[shortDeadline].Reason, ReasonDeadline)
	is.Equal(h.started[1].Request, longDeadline)
}
