package app

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a leader that is ended for its memory: with less to spare the heap may grow
// less, and never less than without this.
func TestHeapGrowsIntoSpareMemoryOnly(t *testing.T) {
	const memory = 400 * bytesPerMB
	cases := []struct {
		name string
		live uint64
		want int
	}{
		{"nothing is known yet", 0, 300},
		{"a small heap", 20 * bytesPerMB, 300},
		{"half of the memory is reached at 150%", 80 * bytesPerMB, 150},
		{"as much as usual", 100 * bytesPerMB, 100},
		{"more than half of the memory", 250 * bytesPerMB, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(gcPercentFor(c.live, memory), c.want) })
	}
}
