package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
