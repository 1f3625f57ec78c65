package consensus

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A voter's disk is lost, a spare takes its place, and at once a second voter
// is lost: two of three are left, so commands go on. A change that would leave
// no quorum is refused and says so.
func TestRepairThenSecondLoss(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, calm, planted{})
	leader, others := w.led()
	spare := w.add()
	w.start(spare)
	others[0].lost, others[0].down = true, true
	spare.frozen = true
	is.NoErr(w.member(leader, spare.identity, false, false))
	is.True(failure.Is(w.member(leader, others[1].identity, true, false), failure.ChangePending))
	w.round()
	is.True(failure.Is(w.member(leader, spare.identity, false, true), failure.NotCaughtUp))
	spare.frozen = false
	w.elections(2)
	is.True(failure.Is(w.member(leader, others[1].identity, true, false), failure.NoQuorum)) // one of two would be live
	is.NoErr(w.member(leader, spare.identity, false, true))
	w.elections(1)
	is.NoErr(w.member(leader, others[0].identity, true, false))
	w.round()
	is.Equal(leader.node.Status().ConfigurationPending, false)
	others[1].lost, others[1].down = true, true
	is.True(w.settle())
	is.Equal(w.violation, "")
}

// The leader removes itself: it leads until that is committed, then a voter
// that stays takes over without waiting for an election timeout.
func TestLeaderRemovesItself(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, calm, planted{})
	leader, _ := w.led()
	is.NoErr(w.member(leader, leader.identity, true, false))
	w.round()
	is.True(w.replaced(leader)())
	next := w.leader()
	is.Equal(len(next.node.Status().Configuration.Members), 2)
	w.elections(3)
	is.Equal(leader.node.Status().Role, Follower)
	removed := w.without(leader, next)[0]
	is.NoErr(w.member(next, removed.identity, true, false))
	w.round()
	is.Equal(len(removed.node.Status().Configuration.Members), 1) // it learns that it left
	is.True(!removed.node.Status().ConfigurationPending)
	is.Equal(len(next.node.Status().Members), 0)
	is.Equal(w.violation, "")
}

// A leader that stops hands over: no proposal is taken meanwhile, and the
// target leads within the same tick although the voters hear a live leader.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, calm, planted{})
	leader, others := w.led()
	is.NoErr(leader.node.Transfer(others[1].identity))
	_, err := leader.node.Propose([]byte("late"))
	is.True(failure.Is(err, failure.NotReady))
	w.drain()
	is.Equal(w.leader(), others[1])
	_, err = leader.node.Propose([]byte("late"))
	is.True(failure.Is(err, failure.NotLeader))
}
