package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
	"pinewinch.example/pinewinch/internal/state/snapshot"
	"pinewinch.example/pinewinch/internal/state/store"
)

func inBubble(t *testing.T, test func(is *is.I, m *mesh)) {
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newMesh(t)) })
}

func startAll(m *mesh) *Replica {
	for _, voter := range voters {
		m.start(voter)
	}
	return m.leader()
}

func propose(is *is.I, r *Replica, upstream string) {
	is.Helper()
	_, err := r.Propose(background(), drain(upstream))
	is.NoErr(err)
}

// The leader loses power directly after it answered. What it acknowledged must be found
// at the next leader and, after a restart, at the old one.
func TestAcknowledgedCommandsSurviveLeaderLoss(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		for i := range 6 {
			old := m.leaderOrStart()
			propose(is, m.other(old), fmt.Sprint("w", i))
			m.crash(old.config.Instance)
			next := m.leader()
			is.NoErr(next.Read(background()))
			for j := range i + 1 {
				is.True(next.State().Drained(fmt.Sprint("w", j)))
			}
			m.start(old.config.Instance)
			time.Sleep(2 * time.Second)
			is.NoErr(m.replicas[old.config.Instance].CheckFresh())
			is.Equal(m.replicas[old.config.Instance].State().Index(), m.leader().State().Index())
		}
	})
}

func (m *mesh) leaderOrStart() *Replica {
	if len(m.replicas) == 0 {
		return startAll(m)
	}
	return m.leader()
}

// Guards against a partitioned leader that serves an old state, or acknowledges what is
// not committed.
func TestPartitionedLeaderNeitherServesNorConfirms(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		propose(is, old, "before")
		m.setCut(old.config.Instance, true)
		waiting := make(chan error, 1)
		go func() {
			_, err := old.submit(background(), drain("replaced"))
			waiting <- err
		}()
		ctx, cancel := context.WithTimeout(background(), time.Second)
		defer cancel()
		_, err := old.Propose(ctx, drain("lost"))
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		next := m.leader()
		is.True(next != old)
		propose(is, next, "after")
		refused := make(chan error, 1)
		go func() {
			_, err := old.submit(background(), drain("refused"))
			refused <- err
		}()
		time.Sleep(3 * time.Second)
		is.True(failure.Is(old.CheckFresh(), failure.StaleState))
		is.True(old.Read(ctx) != nil)
		m.setCut(old.config.Instance, false)
		is.Equal(failure.From(<-refused).NotRun, failure.NotRunTrue)
		// Another entry has been committed at the index of this one, so it never ran.
		is.True(failure.Is(<-waiting, failure.NotLeader))
		time.Sleep(3 * time.Second)
		is.NoErr(old.CheckFresh())
		is.True(old.State().Drained("after"))
		is.True(!old.State().Drained("lost"))
	})
}

// A sync fails on the leader. Its process must end with the disk failure and not answer
// the command, and the others continue without it.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		propose(is, old, "before")
		m.disks[old.config.Instance].FailSyncs = 1
		_, err := old.submit(background(), drain("during"))
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.True(failure.Is(m.stops[old.config.Instance](), failure.DiskFailed))
		m.setCut(old.config.Instance, true)
		propose(is, m.leader(), "after")
	})
}

// Guards against a leader that ends because of a full disk, or confirms what is not on
// its disk.
func TestLeaderWithFullDiskLeavesLogAndRejoins(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		propose(is, old, "before")
		m.setFreeSpace(old, 0)
		waiting := make(chan error, 1)
		go func() {
			_, err := old.submit(background(), drain("during"))
			waiting <- err
		}()
		time.Sleep(100 * time.Millisecond)
		is.True(!old.IsLeader())
		_, err := old.submit(background(), drain("refused"))
		is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
		next := m.leader()
		is.True(next != old)
		propose(is, next, "after")
		is.True(failure.Is(old.readAsLeader(background()), failure.NotReady))
		m.setFreeSpace(old, -1)
		time.Sleep(3 * time.Second)
		is.NoErr(old.CheckFresh())
		is.True(old.State().Drained("after"))
		is.True(!old.State().Drained("refused"))
		is.True(failure.From(<-waiting).NotRun != failure.NotRunFalse)
		is.NoErr(old.Read(background()))
	})
}

// Guards against a leader that ends with a disk failure because it had no descriptor
// left for a snapshot.
func TestLeaderWithoutDescriptorsKeepsLeading(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.entries = 5
		leader := startAll(m)
		disk := m.disks[leader.config.Instance]
		disk.SetFreeDescriptors(0)
		for n := range 12 {
			propose(is, leader, fmt.Sprint("without ", n))
		}
		is.True(leader.IsLeader())
		before := leader.disk.newestSnapshot()
		disk.SetFreeDescriptors(-1)
		time.Sleep(2 * time.Second)
		is.True(leader.disk.newestSnapshot() > before)
	})
}

// Guards against a gap in the log, from a snapshot that was marked before a deferred
// append was written.
func TestSnapshotIsNotInstalledBeforeDeferredAppend(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		propose(is, leader, "before")
		other := m.other(leader)
		done := make(chan uint64)
		other.post(func(c *core) {
			c.deferred = &consensus.Ready{}
			before := c.state.Index()
			ahead := &consensuspb.SnapshotMeta{Index: before + 100, Term: 9, Configuration: c.node.Status().Configuration}
			data, _ := encodeState(store.Restore(&controlpb.Snapshot{Index: before + 100}))
			c.install(&snapshot.Snapshot{Meta: ahead, Data: data}, nil)
			c.deferred = nil
			done <- c.state.Index() - before
		})
		is.Equal(<-done, uint64(0))
	})
}

