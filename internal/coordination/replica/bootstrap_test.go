package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Guards against a second cluster, or a second vote in one term, by a replica whose disk
// was wiped.
func TestWipedDiskJoinsOnlyWhenAdded(t *testing.T) {
	for _, wiped := range voters {
		t.Run(wiped, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				m.entries = 20 // so that joining requires a snapshot
				startAll(m)
				for i := range 50 {
					propose(is, m.leader(), fmt.Sprint("w", i))
				}
				m.crash(wiped)
				delete(m.disks, wiped)
				rejoined := m.start(wiped)
				time.Sleep(time.Minute)
				is.True(!rejoined.Member())
				is.True(rejoined.CheckFresh() != nil)
				is.Equal(rejoined.State().Index(), uint64(0))
				propose(is, m.leader(), "meanwhile")

				change := &peerpb.ChangeMembers{Add: wiped, Remove: wiped}
				is.NoErr(m.leader().ChangeMembers(background(), change))
				time.Sleep(2 * time.Second)
				is.NoErr(rejoined.CheckFresh())
				is.True(rejoined.State().Drained("w0"))
				is.True(rejoined.State().Drained("meanwhile"))
				is.Equal(len(m.leader().Status().Configuration.Members), 3)
				is.NoErr(m.leader().ChangeMembers(background(), change)) // repeated: nothing left to do
				is.Equal(len(m.leader().Status().Configuration.Members), 3)
			})
		})
	}
}

// All voters start on new disks, but one is not running yet. The others must not
// bootstrap a cluster without it, since their disks may have been wiped while it kept
// the log of an older cluster.
func TestBootstrapWaitsForEveryVoter(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		first, second := m.start("i1"), m.start("i2")
		time.Sleep(time.Minute)
		is.True(!first.Member() && !second.Member())
		m.start("i3")
		propose(is, m.leader(), "w")
	})
}

// Guards against seconds without a leader because the other voters pause between two
// rounds of introductions while the last voter starts.
func TestLateVoterJoinsBootstrapImmediately(t *testing.T) {
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
				is.True(time.Since(began) <= minIntroducePause+2*longestElection)
			})
		})
	}
}

// Guards against the loss of committed changes when voters with empty disks bootstrap a
// new cluster although a peer still has the control state.
func TestNoBootstrapWhenPeerHasControlState(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.instanceWithCluster = "i4"
		for _, voter := range voters {
			m.start(voter)
		}
		time.Sleep(time.Minute)
		for _, voter := range voters {
			is.True(!m.replicas[voter].Member())
		}
	})
}
