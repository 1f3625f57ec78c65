package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFastFailingMinionGetsNoMoreThanItsShare(t *testing.T) {
	// All minions are busy except one that fails every request at once, so only it
	// ever has free slots. It must not attract all requests: it gets no more
	// attempts than a healthy minion would serve in that time.
	is := is.New(t)
	h := newHarness(10, 2)
	h.learnServiceTime()
	bad := h.view.Minions[0].ID
	attempts, done := 0, 0
	for range 40 {
		h.arrive("a", time.Minute, true)
		for ; done < len(h.started); done++ {
			if h.started[done].Minion.ID == bad {
				attempts++
				h.done(h.started[done], Failed)
			}
		}
	}
	is.Equal(len(h.started)-attempts, 18) // every healthy slot is in use
	is.Equal(attempts, 1)                 // and no time has passed
}

func TestOutlierReturnsGradually(t *testing.T) {
	// An ejected minion returns. It gets one request at first and more with each
	// answer, so that queued requests do not overload it at once.
	is := is.New(t)
	h := newHarness(1, 8)
	h.learnServiceTime()
	for range 5 {
		h.now = h.now.Add(2 * time.Second)
		h.arrive("a", time.Hour, false)
		h.done(h.started[len(h.started)-1], Failed)
	}
	for range 8 {
		h.arrive("a", time.Hour, false)
	}
	before := len(h.started)
	h.now = h.now.Add(time.Second)
	h.record(h.Tick(h.now))
	is.Equal(len(h.started), before) // ejected
	h.now = h.now.Add(2 * time.Second)
	h.record(h.Tick(h.now))
	is.Equal(len(h.started), before+1)
	h.now = h.now.Add(mean)
	h.done(h.started[before], Answered)
	is.Equal(len(h.started), before+3) // then two
}

func TestRefusalBelowDeclaredSlotsLowersTheLimit(t *testing.T) {
	// A minion declares eight slots but has two. After its first refusal it gets no
	// more requests than it is running, and one more with each round of answers.
	is := is.New(t)
	h := newHarness(1, 8)
	h.learnServiceTime()
	for range 3 {
		h.arrive("a", time.Hour, false)
	}
	h.done(h.started[2], Refused)
	for range 5 {
		h.arrive("a", time.Hour, false)
	}
	h.now = h.now.Add(time.Second)
	h.record(h.Tick(h.now))
	is.Equal(len(h.started), 3) // two run, the refused one waits
	h.done(h.started[0], Answered)
	is.Equal(len(h.started), 4)
}

func TestCancellationsUnderOverloadEjectNoMinion(t *testing.T) {
	// The service has become slower and callers cancel in bursts, each after an
	// answer was due but before the deadline. The minions are healthy and must stay
	// available for the next request.
	is := is.New(t)
	h := newHarness(4, 8)
	h.learnServiceTime()
	for range 5 {
		var cancelled []*Request
		for range 32 {
			cancelled = append(cancelled, h.arrive("a", time.Hour, true))
		}
		h.now = h.now.Add(20 * mean)
		for _, r := range cancelled {
			h.record(h.CallerLeft(h.now, r))
		}
		for _, a := range h.started {
			h.done(a, Unknown)
		}
		h.started = nil
	}
	for _, t := range h.service("s").targets {
		is.True(!t.health.Ejected(h.now))
	}
	h.arrive("a", time.Minute, true)
	is.Equal(len(h.started), 1)
}

func TestAtMostHalfOfTheMinionsAreEjected(t *testing.T) {
	// Every minion fails every request, as when a shared backend is down. Half of
	// them must stay in use, so that requests succeed once it has recovered.
	is := is.New(t)
	h := newHarness(10, 8)
	h.learnServiceTime()
	for range 200 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.arrive("a", time.Hour, false)
		for _, a := range h.started {
			h.done(a, Failed)
		}
		h.started = nil
		ejected := 0
		for _, t := range h.service("s").targets {
			if t.health.Ejected(h.now) {
				ejected++
			}
		}
		is.True(ejected <= 5)
	}
}

func TestNewIncarnationResetsHealth(t *testing.T) {
	// A minion restarts while it is ejected. The new incarnation must not inherit
	// the ejection.
	is := is.New(t)
	h := newHarness(1, 1)
	h.learnServiceTime()
	for range 5 {
		h.now = h.now.Add(2 * time.Second)
		h.arrive("a", time.Hour, false)
		h.done(h.started[len(h.started)-1], Failed)
	}
	before := len(h.started)
	h.arrive("a", time.Hour, false)
	is.Equal(len(h.started), before)
	view := h.view
	view.Minions = []Minion{{ID: "m0", Incarnation: 1, Slots: 1, Services: []string{"s"}}}
	h.record(h.SetView(h.now, view))
	is.Equal(len(h.started), before+1)
}

func TestHedgeOnlyUrgentIdempotentWithinBudget(t *testing.T) {
	// An urgent request is late on its minion. It is sent to a second minion only
	// if it is idempotent; the first answer wins and the other attempt is cancelled.
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		h := newHarness(3, 1)
		h.learnServiceTime()
		r := &Request{Customer: "a", Service: "s", Deadline: h.now.Add(time.Minute), Idempotent: idempotent, Urgent: true}
		h.record(h.Arrive(h.now, r))
		h.now = h.now.Add(20 * mean)
		h.record(h.Tick(h.now))
		is.Equal(len(h.started) == 2, idempotent)
		if idempotent {
			is.True(h.started[1].Hedge)
			h.done(h.started[1], Answered)
			is.Equal(h.results[r].Outcome, Answered)
			h.done(h.started[0], Unknown) // the cancelled attempt changes nothing
			is.Equal(h.results[r].Outcome, Answered)
		}
	}
}

func TestCustomersShareByWeight(t *testing.T) {
	// Two customers keep their queues full. The one with three times the weight
	// gets three times the slots, regardless of arrival order.
	is := is.New(t)
	h := newHarness(1, 1)
	view := h.view
	view.Customers = []Customer{{Name: "small", Weight: 1}, {Name: "large", Weight: 3}}
	h.record(h.SetView(h.now, view))
	for range 40 {
		h.arrive("small", time.Hour, true)
	}
	for range 40 {
		h.arrive("large", time.Hour, true)
	}
	for i := range 40 {
		h.done(h.started[i], Answered)
	}
	large := 0
	for _, a := range h.started {
		if a.Request.Customer == "large" {
			large++
		}
	}
	is.True(large >= 29 && large <= 31)
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{50, 500} {
		b.Run(map[int]string{50: "minions=50", 500: "minions=500"}[size], func(b *testing.B) {
			bench := newHarness(size, 8)
			s := bench.service("s")
			for b.Loop() {
				s.pick(epoch, nil)
			}
		})
	}
}

// BenchmarkRequest measures a complete request: arrival, start and completion.
func BenchmarkRequest(b *testing.B) {
	bench := newHarness(50, 8)
	for b.Loop() {
		r := &Request{Customer: "a", Service: "s", Deadline: epoch.Add(time.Hour), Idempotent: true}
		for _, action := range bench.Arrive(epoch, r) {
			bench.Done(epoch.Add(time.Millisecond), action.(Start).Attempt, Result{Outcome: Answered})
		}
	}
}
