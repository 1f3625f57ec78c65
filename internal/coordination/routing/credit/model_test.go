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

// epochs is the log of members: the same for everyone, read at one's own pace.
type epochs struct {
	members  []string
	departed []string
}

// node is one instance; applied is how far it has read the log.
type node struct {
	name    string
	book    *Book
	applied int
	cut     bool
	expired bool
}

type hello struct {
	epoch    uint64
	overhang []Amount
}

// model is several instances with a log, delayed hellos and lost replies.
type model struct {
	log    []epochs
	nodes  []*node
	hellos map[string][]hello
}

func newModel() *model {
	m := &model{hellos: map[string][]hello{}}
	var names []string
	for i := range modelMax {
		name := fmt.Sprintf("n%d", i)
		m.nodes = append(m.nodes, &node{name: name, book: newModelBook(name)})
		if i < 3 {
			names = append(names, name)
		}
	}
	m.log = append(m.log, epochs{members: names})
	return m
}

func newModelBook(name string) *Book {
	book := NewBook(name)
	book.SetResources(modelResources)
	return book
}

func (m *model) node(t *rapid.T) *node { return rapid.SampledFrom(m.nodes).Draw(t, "node") }

func (m *model) resource(t *rapid.T) string {
	return rapid.SampledFrom(modelResources).Draw(t, "resource").ID
}

func (m *model) last() epochs { return m.log[len(m.log)-1] }

func (m *model) read(n *node) {
	if n.cut || n.applied == len(m.log) {
		return
	}
	n.applied++
	e := m.log[n.applied-1]
	n.book.SetMembers(uint64(n.applied), e.members, e.departed)
}

// remove commits an epoch without a member that may know nothing of it.
func (m *model) remove(t *rapid.T) {
	e := m.last()
	if len(e.members) == 0 {
		return
	}
	gone := rapid.SampledFrom(e.members).Draw(t, "gone")
	next := epochs{departed: append(slices.Clone(e.departed), gone)}
	for _, name := range e.members {
		if name != gone {
			next.members = append(next.members, name)
		}
	}
	m.log = append(m.log, next)
}

func (m *model) join(t *rapid.T) {
	n, e := m.node(t), m.last()
	if slices.Contains(e.members, n.name) || n.cut {
		return
	}
	next := epochs{members: append(slices.Clone(e.members), n.name)}
	slices.Sort(next.members)
	for _, name := range e.departed {
		if name != n.name {
			next.departed = append(next.departed, name)
		}
	}
	m.log = append(m.log, next)
}

// clear commits the end of every lease: who has not read of its removal by now
// has stopped, and the last requests of the departed have ended. One that runs
// for longer than the lease is the slack that docs/design/requests.md states.
func (m *model) clear() {
	e := m.last()
	for _, n := range m.nodes {
		if slices.Contains(e.departed, n.name) {
			n.expired = n.applied < len(m.log)
			m.drain(n)
		}
	}
	m.log = append(m.log, epochs{members: e.members})
}

// heal lets a cut off instance read the log again before it does anything else.
func (m *model) heal(n *node) {
	n.cut = false
	for n.applied < len(m.log) {
		m.read(n)
	}
	n.expired = false
}

// restart replaces the process; its requests have ended. It takes part again
// once it has read all that its predecessor had.
func (m *model) restart(n *node) {
	n.book = newModelBook(n.name)
	if n.applied > 0 {
		e := m.log[n.applied-1]
		n.book.SetMembers(uint64(n.applied), e.members, e.departed)
	}
}

func (m *model) say(n *node) {
	for _, other := range m.nodes {
		key := n.name + other.name
		m.hellos[key] = append(m.hellos[key], hello{epoch: n.book.Epoch(), overhang: n.book.Overhang()})
	}
}

func (m *model) hear(from, to *node) {
	key := from.name + to.name
	if len(m.hellos[key]) == 0 || from.cut || to.cut {
		return
	}
	h := m.hellos[key][0]
	m.hellos[key] = m.hellos[key][1:]
	to.book.Confirm(from.name, h.epoch, h.overhang)
}

