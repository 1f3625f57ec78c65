package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterElection is the time after an election within which every replica has its state
// confirmed by the new leader: one interval between two requests, in case the first one
// arrived before the leader's first commit, and 10 ms for the calls.
func afterElection(r *Replica) time.Duration {
	return r.config.FreshnessBound/confirmationsPerBound + 10*time.Millisecond
}

// Guards against callers refused as stale because a replica waits for the answer of a
// paused leader.
func TestReplicaConfirmsWithNewLeaderWhenOldOnePauses(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		time.Sleep(time.Second)
		m.pause(old.config.Instance)
		paused := time.Now()
		next := m.leader()
		third := m.thirdVoter(old, next)
		time.Sleep(afterElection(third))
		age, err := third.Age()
		is.NoErr(err)
		is.True(age < time.Since(paused)) // confirmed by the new leader
		for time.Since(paused) < 2*third.config.FreshnessBound {
			time.Sleep(10 * time.Millisecond)
			is.NoErr(next.CheckFresh())
			is.NoErr(third.CheckFresh())
		}
	})
}

// thirdVoter returns the voter that is neither of the two.
func (m *mesh) thirdVoter(one, other *Replica) *Replica {
	for _, voter := range voters {
		if r := m.replicas[voter]; r != one && r != other {
			return r
		}
	}
	return nil
}
