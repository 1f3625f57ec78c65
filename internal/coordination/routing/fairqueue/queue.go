// Package fairqueue holds waiting requests, bounded per customer: the customers
// share by weight (start-time fair queueing; Goyal, Vin and Cheng, 1996), and
// within one customer the higher priority and then the earlier deadline goes
// first. It reads no clock.
package fairqueue

import (
	"container/heap"
	"sort"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	Customer string
	// Weight is the customer's share relative to the others'; 0 counts as 1.
	Weight   uint32
	Priority uint32
	Deadline time.Time
	Value    T
	sequence uint64
	place    int
	queued   bool
}

// Queue holds the waiting requests of one service. It remembers the standing
// of each customer that ever queued; there are as many as were declared.
type Queue[T any] struct {
	limit    int
	flows    map[string]*flow[T]
	active   []*flow[T]
	virtual  float64
	sequence uint64
	round    uint64
	length   int
}

// flow is one customer's part of a queue.
type flow[T any] struct {
	customer string
	weight   float64
	start    float64
	// asked is the last round of Pop that asked for this customer's first item.
	asked uint64
	items itemHeap[T]
}

// New makes a queue that holds at most limit requests of each customer.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, flows: map[string]*flow[T]{}}
}

// Len counts the waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push queues an item. When the customer's part is full the item that would
// be served last gives way; that may be the new one. The one that gave way is
// returned, nil for none.
func (q *Queue[T]) Push(item *Item[T]) (displaced *Item[T]) {
	f := q.flows[item.Customer]
	if f == nil {
		f = &flow[T]{customer: item.Customer}
		q.flows[item.Customer] = f
	}
	f.weight = float64(max(item.Weight, 1))
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
		q.active = append(q.active, f)
	}
	q.sequence++
	item.sequence = q.sequence
	item.queued = true
	heap.Push(&f.items, item)
	q.length++
	if len(f.items) <= q.limit {
		return nil
	}
	last := f.items.last()
	q.remove(f, last)
	return last
}

// Pop takes out the first item that accept takes, asking each customer's first
// item in the order of fairness; nil when none is accepted.
func (q *Queue[T]) Pop(accept func(*Item[T]) bool) *Item[T] {
	q.round++
	for {
		f := q.next()
		if f == nil {
			return nil
		}
		f.asked = q.round
		item := f.items[0]
		if !accept(item) {
			continue
		}
		q.virtual = f.start
		f.start += 1 / f.weight
		q.remove(f, item)
		return item
	}
}

// next finds the customer with the least start that this round has not asked.
func (q *Queue[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.asked != q.round && (best == nil || f.start < best.start) {
			best = f
		}
	}
	return best
}

// Remove takes a waiting item out, for a caller that went away.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := q.flows[item.Customer]
	if f == nil || !item.queued {
		return false
	}
	q.remove(f, item)
	return true
}

func (q *Queue[T]) remove(f *flow[T], item *Item[T]) {
	heap.Remove(&f.items, item.place)
	item.queued = false
	q.length--
	if len(f.items) > 0 {
		return
	}
	for i, other := range q.active {
		if other == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Review asks about every waiting item in the order of service, with where it
// stands among those that stay, and takes out the ones that the test picks.
func (q *Queue[T]) Review(test func(*Item[T], Standing) bool) []*Item[T] {
	total := 0.0
	for _, f := range q.active {
		total += f.weight
	}
	var taken []*Item[T]
	for _, f := range append([]*flow[T](nil), q.active...) {
		standing := Standing{Share: f.weight / total}
		ordered := append(itemHeap[T](nil), f.items...)
		sort.Slice(ordered, func(i, j int) bool { return before(ordered[i], ordered[j]) })
		for _, item := range ordered {
			if test(item, standing) {
				q.remove(f, item)
				taken = append(taken, item)
				continue
			}
			standing.Ahead++
		}
	}
	return taken
}

// Standing is what an estimate of an item's wait needs.
type Standing struct {
	// Ahead counts the items of the same customer that go first.
	Ahead int
	// Share is the customer's part of the service now, from 0 to 1.
	Share float64
}

// Standing tells where an item of a customer stands, or would stand.
func (q *Queue[T]) Standing(item *Item[T]) Standing {
	total := 0.0
	for _, f := range q.active {
		if f.customer != item.Customer {
			total += f.weight
		}
	}
	own := float64(max(item.Weight, 1))
	standing := Standing{Share: own / (own + total)}
	f := q.flows[item.Customer]
	if f == nil {
		return standing
	}
	for _, other := range f.items {
		if other != item && !before(item, other) {
			standing.Ahead++
		}
	}
	return standing
}

// before orders the items of one customer; an item that is not queued yet
// comes after its equals.
func before[T any](a, b *Item[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.queued && b.queued && a.sequence < b.sequence
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return before(h[i], h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.place = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// last finds the item that would be served last: one of the heap's leaves.
func (h itemHeap[T]) last() *Item[T] {
	worst := h[len(h)-1]
	for _, item := range h[len(h)/2:] {
		if before(worst, item) {
			worst = item
		}
	}
	return worst
}
