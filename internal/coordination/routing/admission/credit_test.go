package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
)

// pair makes a policy beside one other instance that has confirmed the epoch.
func pair(slots int) (*bench, View) {
	b := newBench(0, 0)
	view := View{Epoch: 2, Members: []string{"a", "z"}, Minions: []Minion{{ID: "m", Slots: slots, Services: []string{"s"}}}}
	b.note(b.SetView(b.now, view))
	b.Book().Confirm("z", 2, nil)
	b.Book().Meet("z", nil)
	return b, view
}

func TestCutOffStartsNothingAndSaysSoAtOnce(t *testing.T) {
	// An instance loses touch with the control log for longer than its state
	// stays fresh. Rules may have been replaced and its credits given to others:
	// what waits and what arrives is refused as not run in the same event, what
	// is in flight ends as it ends, and no freed credit starts anything.
	is := is.New(t)
	b, view := pair(4)
	b.learn()
	for range 2 {
		b.arrive("a", time.Minute, true)
	}
	b.arrive("a", time.Minute, true)
	ask := b.waitForAsk()
	b.note(b.Replied(b.now, "z", Reply{Sequence: ask.Sequence, Granted: []credit.Amount{{Resource: "m#0", Count: 1}}}, true))
	is.Equal(len(b.started), 3) // the third runs on the loan
	waiting := b.arrive("a", time.Minute, true)

	view.CutOff = true
	b.note(b.SetView(b.now, view))
	is.Equal(b.refused[waiting].Reason, ReasonCutOff)
	is.Equal(b.refused[b.arrive("a", time.Minute, true)].Reason, ReasonCutOff)
	for i := range 3 {
		b.done(b.started[i], Answered)
	}
	is.Equal(len(b.started), 3)
	is.Equal(b.Book().Borrowed(), 0) // the loan is given up, not used again
}

func TestOwnCreditsServeWhenNoOtherInstanceAnswers(t *testing.T) {
	// The log is within reach but the other instances are not, so every ask is
	// lost. Callers are served on the instance's own part of the slots.
	is := is.New(t)
	b, _ := pair(4)
	b.learn()
	for range 5 {
		b.arrive("a", time.Minute, true)
	}
	for i := range 3 {
		b.note(b.Replied(b.now, "z", Reply{Sequence: b.waitForAsk().Sequence}, false))
		b.now = b.now.Add(mean)
		b.done(b.started[i], Answered)
		b.note(b.Tick(b.now))
	}
	is.Equal(len(b.started), 5)
}

func TestLostReplyIsPutRight(t *testing.T) {
	// The lender granted a credit and the reply got lost. The next ask tells it
	// that nothing is held, so that the credit does not stay away for ever; an
	// older ask that arrives after it changes nothing.
	is := is.New(t)
	lender := New(Config{Self: "z", QueueLength: 10}, 1)
	lender.SetView(epoch, View{Epoch: 1, Members: []string{"z"}, Minions: []Minion{{ID: "m", Slots: 1, Services: []string{"s"}}}})
	is.Equal(lender.Book().Lend("a", "m#0", 1), 1)
	lender.Asked(epoch, "a", Ask{Boot: 1, Sequence: 9})
	is.Equal(lender.Book().Account("m#0").Free(), 1)
	is.Equal(lender.Book().Lend("a", "m#0", 1), 1)
	lender.Asked(epoch, "a", Ask{Boot: 1, Sequence: 8})
	is.Equal(lender.Book().Account("m#0").Free(), 0)
}

func TestReplyOfAReplacedProcessLendsNothing(t *testing.T) {
	// The lender restarts; a reply of its earlier process arrives late. The new
	// process knows nothing of that loan and uses the slot itself.
	is := is.New(t)
	b, _ := pair(1)
	b.learnOn(1)
	ask := b.waitForAsk()
	b.note(b.Asked(b.now, "z", Ask{Boot: 7, Sequence: 1}))
	late := Reply{Boot: 6, Sequence: ask.Sequence, Granted: []credit.Amount{{Resource: "m#0", Count: 1}}}
	b.note(b.Replied(b.now, "z", late, true))
	is.Equal(b.Book().Borrowed(), 0)
}

// learnOn makes this instance wait for more credits than it has.
func (b *bench) learnOn(requests int) {
	for range requests + 1 {
		b.arrive("a", time.Minute, true)
	}
}

func (b *bench) waitForAsk() Ask { return b.asks[len(b.asks)-1].Ask }

func TestLimitsAddUpOverInstances(t *testing.T) {
	// A customer may have three requests in flight over two instances that both
	// have slots to spare. Each instance counts only its part, and the rest
	// waits: no message is needed for a request.
	is := is.New(t)
	total := 0
	for _, self := range []string{"a", "z"} {
		b := newBench(0, 0)
		b.Policy = New(Config{Self: self, QueueLength: 10}, 1)
		b.note(b.SetView(b.now, View{
			Epoch: 1, Members: []string{"a", "z"},
			Minions:   []Minion{{ID: "m", Slots: 40, Services: []string{"s"}}},
			Customers: []Customer{{Name: "a", Weight: 1, MaxRequests: 3}},
		}))
		for _, other := range []string{"a", "z"} {
			b.Book().Confirm(other, 1, nil)
			b.Book().Meet(other, nil)
		}
		for range 5 {
			b.arrive("a", time.Minute, true)
		}
		total += len(b.started)
	}
	is.Equal(total, 3)
}

func TestRateSharesAddUpToTheLimit(t *testing.T) {
	// The limit of requests per second follows the demand that the instances
	// tell each other; the parts of all instances are the whole, so no instance
	// need ask another before it admits a request.
	is := is.New(t)
	members := []string{"a", "b", "c"}
	told := map[string]float64{"a": 90, "b": 10, "c": 0}
	total := 0.0
	for _, self := range members {
		p := New(Config{Self: self, QueueLength: 10}, 1)
		p.SetView(epoch, View{Epoch: 1, Members: members, Customers: []Customer{{Name: "x", Rate: 100}}})
		for member, rate := range told {
			p.SetDemands(member, []Demand{{Customer: "x", Rate: rate}})
		}
		share := p.customer("x").rate.share
		is.True(share > 0) // also where there was no demand lately
		total += share
	}
	is.True(total > 0.999 && total < 1.001)

	one := New(Config{Self: "a", QueueLength: 10}, 1)
	one.SetView(epoch, View{Epoch: 1, Members: []string{"a"}, Customers: []Customer{{Name: "x", Rate: 10}}})
	rate := &one.customer("x").rate
	admitted := 0
	for i := range 1000 {
		if _, ok := rate.take(epoch.Add(time.Duration(i)*10*time.Millisecond), 10); ok {
			admitted++
		}
	}
	is.True(admitted >= 99 && admitted <= 105) // 10 seconds at 10 a second, and the burst
}
