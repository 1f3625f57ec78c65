// Package recent keeps the largest of what was seen lately, in two windows: no window has to
// be over before its largest is known, and nothing is remembered for longer than two.
package recent

import "cmp"

// Largest is of the window that is going on and the one before. The zero Largest has seen
// nothing; whoever owns it knows the time.
type Largest[T cmp.Ordered] struct{ earlier, newer T }

// Turn begins a window.
func (l *Largest[T]) Turn() {
	var none T
	l.earlier, l.newer = l.newer, none
}

// See takes in a value.
func (l *Largest[T]) See(value T) { l.newer = max(l.newer, value) }

// Value is the largest of both windows.
func (l *Largest[T]) Value() T { return max(l.earlier, l.newer) }
