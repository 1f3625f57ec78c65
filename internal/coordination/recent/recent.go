// Package recent provides the maximum of recently observed values over two rotating
// windows: the current one and the one before. The maximum is available at any time,
// and no value is kept for longer than two windows.
package recent

import "cmp"

// Max is the maximum of the current and the previous window. The zero value
// contains no observations and reports the zero value of T, so values below it have no
// effect. The owner decides when a window ends. It is not safe for concurrent use.
type Max[T cmp.Ordered] struct{ previous, current T }

// Rotate starts a new window: the current window becomes the previous one.
func (m *Max[T]) Rotate() {
	var zero T
	m.previous, m.current = m.current, zero
}

// Observe adds a value to the current window.
func (m *Max[T]) Observe(value T) { m.current = max(m.current, value) }

// Value returns the largest value of both windows.
func (m *Max[T]) Value() T { return max(m.previous, m.current) }
