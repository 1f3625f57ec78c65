package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const mean = 100 * time.Millisecond

var epoch = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// bench drives one policy by hand.
type bench struct {
	*Policy
	now     time.Time
	started []*Attempt
	refused map[*Request]Refusal
	results map[*Request]Result
	asks    []SendAsk
	replies []SendReply
}

func newBench(minions, slots int) *bench {
	b := &bench{
		Policy:  New(Config{Self: "a", QueueLength: 100}, 1),
		now:     epoch,
		refused: map[*Request]Refusal{},
		results: map[*Request]Result{},
	}
	view := View{Epoch: 1, Members: []string{"a"}}
	for i := range minions {
		view.Minions = append(view.Minions, Minion{ID: fmt.Sprintf("m%d", i), Slots: slots, Services: []string{"s"}})
	}
	b.note(b.SetView(b.now, view))
	return b
}

func (b *bench) note(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			b.started = append(b.started, a.Attempt)
		case Refuse:
			b.refused[a.Request] = a.Refusal
		case Finish:
			b.results[a.Request] = a.Result
		case SendAsk:
			b.asks = append(b.asks, a)
		case SendReply:
			b.replies = append(b.replies, a)
		}
	}
}

func (b *bench) arrive(customer string, within time.Duration, idempotent bool) *Request {
	r := &Request{Customer: customer, Service: "s", Deadline: b.now.Add(within), Idempotent: idempotent}
	b.note(b.Arrive(b.now, r))
	return r
}

func (b *bench) done(a *Attempt, outcome Outcome) {
	b.note(b.Done(b.now, a, Result{Outcome: outcome}))
}

// learn teaches the usual service time.
func (b *bench) learn() {
	b.arrive("a", time.Minute, true)
	last := b.started[len(b.started)-1]
	b.now = b.now.Add(mean)
	b.done(last, Answered)
	b.started = nil
}

func TestRetryOnlyWhatIsSafe(t *testing.T) {
	// The caller's request fails at its first minion. Sending it again is safe
	// only if it did not run, or may run twice; otherwise the caller gets the
	// outcome as it is, and no second minion ever sees the request.
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
			b := newBench(2, 1)
			r := b.arrive("a", time.Minute, c.idempotent)
			b.done(b.started[0], c.outcome)
			is.Equal(len(b.started) == 2, c.again)
			if c.again {
				is.True(b.started[0].Minion.ID != b.started[1].Minion.ID) // another minion
				return
			}
			is.Equal(b.results[r].Outcome, c.outcome)
		})
	}
}

func TestAttemptsAndBudgetBoundRetries(t *testing.T) {
	// Every minion fails everything. Callers send again through the instance;
	// without bounds each request would become several and bury the service.
	is := is.New(t)
	b := newBench(40, 8)
	const requests = 100
	failed := 0
	for range requests {
		r := b.arrive("a", time.Hour, true)
		for !r.ended {
			b.now = b.now.Add(time.Minute)
			b.note(b.Tick(b.now))
			for ; failed < len(b.started); failed++ {
				b.done(b.started[failed], Failed)
			}
		}
		is.True(r.attempts <= maxAttempts)
	}
	is.True(len(b.started) <= requests+maxBudget) // retries only from the budget
}

func TestRefusedAtOnceWhenTheDeadlineCannotBeMet(t *testing.T) {
	// One slot, taken, and a queue of three. A caller whose deadline is nearer
	// than the end of the running request plus its own time gets its refusal in
	// the same event, with the time after which it would have a chance.
	is := is.New(t)
	b := newBench(1, 1)
	b.learn()
	for range 4 {
		b.arrive("a", time.Minute, true)
	}
	patient := b.arrive("a", 10*mean, true)
	hasty := b.arrive("a", 3*mean/2, true)
	_, waits := b.refused[patient]
	is.True(!waits)
	refusal, gone := b.refused[hasty]
	is.True(gone)
	is.Equal(refusal.Reason, ReasonDeadline)
	is.True(refusal.RetryAfter > 0)
}

func TestGivenUpAtOnceNotAtTheDeadline(t *testing.T) {
	// A request waits with a minute to go; then most minions vanish, and what is
	// left could not reach it in hours. Its caller must hear so now, not a
	// minute later: the answer is due with the event that took its chance away.
	is := is.New(t)
	b := newBench(10, 8)
	b.learn()
	for range 1000 {
		b.arrive(fmt.Sprintf("c%d", len(b.started)%20), time.Minute, true)
	}
	var waiting []*Request
	for i := range 90 {
		waiting = append(waiting, b.arrive("a", time.Duration(10+i)*time.Second, true))
	}
	b.note(b.SetView(b.now, View{Epoch: 1, Members: []string{"a"}}))
	for _, r := range waiting {
		refusal, gone := b.refused[r]
		is.True(gone)
		is.Equal(refusal.Reason, ReasonNoMinion)
	}
}

func TestCallerThatLeavesTheQueueIsDoneAtOnce(t *testing.T) {
	// A caller goes away while its request waits, with an hour to its deadline.
	// The request ends as not run and never starts when the slot is free.
	is := is.New(t)
	b := newBench(1, 1)
	b.learn()
	b.arrive("a", time.Hour, false)
	gone := b.arrive("a", time.Hour, false)
	b.note(b.Leave(b.now, gone))
	is.Equal(b.refused[gone].Reason, ReasonLeft)
	b.done(b.started[0], Answered)
	is.Equal(len(b.started), 1)
}

func TestRequestThatWaitedTooLongTakesNoSlot(t *testing.T) {
	// A slot is free at last, but the first caller in the queue has less time left
	// than an answer takes. Starting it would waste the slot on an answer that
	// comes too late: it is refused, and the next caller gets the slot.
	is := is.New(t)
	b := newBench(1, 1)
	b.learn()
	b.arrive("a", time.Hour, false)
	hasty := b.arrive("a", 6*mean, false)
	patient := b.arrive("a", time.Hour, false)
	b.now = b.now.Add(5*mean + mean/2)
	b.done(b.started[0], Answered)
	is.Equal(b.refused[hasty].Reason, ReasonDeadline)
	is.Equal(b.started[1].Request, patient)
}
