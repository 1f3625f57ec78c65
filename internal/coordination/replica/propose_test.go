package replica

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// This replica leads, loses the lead before its entry at index 7 commits, takes
// another leader's shorter log, leads again and proposes at 7. A third replica
// still holds the first entry and may win the next term and commit it, so its
// caller must hear "unknown" and never "not run".
func TestAnEntryThatGaveWayIsNotSaidToBeNotRun(t *testing.T) {
	is := is.New(t)
	c := &core{pending: map[uint64]*proposal{}}
	first := &proposal{term: 2, done: make(chan outcome, 1)}
	c.expect(7, first)
	c.expect(7, &proposal{term: 4, done: make(chan outcome, 1)})
	is.Equal(failure.From((<-first.done).err).NotRun, failure.NotRunUnknown)
}
