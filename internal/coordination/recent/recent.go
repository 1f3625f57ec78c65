// Package recent provides the maximum of recently observed values over two rotating
// windows: the current one and the one before. The maximum is available at any time,
// and no value is kept for longer than two windows.
package recent

import "cmp"

// Largest is the maximum of the current and the previous window. The zero value
// contains no observations and reports the zero value of T, so values below it have no
// effect. The owner decides when a window ends. It is not safe for concurrent use.
type Largest[T cmp.Ordered] struct{ previous, current T }

// Turn starts a new window: the current window becomes the previous one.
func (l *Largest[T]) Turn() {
	var zero T
	l.previous, l.current = l.current, zero
}

// See adds a value to the current window.
func (l *Largest[T]) See(value T) { l.current = max(l.current, value) }

// Value returns the largest value of both windows.
func (l *Largest[T]) Value() T { return max(l.previous, l.current) }
