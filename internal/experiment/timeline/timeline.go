// Package timeline provides the event queue of a discrete-event simulation.
package timeline

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of pending events, ordered by time. Events of the same time are
// returned in the order in which they were added, so that simulations are deterministic.
// The zero Queue is empty.
type Queue[T any] struct {
	entries entries[T]
	added   int
}

type entry[T any] struct {
	at       time.Duration
	sequence int
	event    T
}

// Add schedules an event at a simulated time.
func (q *Queue[T]) Add(at time.Duration, event T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at: at, sequence: q.added, event: event})
}

// Len is the number of pending events.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns the time of the next event. It panics if the queue is empty.
func (q *Queue[T]) At() time.Duration { return q.entries[0].at }

// Next removes the next event and returns it with its time. It panics if the queue is empty.
func (q *Queue[T]) Next() (time.Duration, T) {
	next := heap.Pop(&q.entries).(entry[T])
	return next.at, next.event
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
