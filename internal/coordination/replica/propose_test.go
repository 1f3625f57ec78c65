package replica

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Guards against a "not run" for an entry that was overwritten here and is committed
// later by another leader.
func TestOverwrittenEntryHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	c := &core{pending: map[uint64]*proposal{}}
	first := &proposal{term: 2, done: make(chan outcome, 1)}
	c.trackProposal(7, first)
	c.trackProposal(7, &proposal{term: 4, done: make(chan outcome, 1)})
	is.Equal(failure.From((<-first.done).err).NotRun, failure.NotRunUnknown)
}
