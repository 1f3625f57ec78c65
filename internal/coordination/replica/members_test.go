package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Guards against a leader that removes itself and leaves its caller, or the other
// replicas, without an answer.
func TestLeaderIsReplacedByAnotherInstance(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		propose(is, old, "before")
		added := m.start("i4")
		time.Sleep(time.Second)
		change := &peerpb.ChangeMembers{Add: "i4", Remove: old.config.Instance}
		is.NoErr(old.ChangeMembers(background(), change))
		time.Sleep(5 * time.Second)
		next := m.leader()
		is.True(next != old)
		is.Equal(added.Role() == "voter" || added.Role() == "leader", true)
		is.Equal(len(next.Status().Configuration.Members), 3)
		is.Equal(old.Role(), "")
		propose(is, next, "after")
		term := next.Status().Term
		time.Sleep(time.Minute)
		is.Equal(m.leader().Status().Term, term)
	})
}

// Guards against a removal after which nothing can be committed, not even its reversal.
func TestRemovalThatLeavesNoQuorumIsRefused(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		partitioned := m.other(leader)
		m.setCut(partitioned.config.Instance, true)
		time.Sleep(5 * time.Second)
		leader = m.leader()
		live := ""
		for _, voter := range voters {
			if voter != partitioned.config.Instance && voter != leader.config.Instance {
				live = voter
			}
		}
		err := leader.ChangeMembers(background(), &peerpb.ChangeMembers{Remove: live})
		is.True(failure.Is(err, failure.NoQuorum))
		propose(is, leader, "after")
		is.Equal(len(leader.Status().Configuration.Members), 3)
	})
}

// Guards against a replacement that a lost leader began and nobody completes, so that
// the new replica never votes.
func TestNextLeaderCompletesMemberChange(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		added := m.start("i4")
		time.Sleep(time.Second)
		learner := &consensuspb.Member{Identity: added.Status().Identity, Instance: "i4"}
		is.NoErr(old.reconfigure(background(), func(c *consensuspb.Configuration) { c.Members = append(c.Members, learner) }))
		m.crash(old.config.Instance)
		m.setCut(old.config.Instance, true)
		next := m.leader()
		is.NoErr(next.ChangeMembers(background(), &peerpb.ChangeMembers{Add: "i4", Remove: old.config.Instance}))
		time.Sleep(time.Second)
		is.Equal(added.Role(), "voter")
		is.Equal(len(next.Status().Configuration.Members), 3)
		propose(is, next, "after")
	})
}

// Guards against learners that pile up in the configuration: an instance loses its disk again and again
// while its replica catches up, and each of these replicas is a member that never returns.
func TestLearnerOfALostDiskIsDropped(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		added := m.start("i4")
		time.Sleep(time.Second)
		for _, lost := range []string{"i4.lost-1", "i4.lost-2"} {
			learner := &consensuspb.Member{Identity: lost, Instance: "i4"}
			is.NoErr(leader.reconfigure(background(), func(c *consensuspb.Configuration) { c.Members = append(c.Members, learner) }))
		}
		is.NoErr(leader.ChangeMembers(background(), &peerpb.ChangeMembers{Add: "i4"}))
		time.Sleep(time.Second)
		is.Equal(added.Role(), "voter")
		is.Equal(len(leader.Status().Configuration.Members), 4)
		propose(is, leader, "after")
	})
}
