package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterElection is how long after an election every replica has its state confirmed
// by the new leader: one distance between two asks, in case that the first one came
// before the leader's first commit, and 10 ms for the calls.
func afterElection(r *Replica) time.Duration {
	return r.config.FreshnessBound/confirmsPerBound + 10*time.Millisecond
}

// Callers refused as stale, since a replica waits for the answer of a frozen leader.
func TestReplicaAsksTheNewLeaderWhenTheOldOneFreezes(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		time.Sleep(time.Second)
		m.freeze(old.config.Instance)
		frozen := time.Now()
		next := m.leader()
		third := m.bystander(old, next)
		time.Sleep(afterElection(third))
		age, err := third.Age()
		is.NoErr(err)
		is.True(age < time.Since(frozen)) // confirmed by the new leader
		for time.Since(frozen) < 2*third.config.FreshnessBound {
			time.Sleep(10 * time.Millisecond)
			is.NoErr(next.Fresh())
			is.NoErr(third.Fresh())
		}
	})
}

// bystander is the voter that is neither of two.
func (m *mesh) bystander(one, other *Replica) *Replica {
	for _, voter := range voters {
		if r := m.replicas[voter]; r != one && r != other {
			return r
		}
	}
	return nil
}
