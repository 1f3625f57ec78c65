// Package fairqueue implements a queue of requests with a limit per customer.
// Customers are served by weight (start-time fair queueing; Goyal, Vin and Cheng,
// 1996); within a customer, higher priority and then earlier deadline go first.
// The package reads no clock.
package fairqueue

import (
	"container/heap"
	"sort"
	"time"
)

// Item is one queued request.
type Item[T any] struct {
	Customer string
	// Weight is the customer's share relative to the others'; 0 counts as 1.
	Weight    uint32
	Priority  uint32
	Deadline  time.Time
	Value     T
	sequence  uint64
	heapIndex int
	queued    bool
}

// Queue holds the queued requests of one service. It keeps the start tag of every
// customer that ever queued a request; their number is limited to the declared
// customers.
type Queue[T any] struct {
	limit       int
	flows       map[string]*flow[T]
	active      []*flow[T]
	virtualTime float64
	sequence    uint64
	round       uint64
	length      int
}

// flow is the part of a queue that belongs to one customer.
type flow[T any] struct {
	customer string
	weight   float64
	startTag float64
	// offered is the last round of Pop that offered this customer's first item.
	offered uint64
	items   itemHeap[T]
}

// New returns a queue that holds at most limit requests of each customer.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, flows: map[string]*flow[T]{}}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.length }

// Push queues an item. If the customer's part of the queue is full, the item that
// would be served last, which may be the new one, is removed and returned;
// otherwise Push returns nil.
func (q *Queue[T]) Push(item *Item[T]) (displaced *Item[T]) {
	f := q.flows[item.Customer]
	if f == nil {
		f = &flow[T]{customer: item.Customer}
		q.flows[item.Customer] = f
	}
	f.weight = float64(max(item.Weight, 1))
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
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

// Pop offers each customer's first item to accept, in order of start tags, and
// removes and returns the first one accepted. It returns nil if none is.
func (q *Queue[T]) Pop(accept func(*Item[T]) bool) *Item[T] {
	q.round++
	for {
		f := q.next()
		if f == nil {
			return nil
		}
		f.offered = q.round
		item := f.items[0]
		if !accept(item) {
			continue
		}
		q.virtualTime = f.startTag
		f.startTag += 1 / f.weight
		q.remove(f, item)
		return item
	}
}

// next returns the flow with the lowest start tag that has not been offered in
// this round.
func (q *Queue[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.offered != q.round && (best == nil || f.startTag < best.startTag) {
			best = f
		}
	}
	return best
}

// Remove removes a queued item. It returns false if the item is not queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := q.flows[item.Customer]
	if f == nil || !item.queued {
		return false
	}
	q.remove(f, item)
	return true
}

func (q *Queue[T]) remove(f *flow[T], item *Item[T]) {
	heap.Remove(&f.items, item.heapIndex)
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

// RemoveFunc calls test for every queued item, per customer in the order of
// service, with its position among the items that are kept. It removes and
// returns the items for which test returns true.
func (q *Queue[T]) RemoveFunc(test func(*Item[T], Position) bool) []*Item[T] {
	total := 0.0
	for _, f := range q.active {
		total += f.weight
	}
	var taken []*Item[T]
	for _, f := range append([]*flow[T](nil), q.active...) {
		position := Position{Share: f.weight / total}
		ordered := append(itemHeap[T](nil), f.items...)
		sort.Slice(ordered, func(i, j int) bool { return before(ordered[i], ordered[j]) })
		for _, item := range ordered {
			if test(item, position) {
				q.remove(f, item)
				taken = append(taken, item)
				continue
			}
			position.Ahead++
		}
	}
	return taken
}

// Position describes an item's place in the queue, for estimating its wait.
type Position struct {
	// Ahead is the number of items of the same customer that are served first.
	Ahead int
	// Share is the customer's current share of the service, from 0 to 1.
	Share float64
}

// Position returns the position that an item has, or would have if queued.
func (q *Queue[T]) Position(item *Item[T]) Position {
	total := 0.0
	for _, f := range q.active {
		if f.customer != item.Customer {
			total += f.weight
		}
	}
	own := float64(max(item.Weight, 1))
	position := Position{Share: own / (own + total)}
	f := q.flows[item.Customer]
	if f == nil {
		return position
	}
	for _, other := range f.items {
		if other != item && !before(item, other) {
			position.Ahead++
		}
	}
	return position
}

// before orders the items of one customer. An item that is not queued yet comes
// after items of equal priority and deadline.
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
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// last returns the item that would be served last, which is one of the heap's
// leaves.
func (h itemHeap[T]) last() *Item[T] {
	worst := h[len(h)-1]
	for _, item := range h[len(h)/2:] {
		if before(worst, item) {
			worst = item
		}
	}
	return worst
}
