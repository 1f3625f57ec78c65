package consensus

import (
	"fmt"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

// replicaHistory is the checker's record of one incarnation of a replica.
type replicaHistory struct {
	applied uint64
	commit  uint64
	// minReadIndex is the lowest index that may be returned for each read round.
	minReadIndex map[uint64]uint64
	// acknowledgedTermAt is the checker's acknowledgedTerm at each tick.
	acknowledgedTermAt []uint64
}

func newReplicaHistory(applied uint64) replicaHistory {
	return replicaHistory{applied: applied, minReadIndex: map[uint64]uint64{}, acknowledgedTermAt: []uint64{0}}
}

type entryID struct{ index, term uint64 }

type stored struct {
	previousTerm uint64
	data         string
}

// checker records what the replicas have exposed and the first violation of an
// invariant.
type checker struct {
	violation string
	unchecked bool              // set by benchmarks
	leaders   map[uint64]string // by term
	stored    map[entryID]stored
	log       []*consensuspb.Entry // committed entries, from bootstrapIndex+1 on
	// commitTerms is, for each committed entry, the term of the first replica that
	// applied it. Leaders of newer terms must have the entry.
	commitTerms []uint64
	commands    map[string]bool
	// acknowledgedTerm is the newest term whose leader has applied an entry.
	acknowledgedTerm uint64
	coverage
}

// coverage counts the events of the schedules, to verify that they exercise these
// paths.
type coverage struct {
	elected, committed, configurations, installed, reads, recovered int
}

func (c *coverage) add(other coverage) {
	c.elected += other.elected
	c.committed += other.committed
	c.configurations += other.configurations
	c.installed += other.installed
	c.reads += other.reads
	c.recovered += other.recovered
}

func newChecker() checker {
	return checker{leaders: map[uint64]string{}, stored: map[entryID]stored{}, commands: map[string]bool{}}
}

func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *checker) newestCommitted() uint64 { return bootstrapIndex + uint64(len(c.log)) }

// checkReplica checks that each term has at most one leader, that it has all committed
// entries, that the commit index never decreases, that no leader remains without a
// quorum for longer than the election timeout, and that the quorum age is not
// underestimated.
func (c *checker) checkReplica(r *replica) {
	if r.down {
		return
	}
	n := r.node
	if n.log.commit < r.history.commit {
		c.fail("commit index of %s decreased from %d to %d", r.identity, r.history.commit, n.log.commit)
	}
	r.history.commit = n.log.commit
	if n.role != Leader {
		return
	}
	if c.leaders[n.term] == "" {
		c.leaders[n.term] = r.identity
		c.elected++
		c.checkComplete(r)
	}
	if c.leaders[n.term] != r.identity {
		c.fail("election safety: %s and %s lead term %d", c.leaders[n.term], r.identity, n.term)
	}
	age := n.quorumAge()
	if n.ticksSinceQuorum() > max(n.config.ElectionTicks, n.config.MaxElectionTicks) {
		c.fail("%s leads without a quorum for %d ticks", r.identity, n.ticksSinceQuorum())
	}
	if tick := len(r.history.acknowledgedTermAt) - 1 - age; tick >= 0 && r.history.acknowledgedTermAt[tick] > n.term {
		c.fail("freshness: %s was replaced more than its quorum age of %d ticks ago", r.identity, age)
	}
}

func (c *checker) checkComplete(r *replica) {
	for i, entry := range c.log {
		if r.node.term > c.commitTerms[i] && entry.Index > r.node.log.base && !r.node.log.matches(entry.Index, entry.Term) {
			c.fail("leader completeness: %s leads term %d without entry %d", r.identity, r.node.term, entry.Index)
			return
		}
	}
}

// checkStored checks that entries with the same index and term are identical and follow
// the same entry, from which it follows that the logs match up to them.
func (c *checker) checkStored(r *replica, entries []*consensuspb.Entry) {
	if c.unchecked {
		return
	}
	for _, entry := range entries {
		term, _ := r.node.log.termAt(entry.Index - 1)
		if r.node.log.matches(entry.Index, entry.Term) {
			got := stored{term, string(entry.Data)}
			at := entryID{entry.Index, entry.Term}
			if previous, ok := c.stored[at]; ok && previous != got {
				c.fail("log matching: %s differs at %d of term %d", r.identity, entry.Index, entry.Term)
			}
			c.stored[at] = got
		}
	}
}

// checkApplied checks that all replicas apply the same entries in the same order, and
// each command once.
func (c *checker) checkApplied(r *replica, entries []*consensuspb.Entry) {
	if c.unchecked {
		return
	}
	for _, entry := range entries {
		if entry.Index != r.history.applied+1 {
			c.fail("%s applied entry %d after entry %d", r.identity, entry.Index, r.history.applied)
		}
		r.history.applied = entry.Index
		if entry.Index > c.newestCommitted() {
			c.commit(entry, r.node.term)
		}
		committed := c.log[entry.Index-bootstrapIndex-1]
		if committed.Term != entry.Term || string(committed.Data) != string(entry.Data) {
			c.fail("lost command: %s applied a different entry at %d", r.identity, entry.Index)
		}
		if r.node.role == Leader {
			c.acknowledgedTerm = max(c.acknowledgedTerm, r.node.term)
		}
	}
}

func (c *checker) commit(entry *consensuspb.Entry, term uint64) {
	c.log = append(c.log, entry)
	c.committed++
	c.commitTerms = append(c.commitTerms, term)
	if entry.Kind == consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION {
		c.configurations++
	}
	if entry.Kind != consensuspb.EntryKind_ENTRY_KIND_COMMAND {
		return
	}
	if c.commands[string(entry.Data)] {
		c.fail("%s committed twice", entry.Data)
	}
	c.commands[string(entry.Data)] = true
}

func (c *checker) read(r *replica) {
	if round, err := r.node.ReadIndex(); err == nil {
		r.history.minReadIndex[round] = c.newestCommitted()
	}
}

// checkReads checks that a confirmed read observes everything committed before it
// began.
func (c *checker) checkReads(r *replica, reads []ReadState) {
	c.reads += len(reads)
	for _, read := range reads {
		if read.Index < r.history.minReadIndex[read.Round] {
			c.fail("stale read: %s answered %d where %d was committed", r.identity, read.Index, r.history.minReadIndex[read.Round])
		}
	}
}
