package scheduling

// slabSize is how many values are allocated at once.
const slabSize = 256

// slab allocates many small values together. Each pass indexes every running gang
// twice, and allocating them one by one would be most of what a pass allocates.
type slab[T any] struct{ free []T }

// alloc returns n zero values. Appending beyond them doesn't overwrite values of other
// calls.
func (s *slab[T]) alloc(n int) []T {
	if n > len(s.free) {
		s.free = make([]T, max(n, slabSize))
	}
	taken := s.free[:n:n]
	s.free = s.free[n:]
	return taken
}