// borrow is one ask and its reply, which may be lost. A lender whose lease has
// run out lends nothing, and the borrower must be among the
// members that the lender knows.
func (m *model) borrow(t *rapid.T, from, to *node) {
	if from.cut || to.cut || from.expired || from == to || !slices.Contains(from.book.Members(), to.name) {
		return
	}
	from.book.SetLent(to.name, to.book.Holding(from.name))
	resource := m.resource(t)
	granted := from.book.Lend(to.name, resource, rapid.IntRange(0, 3).Draw(t, "count"))
	if rapid.Bool().Draw(t, "arrives") {
		to.book.Borrow(from.name, []Amount{{Resource: resource, Count: granted}})
	}
}

// fill keeps every credit busy that an instance believes it has.
func (m *model) fill(n *node) {
	for _, resource := range modelResources {
		for !n.expired && n.book.Account(resource.ID).Take() {
		}
	}
}

func (m *model) drain(n *node) {
	for _, resource := range modelResources {
		for a := n.book.Account(resource.ID); a.inUse > 0; {
			n.book.Release(a)
		}
	}
}

// settle lets everyone read on by one epoch and hear everyone.
func (m *model) settle() {
	for _, n := range m.nodes {
		m.read(n)
		m.say(n)
	}
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			m.hear(from, to)
		}
	}
}

// meet lets everyone learn what the others have borrowed from it.
func (m *model) meet() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			if !from.cut && !to.cut {
				to.book.Meet(from.name, from.book.Holding(to.name))
			}
		}
	}
}

func (m *model) check(t *rapid.T) {
	for _, resource := range modelResources {
		total := 0
		for _, n := range m.nodes {
			total += n.book.Account(resource.ID).inUse
		}
		if total > resource.Slots {
			t.Fatalf("%d requests in flight on %d slots of %s", total, resource.Slots, resource.ID)
		}
	}
}

func TestCreditsNeverExceedSlots(t *testing.T) {
	// Instances join, are cut off, removed while they know nothing of it, come
	// back and restart; hellos arrive late and replies get lost. Callers keep
	// every credit busy that an instance believes it has. Were one slot counted
	// by two instances, a minion would get more requests than it has slots.
	flag.Set("rapid.steps", "100")
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"take":    func(t *rapid.T) { m.fill(m.node(t)) },
			"release": func(t *rapid.T) { m.drain(m.node(t)) },
			"return": func(t *rapid.T) {
				n, lender := m.node(t), m.node(t)
				n.book.GiveBack(lender.name, m.resource(t), 2)
			},
			"read":        func(t *rapid.T) { m.read(m.node(t)) },
			"remove":      func(t *rapid.T) { m.remove(t) },
			"join":        func(t *rapid.T) { m.join(t) },
			"clear":       func(*rapid.T) { m.clear() },
			"cut":         func(t *rapid.T) { m.node(t).cut = true },
			"heal":        func(t *rapid.T) { m.heal(m.node(t)) },
			"restart":     func(t *rapid.T) { m.restart(m.node(t)) },
			"say":         func(t *rapid.T) { m.say(m.node(t)) },
			"hear":        func(t *rapid.T) { m.hear(m.node(t), m.node(t)) },
			"borrow":      func(t *rapid.T) { m.borrow(t, m.node(t), m.node(t)) },
			"borrow more": func(t *rapid.T) { m.borrow(t, m.node(t), m.node(t)) },
			"settle":      func(*rapid.T) { m.settle() },
			"settle more": func(*rapid.T) { m.settle() },
			"meet":        func(*rapid.T) { m.meet() },
			"fill all": func(*rapid.T) {
				for _, n := range m.nodes {
					m.fill(n)
				}
			},
			"": m.check,
		})
	})
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	// The parts of all members are the whole, however many they are.
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

func TestBorrowerCannotClaimMoreThanItWasLent(t *testing.T) {
	// A borrower's word ends loans; a wrong one must not make new ones, or the
	// lender's account would go below nothing and stay there.
	is := is.New(t)
	book := newModelBook("a")
	book.SetMembers(1, []string{"a"}, nil)
	is.Equal(book.Lend("b", "m1", 2), 2)
	book.SetLent("b", []Amount{{Resource: "m1", Count: 7}})
	is.Equal(book.Account("m1").Free(), modelSlots-2)
	book.SetLent("b", nil)
	is.Equal(book.Account("m1").Free(), modelSlots)
}
