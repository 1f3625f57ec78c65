package consensus

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A follower that answers nothing more gets no more than its share of appends,
// each within its bytes; the leader's memory is not filled by one slow disk.
func TestFlowControl(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, calm, planted{})
	leader, others := w.led()
	appends := 0
	w.sent = func(m *consensuspb.Message) {
		if m.To == others[0].identity && len(m.Entries) > 0 {
			appends++
			size := 0
			for _, entry := range m.Entries {
				size += proto.Size(entry)
			}
			is.True(size <= calm.MaxAppendBytes)
		}
	}
	others[0].frozen = true
	for range 200 {
		is.True(w.proposeAll(leader, 9))
		w.pump(leader, true)
	}
	is.Equal(appends, calm.MaxInflight)
	w.sent = nil
	is.True(w.settle())
	is.Equal(w.violation, "")
}

// Two leaders were cut off one after the other, each with a thousand entries
// that nobody else has. Whichever leads again, the other's log is found to
// differ in a few messages, not one by one, also where the leader has compacted
// the place and must send a snapshot.
func TestConflictingTail(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(1, 3, calm, planted{})
		first, _ := w.led()
		w.isolate(first)
		w.proposeAll(first, 1000)
		w.until(w.replaced(first))
		second := w.leader()
		w.partition()
		leader, other, count := first, second, 1005
		if compacted {
			leader, other, count = second, first, 995
		}
		w.proposeAll(second, count)
		w.elections(3)
		w.partition(w.without(other))
		w.until(leader.node.committedInTerm)
		w.drain()
		if compacted {
			leader.disk.snapshot, _ = leader.node.SnapshotMeta(leader.view.applied)
			leader.node.Compact(leader.view.applied)
			leader.node.elect(true) // it probes at its base, where the other has an older term
			w.drain()
		}
		rejects := 0
		w.sent = func(m *consensuspb.Message) {
			if m.Kind == consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY && m.Reject {
				rejects++
			}
		}
		clear(w.cut)
		w.elections(2)
		is.True(rejects > 0 && rejects <= 4)
		is.Equal(w.installed > 0, compacted)
		is.Equal(other.node.log.last(), leader.node.log.last())
		is.Equal(w.violation, "")
	}
}

// A follower has the leader's entry and has answered while the leader's own
// sync is still under way: the entry isn't committed before that has ended.
func TestCommitWaitsForSync(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, calm, planted{})
	leader, others := w.led()
	others[1].down = true
	index, err := leader.node.Propose([]byte("x"))
	is.NoErr(err)
	ready, _ := leader.node.Ready()
	w.deliverLater(ready.Messages[:ready.Early])
	for len(w.network) > 0 {
		w.take(0)
		w.pump(others[0], true)
	}
	is.Equal(leader.node.progressOf(others[0].identity).match, index)
	is.Equal(leader.node.Status().Commit, index-1)
	leader.node.Advance()
	is.Equal(leader.node.Status().Commit, index)
	is.True(failure.Is(leader.node.Step(&consensuspb.Message{To: "wiped.1"}), failure.WrongAnswer))
}

// What a disk can give back after a crash, and what must be made of it.
func TestRecovered(t *testing.T) {
	snapshot := &consensuspb.SnapshotMeta{Index: 10, Term: 5, Configuration: &consensuspb.Configuration{}}
	cases := []struct {
		name       string
		entry      *consensuspb.Entry
		last, term uint64
		vote       string
	}{
		{"an older log's tail behind the snapshot is dropped", &consensuspb.Entry{Index: 11, Term: 3}, 10, 6, "a.1"},
		{"a tail that goes on from it is kept", &consensuspb.Entry{Index: 11, Term: 6}, 11, 6, "a.1"},
		{"an entry whose term was not synced brings the term, without its vote", &consensuspb.Entry{Index: 11, Term: 7}, 11, 7, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 1, calm, planted{})
			r := w.replicas[0]
			r.disk = disk{hard: &consensuspb.HardState{Term: 6, Vote: "a.1"}, snapshot: snapshot, entries: []*consensuspb.Entry{c.entry}}
			w.start(r)
			is.Equal(r.node.Status().Last, c.last)
			is.Equal(r.node.Status().Term, c.term)
			is.Equal(r.node.vote, c.vote)
		})
	}
}
