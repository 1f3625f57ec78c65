package credit

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	modelSlots = 8
	modelMax   = 5
)

var modelResources = []Resource{{ID: "m1", Slots: modelSlots}, {ID: "m2", Slots: 3}}

// membership is one entry of the membership log. All nodes read the same log,
// each at its own pace.
type membership struct {
	members  []string
	departed []string
}

// node is one instance; applied is the number of log entries it has applied.
type node struct {
	name     string
	ledger   *Ledger
	applied  int
	isolated bool
	expired  bool
}

type stateMessage struct {
	epoch    uint64
	overhang []Amount
}

// model simulates several instances with a membership log, delayed state
// messages and lost replies.
type model struct {
	log      []membership
	nodes    []*node
	messages map[string][]stateMessage
}

func newModel() *model {
	m := &model{messages: map[string][]stateMessage{}}
	var names []string
	for i := range modelMax {
		name := fmt.Sprintf("n%d", i)
		m.nodes = append(m.nodes, &node{name: name, ledger: newModelLedger(name)})
		if i < 3 {
			names = append(names, name)
		}
	}
	m.log = append(m.log, membership{members: names})
	return m
}

func newModelLedger(name string) *Ledger {
	ledger := NewLedger(name)
	ledger.SetResources(modelResources)
	return ledger
}

func (m *model) node(t *rapid.T) *node { return rapid.SampledFrom(m.nodes).Draw(t, "node") }

func (m *model) resource(t *rapid.T) string {
	return rapid.SampledFrom(modelResources).Draw(t, "resource").ID
}

func (m *model) last() membership { return m.log[len(m.log)-1] }

func (m *model) applyNext(n *node) {
	if n.isolated || n.applied == len(m.log) {
		return
	}
	n.applied++
	e := m.log[n.applied-1]
	n.ledger.SetMembers(uint64(n.applied), e.members, e.departed)
}

// remove commits an epoch without one member, which may not learn of it.
func (m *model) remove(t *rapid.T) {
	e := m.last()
	if len(e.members) == 0 {
		return
	}
	gone := rapid.SampledFrom(e.members).Draw(t, "gone")
	next := membership{departed: append(slices.Clone(e.departed), gone)}
	for _, name := range e.members {
		if name != gone {
			next.members = append(next.members, name)
		}
	}
	m.log = append(m.log, next)
}

func (m *model) join(t *rapid.T) {
	n, e := m.node(t), m.last()
	if slices.Contains(e.members, n.name) || n.isolated {
		return
	}
	next := membership{members: append(slices.Clone(e.members), n.name)}
	slices.Sort(next.members)
	for _, name := range e.departed {
		if name != n.name {
			next.departed = append(next.departed, name)
		}
	}
	m.log = append(m.log, next)
}

// expireDeparted commits an epoch without departed members once their leases have
// expired: a node that has not applied its removal by then has stopped, and the
// requests of departed nodes have ended. Requests that run longer than the lease
// are the slack described in docs/design/requests.md.
func (m *model) expireDeparted() {
	e := m.last()
	for _, n := range m.nodes {
		if slices.Contains(e.departed, n.name) {
			n.expired = n.applied < len(m.log)
			m.releaseAll(n)
		}
	}
	m.log = append(m.log, membership{members: e.members})
}

// reconnect ends a node's isolation. The node applies the whole log before it
// does anything else.
func (m *model) reconnect(n *node) {
	n.isolated = false
	for n.applied < len(m.log) {
		m.applyNext(n)
	}
	n.expired = false
}

// restart replaces a node's process; its requests have ended. The new process has
// applied as much of the log as its predecessor.
func (m *model) restart(n *node) {
	n.ledger = newModelLedger(n.name)
	if n.applied > 0 {
		e := m.log[n.applied-1]
		n.ledger.SetMembers(uint64(n.applied), e.members, e.departed)
	}
}

func (m *model) sendState(n *node) {
	for _, other := range m.nodes {
		key := n.name + other.name
		m.messages[key] = append(m.messages[key], stateMessage{epoch: n.ledger.Epoch(), overhang: n.ledger.Overhang()})
	}
}

func (m *model) receiveState(from, to *node) {
	key := from.name + to.name
	if len(m.messages[key]) == 0 || from.isolated || to.isolated {
		return
	}
	h := m.messages[key][0]
	m.messages[key] = m.messages[key][1:]
	to.ledger.Confirm(from.name, h.epoch, h.overhang)
}

