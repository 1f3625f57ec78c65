package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A second cluster, or a second vote in one term, by a replica whose disk was wiped.
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

// No leader for seconds, since the voters pause while the last of them starts.
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

// Accepted changes that revert: voters with empty disks found the cluster anew.
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
