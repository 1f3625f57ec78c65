package admission

import (
	"cmp"
	"container/list"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// A connection is Idle between messages, in Head and Body while a message is incomplete,
// in Handling while its answer is awaited, and in Answering while a write lasts. Closing
// follows an eviction, until the server has let go of the connection.
const (
	Idle Phase = iota
	Head
	Body
	Handling
	Answering
	Closing
	phases
)

// patience is how long a connection may be unfinished or idle before it is the first to be
// closed for a new one. Ordinary messages arrive within a round trip.
const patience = time.Second

// Entry is a connection in a Budget.
type Entry struct {
	// Owner is what the caller of Open knows the connection by.
	Owner any
	phase Phase
	since time.Time
	bytes int64
	// place is in the queue that the phase has, if it has one.
	place *list.Element
	open  bool
}

// admitted tells whether the connection is open and was not evicted.
func (e *Entry) admitted() bool { return e.open && e.phase != Closing }

// Budget decides which connections a process holds and how many bytes their messages may
// take. It closes nothing itself: it returns the entries whose connections are to be closed.
// What these hold counts until Close. It isn't safe for concurrent use.
type Budget struct {
	connections int
	bytes       int64

	// held are the bytes of all entries, closing those of entries in Closing.
	held, closing int64
	byPhase       [phases]int
	// unfinished holds the entries in Head, Body and Answering, idle those in Idle; the
	// longest in it is first.
	unfinished, idle list.List
}

// NewBudget creates a budget of a number of connections and of bytes of messages.
func NewBudget(connections int, bytes int64) *Budget {
	return &Budget{connections: connections, bytes: bytes}
}

// Open adds an idle connection. At the limit it evicts the longest unfinished connection or,
// if that is so for no longer than patience, the longest idle one; if neither is, the longer
// of them. It returns false if all are being handled.
func (b *Budget) Open(e *Entry, now time.Time) (evicted *Entry, ok bool) {
	if b.open() >= b.connections {
		evicted = b.oldestFor(now)
		if evicted == nil {
			return nil, false
		}
		b.evict(evicted)
	}
	e.open = true
	b.byPhase[Idle]++
	b.enqueue(e, Idle, now)
	return evicted, true
}

// open returns the number of connections that are not closing.
func (b *Budget) open() int {
	total := 0
	for _, n := range b.byPhase[:Closing] {
		total += n
	}
	return total
}

func (b *Budget) evict(e *Entry) {
	b.dequeue(e)
	b.byPhase[e.phase]--
	b.byPhase[Closing]++
	b.closing += e.bytes
	e.phase = Closing
}

func (b *Budget) oldestFor(now time.Time) *Entry {
	unfinished, idle := b.oldestUnfinished(now, func(*Entry) bool { return true }), front(&b.idle)
	if unfinished == nil || idle == nil {
		return cmp.Or(unfinished, idle)
	}
	if now.Sub(unfinished.since) > patience {
		return unfinished
	}
	if now.Sub(idle.since) > patience || idle.since.Before(unfinished.since) {
		return idle
	}
	return unfinished
}

func front(queue *list.List) *Entry {
	if first := queue.Front(); first != nil {
		return first.Value.(*Entry)
	}
	return nil
}

// Enter moves a connection to a phase. A message keeps its place among the unfinished ones
// from its first byte to its last. An entry that was evicted is left alone.
func (b *Budget) Enter(e *Entry, phase Phase, now time.Time) {
	if !e.admitted() || e.phase == phase {
		return
	}
	b.byPhase[e.phase]--
	b.byPhase[phase]++
	if e.place != nil && b.queue(e.phase) == b.queue(phase) {
		e.phase = phase
		return
	}
	b.dequeue(e)
	b.enqueue(e, phase, now)
}

func (b *Budget) queue(phase Phase) *list.List {
	switch phase {
	case Idle:
		return &b.idle
	case Handling, Closing:
		return nil
	}
	return &b.unfinished
}

func (b *Budget) enqueue(e *Entry, phase Phase, now time.Time) {
	e.phase, e.since = phase, now
	if queue := b.queue(phase); queue != nil {
		e.place = queue.PushBack(e)
	}
}

func (b *Budget) dequeue(e *Entry) {
	if e.place != nil {
		b.queue(e.phase).Remove(e.place)
		e.place = nil
	}
}

// Charge sets the bytes that a connection's messages hold. If the budget is exhausted, it
// evicts the longest unfinished connections, but for e, until the bytes fit once these are
// closed. It returns false if they don't fit yet, or if e was evicted before; e is then
// charged as before.
func (b *Budget) Charge(e *Entry, bytes int64, now time.Time) (evicted []*Entry, ok bool) {
	if !e.admitted() {
		return nil, false
	}
	for !b.Fits(e, bytes-b.closing) {
		oldest := b.oldestUnfinished(now, func(other *Entry) bool { return other != e && other.bytes > 0 })
		if oldest == nil {
			return evicted, false
		}
		b.evict(oldest)
		evicted = append(evicted, oldest)
	}
	if !b.Fits(e, bytes) {
		return evicted, false
	}
	b.held += bytes - e.bytes
	e.bytes = bytes
	return evicted, true
}

// Fits tells whether a connection may hold so many bytes without an eviction.
func (b *Budget) Fits(e *Entry, bytes int64) bool {
	return bytes <= e.bytes || b.held-e.bytes+bytes <= b.bytes
}

// oldestUnfinished returns the longest unfinished entry that is wanted. A write is unfinished
// for a moment with every answer, so an answer counts only after patience.
func (b *Budget) oldestUnfinished(now time.Time, wanted func(*Entry) bool) *Entry {
	for at := b.unfinished.Front(); at != nil; at = at.Next() {
		e := at.Value.(*Entry)
		blocked := e.phase != Answering || now.Sub(e.since) > patience
		if blocked && wanted(e) {
			return e
		}
	}
	return nil
}

// Close removes a connection and what it holds. Closing it again has no effect.
func (b *Budget) Close(e *Entry) {
	if !e.open {
		return
	}
	b.dequeue(e)
	b.byPhase[e.phase]--
	b.held -= e.bytes
	if e.phase == Closing {
		b.closing -= e.bytes
	}
	e.bytes, e.open = 0, false
}
