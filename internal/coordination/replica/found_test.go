package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A disk is wiped while the others run. The instance comes back as another
// replica: it founds no second cluster and votes in none until an operator adds
// it, and then it catches up and the old identity leaves. Two of three must be
// enough to go on all the while.
func TestWipedDiskJoinsOnlyWhenAdded(t *testing.T) {
	for _, wiped := range voters {
		t.Run(wiped, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				m.entries = 20 // so that joining takes a snapshot
				startAll(m)
				for i := range 50 {
					propose(is, m.leader(), fmt.Sprint("w", i))
				}
				m.crash(wiped)
				delete(m.disks, wiped)
				back := m.start(wiped)
				time.Sleep(time.Minute)
				is.True(!back.Member())
				is.True(back.Fresh() != nil)
				is.Equal(back.State().Index(), uint64(0))
				propose(is, m.leader(), "meanwhile")

				change := &peerpb.ChangeMembers{Add: wiped, Remove: wiped}
				is.NoErr(m.leader().ChangeMembers(background(), change))
				time.Sleep(2 * time.Second)
				is.NoErr(back.Fresh())
				is.True(back.State().Drained("w0"))
				is.True(back.State().Drained("meanwhile"))
				is.Equal(len(m.leader().Status().Configuration.Members), 3)
				is.NoErr(m.leader().ChangeMembers(background(), change)) // again: nothing left to do
				is.Equal(len(m.leader().Status().Configuration.Members), 3)
			})
		})
	}
}

// All three start on new disks but one is not there yet: no part of them may
// found a cluster without it, for it could have been wiped under an old one.
func TestFoundingWaitsForEveryVoter(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		first, second := m.start("i1"), m.start("i2")
		time.Sleep(time.Minute)
		is.True(!first.Member() && !second.Member())
		m.start("i3")
		propose(is, m.leader(), "w")
	})
}

// Callers find no leader for seconds although every voter is there. Two voters
// have started and the third comes late, as on a busy machine: the others have
// looked for it in vain and pause before they look again, for up to 3 s. Its own
// introduction must end their pause: what is left then is an election, and a second
// one where the first had no winner.
func TestLateVoterIsFoundedWithAtOnce(t *testing.T) {
	for _, late := range voters {
		t.Run(late, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				for _, voter := range voters {
					if voter != late {
						m.start(voter)
					}
				}
				time.Sleep(3200 * time.Millisecond)
				m.start(late)
				began := time.Now()
				m.leader()
				const longestElection = 2 * electionTimeout
				is.True(time.Since(began) <= firstIntroduction+2*longestElection)
			})
		})
	}
}

// All voters' disks are lost at once and an instance without a disk still holds
// the control state. An empty cluster founded now would make accepted changes
// revert under callers' eyes; the voters wait for a person instead.
func TestFoundingStopsWhereSomebodyRemembers(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.remembering = "i4"
		for _, voter := range voters {
			m.start(voter)
		}
		time.Sleep(time.Minute)
		for _, voter := range voters {
			is.True(!m.replicas[voter].Member())
		}
	})
}