// borrow is one borrow request and its reply, which may be lost. A lender whose
// lease has expired lends nothing, and the borrower must be among the members
// that the lender knows.
func (m *model) borrow(t *rapid.T, from, to *node) {
	if from.isolated || to.isolated || from.expired || from == to || !slices.Contains(from.ledger.Members(), to.name) {
		return
	}
	from.ledger.SetLent(to.name, to.ledger.Holding(from.name))
	resource := m.resource(t)
	granted := from.ledger.Lend(to.name, resource, rapid.IntRange(0, 3).Draw(t, "count"))
	if rapid.Bool().Draw(t, "arrives") {
		to.ledger.Borrow(from.name, []Amount{{Resource: resource, Count: granted}})
	}
}

// takeAll uses every credit that a node believes it has.
func (m *model) takeAll(n *node) {
	for _, resource := range modelResources {
		for !n.expired && n.ledger.Account(resource.ID).Take() {
		}
	}
}

func (m *model) releaseAll(n *node) {
	for _, resource := range modelResources {
		for a := n.ledger.Account(resource.ID); a.inUse > 0; {
			n.ledger.Release(a)
		}
	}
}

// exchangeAll lets every node apply one epoch and receive the state of all nodes.
func (m *model) exchangeAll() {
	for _, n := range m.nodes {
		m.applyNext(n)
		m.sendState(n)
	}
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			m.receiveState(from, to)
		}
	}
}

// reconcileAll lets every node learn what the others have borrowed from it.
func (m *model) reconcileAll() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			if !from.isolated && !to.isolated {
				to.ledger.Reconcile(from.name, from.ledger.Holding(to.name))
			}
		}
	}
}

func (m *model) check(t *rapid.T) {
	for _, resource := range modelResources {
		total := 0
		for _, n := range m.nodes {
			total += n.ledger.Account(resource.ID).inUse
		}
		if total > resource.Slots {
			t.Fatalf("%d requests in flight on %d slots of %s", total, resource.Slots, resource.ID)
		}
	}
}

func TestCreditsNeverExceedSlots(t *testing.T) {
	// Instances join, are cut off, are removed without learning of it, return and
	// restart; state messages arrive late and replies are lost. Every credit that an
	// instance believes it has is used. If two instances counted the same slot, a
	// minion would get more requests than it has slots.
	flag.Set("rapid.steps", "100")
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"take":    func(t *rapid.T) { m.takeAll(m.node(t)) },
			"release": func(t *rapid.T) { m.releaseAll(m.node(t)) },
			"return": func(t *rapid.T) {
				n, lender := m.node(t), m.node(t)
				n.ledger.ReturnLoan(lender.name, m.resource(t), 2)
			},
			"read":        func(t *rapid.T) { m.applyNext(m.node(t)) },
			"remove":      func(t *rapid.T) { m.remove(t) },
			"join":        func(t *rapid.T) { m.join(t) },
			"clear":       func(*rapid.T) { m.expireDeparted() },
			"cut":         func(t *rapid.T) { m.node(t).isolated = true },
			"heal":        func(t *rapid.T) { m.reconnect(m.node(t)) },
			"restart":     func(t *rapid.T) { m.restart(m.node(t)) },
			"say":         func(t *rapid.T) { m.sendState(m.node(t)) },
			"hear":        func(t *rapid.T) { m.receiveState(m.node(t), m.node(t)) },
			"borrow":      func(t *rapid.T) { m.borrow(t, m.node(t), m.node(t)) },
			"borrow more": func(t *rapid.T) { m.borrow(t, m.node(t), m.node(t)) },
			"settle":      func(*rapid.T) { m.exchangeAll() },
			"settle more": func(*rapid.T) { m.exchangeAll() },
			"meet":        func(*rapid.T) { m.reconcileAll() },
			"fill all": func(*rapid.T) {
				for _, n := range m.nodes {
					m.takeAll(n)
				}
			},
			"": m.check,
		})
	})
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	// The shares of all members add up to the slots, for any number of members.
	is := is.New(t)
	for _, n := range []int{1, 2, 8, 9, 60, 300} {
		var members []string
		for i := range n {
			members = append(members, fmt.Sprintf("i%d", i))
		}
		for _, slots := range []int{1, 3, 8, 60} {
			total := 0
			for _, member := range members {
				total += Share("m", slots, members, member)
			}
			is.Equal(total, slots)
		}
	}
}

func TestBorrowerCannotReportMoreThanItWasLent(t *testing.T) {
	// A borrower's report can end loans. A wrong report must not create loans, or
	// the lender's account would become negative and stay so.
	is := is.New(t)
	ledger := newModelLedger("a")
	ledger.SetMembers(1, []string{"a"}, nil)
	is.Equal(ledger.Lend("b", "m1", 2), 2)
	ledger.SetLent("b", []Amount{{Resource: "m1", Count: 7}})
	is.Equal(ledger.Account("m1").Free(), modelSlots-2)
	ledger.SetLent("b", nil)
	is.Equal(ledger.Account("m1").Free(), modelSlots)
}
