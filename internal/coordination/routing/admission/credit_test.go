package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
)

// newPair returns a policy with one other instance that has confirmed the epoch.
func newPair(slots int) (*harness, View) {
	h := newHarness(0, 0)
	view := View{Epoch: 2, Members: []string{"a", "z"}, Minions: []Minion{{ID: "m", Slots: slots, Services: []string{"s"}}}}
	h.record(h.SetView(h.now, view))
	h.Ledger().Confirm("z", 2, nil)
	h.Ledger().Reconcile("z", nil)
	return h, view
}

func TestCutOffInstanceRefusesAtOnce(t *testing.T) {
	// An instance is cut off from the control log for longer than its state stays
	// fresh. The configuration may have changed and its credits may belong to
	// others: queued and new requests must be refused in the same event, requests
	// in flight run to completion, and freed credits start nothing.
	is := is.New(t)
	h, view := newPair(4)
	h.learnServiceTime()
	for range 2 {
		h.arrive("a", time.Minute, true)
	}
	h.arrive("a", time.Minute, true)
	request := h.lastBorrowRequest()
	h.record(h.HandleBorrowReply(h.now, "z", BorrowReply{Sequence: request.Sequence, Granted: []credit.Amount{{Resource: "m#0", Count: 1}}}, true))
	is.Equal(len(h.started), 3) // the third uses the borrowed credit
	waiting := h.arrive("a", time.Minute, true)

	view.CutOff = true
	h.record(h.SetView(h.now, view))
	is.Equal(h.refused[waiting].Reason, ReasonCutOff)
	is.Equal(h.refused[h.arrive("a", time.Minute, true)].Reason, ReasonCutOff)
	for i := range 3 {
		h.done(h.started[i], Answered)
	}
	is.Equal(len(h.started), 3)
	is.Equal(h.Ledger().Borrowed(), 0) // the borrowed credit is returned, not reused
}

func TestOwnCreditsAreUsedWhenNoLenderAnswers(t *testing.T) {
	// The control log is reachable but the other instances are not, so every
	// borrow request fails. Requests are served with the instance's own credits.
	is := is.New(t)
	h, _ := newPair(4)
	h.learnServiceTime()
	for range 5 {
		h.arrive("a", time.Minute, true)
	}
	for i := range 3 {
		h.record(h.HandleBorrowReply(h.now, "z", BorrowReply{Sequence: h.lastBorrowRequest().Sequence}, false))
		h.now = h.now.Add(mean)
		h.done(h.started[i], Answered)
		h.record(h.Tick(h.now))
	}
	is.Equal(len(h.started), 5)
}

func TestLostReplyIsCorrectedByTheNextRequest(t *testing.T) {
	// A lender grants a credit and its reply is lost. The next borrow request
	// reports that nothing is held, so that the credit is not lent for ever. An
	// older request that arrives afterwards changes nothing.
	is := is.New(t)
	lender := New(Config{Self: "z", QueueLength: 10}, 1)
	lender.SetView(epoch, View{Epoch: 1, Members: []string{"z"}, Minions: []Minion{{ID: "m", Slots: 1, Services: []string{"s"}}}})
	is.Equal(lender.Ledger().Lend("a", "m#0", 1), 1)
	lender.HandleBorrowRequest(epoch, "a", BorrowRequest{Incarnation: 1, Sequence: 9})
	is.Equal(lender.Ledger().Account("m#0").Free(), 1)
	is.Equal(lender.Ledger().Lend("a", "m#0", 1), 1)
	lender.HandleBorrowRequest(epoch, "a", BorrowRequest{Incarnation: 1, Sequence: 8})
	is.Equal(lender.Ledger().Account("m#0").Free(), 0)
}

func TestReplyOfAReplacedProcessLendsNothing(t *testing.T) {
	// A lender restarts and a reply of its earlier process arrives late. The new
	// process does not know of that loan and uses the slot itself, so the borrower
	// must not.
	is := is.New(t)
	h, _ := newPair(1)
	h.overload(1)
	request := h.lastBorrowRequest()
	h.record(h.HandleBorrowRequest(h.now, "z", BorrowRequest{Incarnation: 7, Sequence: 1}))
	late := BorrowReply{Incarnation: 6, Sequence: request.Sequence, Granted: []credit.Amount{{Resource: "m#0", Count: 1}}}
	h.record(h.HandleBorrowReply(h.now, "z", late, true))
	is.Equal(h.Ledger().Borrowed(), 0)
}

// overload queues more requests than this instance has credits for.
func (h *harness) overload(requests int) {
	for range requests + 1 {
		h.arrive("a", time.Minute, true)
	}
}

func (h *harness) lastBorrowRequest() BorrowRequest {
	return h.borrowRequests[len(h.borrowRequests)-1].Request
}

func TestCustomerLimitHoldsAcrossInstances(t *testing.T) {
	// A customer may have three requests in flight across two instances that both
	// have free slots. Each instance admits only its share of the limit, without
	// any message, and queues the rest.
	is := is.New(t)
	total := 0
	for _, self := range []string{"a", "z"} {
		h := newHarness(0, 0)
		h.Policy = New(Config{Self: self, QueueLength: 10}, 1)
		h.record(h.SetView(h.now, View{
			Epoch: 1, Members: []string{"a", "z"},
			Minions:   []Minion{{ID: "m", Slots: 40, Services: []string{"s"}}},
			Customers: []Customer{{Name: "a", Weight: 1, MaxRequests: 3}},
		}))
		for _, other := range []string{"a", "z"} {
			h.Ledger().Confirm(other, 1, nil)
			h.Ledger().Reconcile(other, nil)
		}
		for range 5 {
			h.arrive("a", time.Minute, true)
		}
		total += len(h.started)
	}
	is.Equal(total, 3)
}

func TestRateSharesAddUpToTheLimit(t *testing.T) {
	// A limit on requests per second is divided by the demand that the instances
	// report. The shares must add up to the limit, so that an instance can admit
	// requests without asking another.
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
		is.True(share > 0) // also without recent demand
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
	is.True(admitted >= 99 && admitted <= 105) // 10 s at 10 requests per second, plus the burst
}
