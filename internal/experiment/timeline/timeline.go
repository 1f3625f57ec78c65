// Package timeline keeps the events of a simulation in the order of their times.
package timeline

import (
	"container/heap"
	"time"
)

// Queue holds events that are still to come. Those of the same time come in the order
// in which they were added, so that a simulation says the same at each run. The zero
// Queue is empty.
type Queue[T any] struct {
	entries entries[T]
	added   int
}

type entry[T any] struct {
	at    time.Duration
	order int
	event T
}

// Add puts an event at a time.
func (q *Queue[T]) Add(at time.Duration, event T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at: at, order: q.added, event: event})
}

// Len is how many events are to come.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At is the time of the next event; there must be one.
func (q *Queue[T]) At() time.Duration { return q.entries[0].at }

// Next takes the next event; there must be one.
func (q *Queue[T]) Next() (time.Duration, T) {
	next := heap.Pop(&q.entries).(entry[T])
	return next.at, next.event
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
