package consensus

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A follower that stops answering must not receive more than MaxInflight appends, each
// within MaxAppendBytes: one slow disk must not exhaust the leader's memory.
func TestFlowControl(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
	leader, others := sim.electLeader()
	appends := 0
	sim.onSend = func(m *consensuspb.Message) {
		if m.To == others[0].identity && len(m.Entries) > 0 {
			appends++
			size := 0
			for _, entry := range m.Entries {
				size += proto.Size(entry)
			}
			is.True(size <= typicalConfig.MaxAppendBytes)
		}
	}
	others[0].paused = true
	for range 200 {
		is.True(sim.proposeAll(leader, 9))
		sim.processReady(leader, true)
	}
	is.Equal(appends, typicalConfig.MaxInflight)
	sim.onSend = nil
	is.True(sim.checkRecovery())
	is.Equal(sim.violation, "")
}

// Two leaders were partitioned one after the other, each with a thousand entries that
// no other replica has. Whichever of them leads again must find the conflict in the
// other's log with a few messages instead of one per entry, also if it has compacted
// the position and must send a snapshot.
func TestConflictingTail(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
		first, _ := sim.electLeader()
		sim.isolate(first)
		sim.proposeAll(first, 1000)
		sim.runUntil(sim.otherLeads(first))
		second := sim.leader()
		sim.partition()
		leader, other, count := first, second, 1005
		if compacted {
			leader, other, count = second, first, 995
		}
		sim.proposeAll(second, count)
		sim.runElectionTimeouts(3)
		sim.partition(sim.without(other))
		sim.runUntil(leader.node.committedInTerm)
		sim.drain()
		if compacted {
			leader.disk.snapshot, _ = leader.node.SnapshotMeta(leader.history.applied)
			leader.node.Compact(leader.history.applied)
			leader.node.startElection(true) // probes at its base, where the other log has an older term
			sim.drain()
		}
		rejects := 0
		sim.onSend = func(m *consensuspb.Message) {
			if m.Kind == consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY && m.Reject {
				rejects++
			}
		}
		clear(sim.cutLinks)
		sim.runElectionTimeouts(2)
		is.True(rejects > 0 && rejects <= 4)
		is.Equal(sim.installed > 0, compacted)
		is.Equal(other.node.log.last(), leader.node.log.last())
		is.Equal(sim.violation, "")
	}
}

// A follower has acknowledged an entry while the leader's own sync is still running:
// the entry must not be committed before that sync has completed.
func TestCommitWaitsForSync(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, typicalConfig, injectedFaults{})
	leader, others := sim.electLeader()
	others[1].down = true
	index, err := leader.node.Propose([]byte("x"))
	is.NoErr(err)
	ready, _ := leader.node.Ready()
	sim.enqueue(ready.Messages[:ready.Early])
	for len(sim.network) > 0 {
		sim.deliverAt(0)
		sim.processReady(others[0], true)
	}
	is.Equal(leader.node.progressOf(others[0].identity).match, index)
	is.Equal(leader.node.Status().Commit, index-1)
	leader.node.Advance()
	is.Equal(leader.node.Status().Commit, index)
	is.True(failure.Is(leader.node.Step(&consensuspb.Message{To: "wiped.1"}), failure.WrongAnswer))
}

// Disk contents that a crash can leave behind, and the state that a replica must
// recover from them.
func TestRecovered(t *testing.T) {
	snapshot := &consensuspb.SnapshotMeta{Index: 10, Term: 5, Configuration: &consensuspb.Configuration{}}
	cases := []struct {
		name       string
		entry      *consensuspb.Entry
		last, term uint64
		vote       string
	}{
		{"the tail of an older log after the snapshot is dropped", &consensuspb.Entry{Index: 11, Term: 3}, 10, 6, "a.1"},
		{"a tail that continues from the snapshot is kept", &consensuspb.Entry{Index: 11, Term: 6}, 11, 6, "a.1"},
		{"an entry of an unsynced term sets the term and resets the vote", &consensuspb.Entry{Index: 11, Term: 7}, 11, 7, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 1, typicalConfig, injectedFaults{})
			r := sim.replicas[0]
			r.disk = disk{hard: &consensuspb.HardState{Term: 6, Vote: "a.1"}, snapshot: snapshot, entries: []*consensuspb.Entry{c.entry}}
			sim.start(r)
			is.Equal(r.node.Status().Last, c.last)
			is.Equal(r.node.Status().Term, c.term)
			is.Equal(r.node.vote, c.vote)
		})
	}
}
