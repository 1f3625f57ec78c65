package consensus

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A voter loses its disk, a spare replaces it, and immediately afterwards a second
// voter is lost. Two of three voters remain, so commands must still be committed. A
// change that would leave no quorum must be rejected with NoQuorum.
func TestRepairThenSecondLoss(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
	leader, others := sim.electLeader()
	spare := sim.add()
	sim.start(spare)
	others[0].diskLost, others[0].down = true, true
	spare.paused = true
	is.NoErr(sim.changeMember(leader, spare.identity, false, false))
	is.True(failure.Is(sim.changeMember(leader, others[1].identity, true, false), failure.ChangePending))
	sim.round()
	is.True(failure.Is(sim.changeMember(leader, spare.identity, false, true), failure.NotCaughtUp))
	spare.paused = false
	sim.runElectionTimeouts(2)
	is.True(failure.Is(sim.changeMember(leader, others[1].identity, true, false), failure.NoQuorum)) // one of two would be live
	is.NoErr(sim.changeMember(leader, spare.identity, false, true))
	sim.runElectionTimeouts(1)
	is.NoErr(sim.changeMember(leader, others[0].identity, true, false))
	sim.round()
	is.Equal(leader.node.Status().ConfigurationPending, false)
	others[1].diskLost, others[1].down = true, true
	is.True(sim.checkRecovery())
	is.Equal(sim.violation, "")
}

// A leader that removes itself leads until the removal is committed; then one of the
// remaining voters takes over without waiting for an election timeout.
func TestLeaderRemovesItself(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
	leader, _ := sim.electLeader()
	is.NoErr(sim.changeMember(leader, leader.identity, true, false))
	sim.round()
	is.True(sim.otherLeads(leader)())
	next := sim.leader()
	is.Equal(len(next.node.Status().Configuration.Members), 2)
	sim.runElectionTimeouts(3)
	is.Equal(leader.node.Status().Role, Follower)
	removed := sim.without(leader, next)[0]
	is.NoErr(sim.changeMember(next, removed.identity, true, false))
	sim.round()
	is.Equal(len(removed.node.Status().Configuration.Members), 1) // it learns of its removal
	is.True(!removed.node.Status().ConfigurationPending)
	is.Equal(len(next.node.Status().Members), 0)
	is.Equal(sim.violation, "")
}

// A leader that stops transfers leadership: it rejects proposals meanwhile, and the
// target becomes leader within the same tick although the other voters have a live
// leader.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
	leader, others := sim.electLeader()
	is.NoErr(leader.node.Transfer(others[1].identity))
	_, err := leader.node.Propose([]byte("late"))
	is.True(failure.Is(err, failure.NotReady))
	sim.drain()
	is.Equal(sim.leader(), others[1])
	_, err = leader.node.Propose([]byte("late"))
	is.True(failure.Is(err, failure.NotLeader))
}