// A replica starts on a full disk. It must wait for free space instead of ending, and
// then take part.
func TestStartOnFullDiskWaitsForFreeSpace(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.disks["i3"] = disktest.New()
		m.disks["i3"].FreeBytes = 0
		late := m.start("i3")
		m.start("i1")
		m.start("i2")
		time.Sleep(2 * time.Second)
		m.setFreeSpace(late, -1)
		propose(is, m.leader(), "after")
		time.Sleep(5 * time.Second)
		is.NoErr(late.CheckFresh())
		is.True(late.State().Drained("after"))
	})
}

// Guards against a placement decided twice, by a leader that has not applied what the
// previous leader committed.
func TestLeadsOnlyAfterApplyingAllCommitted(t *testing.T) {
	is := is.New(t)
	at := func(index uint64) *store.State { return store.Restore(&controlpb.Snapshot{Index: index}) }
	c := &core{state: at(5)}
	status := consensus.Status{Role: consensus.Leader, Term: 3, Commit: 5}
	is.True(!c.leads(status))
	status.CommittedInTerm, status.Commit = true, 7
	is.True(!c.leads(status))
	c.state = at(7)
	is.True(c.leads(status))
	status.Commit = 9 // a pending command must not interrupt the leadership
	is.True(c.leads(status))
	status.Term, status.Commit = 4, 9
	is.True(!c.leads(status))
}

// A leader was last recognised by a quorum ten ticks ago. Its state is at least that
// old; reported as fresh, followers would trust it for too long.
func TestLeaderAgeIsMeasuredFromQuorumContact(t *testing.T) {
	is := is.New(t)
	r := New(Config{FreshnessBound: time.Second}, nil)
	c := &core{replica: r, tick: 10 * time.Millisecond, lastTick: boottime.Now()}
	c.confirmAsLeader(consensus.Status{QuorumAge: 10})
	age, err := r.Age()
	is.NoErr(err)
	is.True(age >= 110*time.Millisecond)
}

// Guards against a healthy leader that is deposed because a follower itself was paused.
func TestOwnPauseStartsNoElection(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		follower := m.other(startAll(m))
		for follower.Leader() == "" {
			time.Sleep(10 * time.Millisecond)
		}
		var afterPause, afterSilence consensus.Role
		is.NoErr(follower.runInCore(background(), func(c *core) {
			c.advanceTicks(c.lastTick.Add(10 * time.Second))
			afterPause = c.node.Status().Role
			for range 2 * electionTicks {
				c.advanceTicks(c.lastTick.Add(c.tick))
			}
			afterSilence = c.node.Status().Role
		}))
		is.Equal(afterPause, consensus.Follower)
		is.Equal(afterSilence, consensus.PreCandidate)
	})
}

// A leader that is asked to stop transfers leadership first: callers wait for
// milliseconds instead of an election timeout.
func TestGracefulStopTransfersLeadership(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		propose(is, old, "before")
		began := time.Now()
		is.NoErr(m.stops[old.config.Instance]())
		m.setCut(old.config.Instance, true)
		propose(is, m.leader(), "after")
		is.True(time.Since(began) < old.config.ElectionTimeout)
	})
}

// The answer to a command is lost and a second attempt is rejected as not run. The
// caller must receive an unknown outcome, since the first attempt may have run.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	cases := map[string]struct {
		command *controlpb.Command
		calls   int
	}{
		"not retried without a session": {drain("w"), 1},
		"retried under a session":       {&controlpb.Command{Client: "operator", Sequence: 1}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				answers := []error{
					failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "answer lost"),
					failure.New(failure.Overloaded, "full"),
				}
				calls := 0
				r := New(Config{Instance: "i1"}, failingPeers(func() error { calls++; return answers[calls-1] }))
				r.view.Store(&view{leader: "i2"})
				_, err := r.Propose(background(), c.command)
				is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
				is.Equal(calls, c.calls)
			})
		})
	}
}

type failingPeers func() error

func (f failingPeers) Call(context.Context, string, *peerpb.Call) (*peerpb.Reply, error) {
	return nil, f()
}
func (f failingPeers) Messages(context.Context, string) (control.MessageStream, error) {
	return nil, f()
}

// A replica restarts after 1,000 changes. It recovers from a snapshot and a short tail
// of the log, and all three replicas encode the same bytes.
func TestRestartAfterManyChanges(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.entries = 300
		leader := startAll(m)
		for i := range 1000 {
			propose(is, leader, fmt.Sprint("w", i%70))
		}
		m.crash("i2")
		m.start("i2")
		time.Sleep(2 * time.Second)
		want, err := encodeState(m.leader().State())
		is.NoErr(err)
		for _, voter := range voters {
			got, err := encodeState(m.replicas[voter].State())
			is.NoErr(err)
			is.Equal(string(got), string(want))
		}
		names, _ := m.disks["i2"].Names("/data/i2/snapshots")
		is.Equal(len(names), 2)
	})
}

// Hundreds of large documents are committed. If the log kept them all in memory, every replica
// would exceed its limit at about the same time, and the log would have no quorum.
func TestLargeEntriesAreNotRetained(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		const count, size = 60, 1 << 20
		for version := range uint64(count) {
			document := &controlpb.Document{Version: version + 1, Content: make([]byte, size)}
			_, err := leader.Propose(background(), &controlpb.Command{Op: &controlpb.Command_Replace{Replace: &controlpb.ReplaceDeclarations{Document: document}}})
			is.NoErr(err)
		}
		time.Sleep(2 * time.Second)
		for _, r := range m.replicas {
			status := r.Status()
			is.Equal(status.Applied, leader.Status().Applied)
			is.True((status.Last-status.First)*size <= retainedBytes+defaultSnapshotBytes)
		}
	})
}
