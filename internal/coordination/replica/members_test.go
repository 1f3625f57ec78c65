package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// An operator puts another instance in the leader's place. The leader that
// removes itself still answers, the others elect one among them with the new
// voter, and the removed one disturbs nobody.
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

// One of three voters is gone and an operator removes another that lives. The
// two that would be left, one of them gone, could commit nothing, not even the
// way back: the change is refused and nothing has changed.
func TestRemovalThatLeavesNoQuorumIsRefused(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		gone := m.other(leader)
		m.setCut(gone.config.Instance, true)
		time.Sleep(5 * time.Second)
		leader = m.leader()
		live := ""
		for _, voter := range voters {
			if voter != gone.config.Instance && voter != leader.config.Instance {
				live = voter
			}
		}
		err := leader.ChangeMembers(background(), &peerpb.ChangeMembers{Remove: live})
		is.True(failure.Is(err, failure.NoQuorum))
		propose(is, leader, "after")
		is.Equal(len(leader.Status().Configuration.Members), 3)
	})
}

// A leader makes a new replica a learner and loses power before it is a voter. The next
// leader is asked for the whole change again: it takes the learner on as it is, so that
// the configuration names each replica once and the lost one is gone.
func TestChangeThatALeaderLeftIsEndedByTheNext(t *testing.T) {
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
