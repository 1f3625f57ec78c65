package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFastFailingMinionAbsorbsNoMoreThanItsShare(t *testing.T) {
	// All minions are busy but one that fails everything at once, so it alone has
	// slots free whenever a request comes. Callers must not all run into it: it
	// gets as many attempts as a healthy minion would take in that time.
	is := is.New(t)
	b := newBench(10, 2)
	b.learn()
	bad := b.view.Minions[0].ID
	attempts, done := 0, 0
	for range 40 {
		b.arrive("a", time.Minute, true)
		for ; done < len(b.started); done++ {
			if b.started[done].Minion.ID == bad {
				attempts++
				b.done(b.started[done], Failed)
			}
		}
	}
	is.Equal(len(b.started)-attempts, 18) // every healthy slot is in use
	is.Equal(attempts, 1)                 // and no time has passed
}

func TestSlowReturnOfAnOutlier(t *testing.T) {
	// A minion that failed comes back: one request at a time first, more with
	// each answer. A wave of waiting requests must not bury it at once.
	is := is.New(t)
	b := newBench(1, 8)
	b.learn()
	for range 5 {
		b.now = b.now.Add(2 * time.Second)
		b.arrive("a", time.Hour, false)
		b.done(b.started[len(b.started)-1], Failed)
	}
	for range 8 {
		b.arrive("a", time.Hour, false)
	}
	before := len(b.started)
	b.now = b.now.Add(time.Second)
	b.note(b.Tick(b.now))
	is.Equal(len(b.started), before) // ejected
	b.now = b.now.Add(2 * time.Second)
	b.note(b.Tick(b.now))
	is.Equal(len(b.started), before+1)
	b.now = b.now.Add(mean)
	b.done(b.started[before], Answered)
	is.Equal(len(b.started), before+3) // then two
}

func TestRefusalBelowDeclaredSlotsLowersTheCeiling(t *testing.T) {
	// A minion declares eight slots and has two. After its first refusal it gets
	// no more than it holds, and one more with each round of answers.
	is := is.New(t)
	b := newBench(1, 8)
	b.learn()
	for range 3 {
		b.arrive("a", time.Hour, false)
	}
	b.done(b.started[2], Refused)
	for range 5 {
		b.arrive("a", time.Hour, false)
	}
	b.now = b.now.Add(time.Second)
	b.note(b.Tick(b.now))
	is.Equal(len(b.started), 3) // two run, the refused one waits
	b.done(b.started[0], Answered)
	is.Equal(len(b.started), 4)
}

func TestWaveOfCancellationsUnderOverloadMakesNoOutliers(t *testing.T) {
	// The service is slower than it was, and callers lose patience and hang up in
	// waves, each later than an answer was due. The minions do their best: the
	// next caller must find them.
	is := is.New(t)
	b := newBench(4, 8)
	b.learn()
	for range 5 {
		var wave []*Request
		for range 32 {
			wave = append(wave, b.arrive("a", time.Hour, true))
		}
		b.now = b.now.Add(20 * mean)
		for _, r := range wave {
			b.note(b.Leave(b.now, r))
		}
		for _, a := range b.started {
			b.done(a, Unknown)
		}
		b.started = nil
	}
	for _, t := range b.service("s").targets {
		is.True(!t.health.Ejected(b.now))
	}
	b.arrive("a", time.Minute, true)
	is.Equal(len(b.started), 1)
}

func TestNoMoreThanHalfAreOutliers(t *testing.T) {
	// Every minion fails what it gets, as when a shared store is down. Half of
	// them stay in use, so that callers are served when it is back.
	is := is.New(t)
	b := newBench(10, 8)
	b.learn()
	for range 200 {
		b.now = b.now.Add(500 * time.Millisecond)
		b.arrive("a", time.Hour, false)
		for _, a := range b.started {
			b.done(a, Failed)
		}
		b.started = nil
		ejected := 0
		for _, t := range b.service("s").targets {
			if t.health.Ejected(b.now) {
				ejected++
			}
		}
		is.True(ejected <= 5)
	}
}

func TestNewIncarnationStartsClean(t *testing.T) {
	// A minion vanished while it was ejected and came back as a new process.
	is := is.New(t)
	b := newBench(1, 1)
	b.learn()
	for range 5 {
		b.now = b.now.Add(2 * time.Second)
		b.arrive("a", time.Hour, false)
		b.done(b.started[len(b.started)-1], Failed)
	}
	before := len(b.started)
	b.arrive("a", time.Hour, false)
	is.Equal(len(b.started), before)
	view := b.view
	view.Minions = []Minion{{ID: "m0", Incarnation: 1, Slots: 1, Services: []string{"s"}}}
	b.note(b.SetView(b.now, view))
	is.Equal(len(b.started), before+1)
}

func TestHedgeOnlyUrgentIdempotentWithinBudget(t *testing.T) {
	// An urgent request is late at its minion. A second one gets it if it is
	// idempotent; the first answer is the caller's and the other is cancelled.
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		b := newBench(3, 1)
		b.learn()
		r := &Request{Customer: "a", Service: "s", Deadline: b.now.Add(time.Minute), Idempotent: idempotent, Urgent: true}
		b.note(b.Arrive(b.now, r))
		b.now = b.now.Add(20 * mean)
		b.note(b.Tick(b.now))
		is.Equal(len(b.started) == 2, idempotent)
		if idempotent {
			is.True(b.started[1].Hedge)
			b.done(b.started[1], Answered)
			is.Equal(b.results[r].Outcome, Answered)
			b.done(b.started[0], Unknown) // cancelled: changes nothing
			is.Equal(b.results[r].Outcome, Answered)
		}
	}
}

func TestCustomersShareByWeight(t *testing.T) {
	// Two customers keep their queues full; the one with three times the weight
	// gets three times the slots, whoever came first.
	is := is.New(t)
	b := newBench(1, 1)
	view := b.view
	view.Customers = []Customer{{Name: "small", Weight: 1}, {Name: "large", Weight: 3}}
	b.note(b.SetView(b.now, view))
	for range 40 {
		b.arrive("small", time.Hour, true)
	}
	for range 40 {
		b.arrive("large", time.Hour, true)
	}
	for i := range 40 {
		b.done(b.started[i], Answered)
	}
	large := 0
	for _, a := range b.started {
		if a.Request.Customer == "large" {
			large++
		}
	}
	is.True(large >= 29 && large <= 31)
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{50, 500} {
		b.Run(map[int]string{50: "minions=50", 500: "minions=500"}[size], func(b *testing.B) {
			bench := newBench(size, 8)
			s := bench.service("s")
			for b.Loop() {
				s.pick(epoch, nil)
			}
		})
	}
}

// BenchmarkRequest is a whole request through the policy: arrival, start, end.
func BenchmarkRequest(b *testing.B) {
	bench := newBench(50, 8)
	for b.Loop() {
		r := &Request{Customer: "a", Service: "s", Deadline: epoch.Add(time.Hour), Idempotent: true}
		for _, action := range bench.Arrive(epoch, r) {
			bench.Done(epoch.Add(time.Millisecond), action.(Start).Attempt, Result{Outcome: Answered})
		}
	}
}
