package scheduling

// chunkSize is how many values are allocated at once.
const chunkSize = 256

// chunks allocates many small values together: a pass indexes every running gang, twice,
// and one by one they would be most of what it allocates.
type chunks[T any] struct{ left []T }

// take gives n zero values; appending beyond them does not touch others.
func (c *chunks[T]) take(n int) []T {
	if n > len(c.left) {
		c.left = make([]T, max(n, chunkSize))
	}
	taken := c.left[:n:n]
	c.left = c.left[n:]
	return taken
}
