package leases

import (
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"

	"github.com/matryer/is"
)

// Guards against two concurrent runs of a task: a firewall that refuses connections
// must not be taken for a crash of the worker.
func TestRefusedConnectionsAreNotTakenForCrash(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.refusesConnections = true })
		for !expired(m, "i-1") {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(c.clock() > c.lease)
	})
}

// Guards against stopping a gang needlessly because of a partition that is shorter than
// its lease.
func TestRunsSurvivePartitionShorterThanLease(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.partitioned = true })
		for partitionedAt := time.Now(); time.Since(partitionedAt) < 3500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			views := m.Live(worker.Kind)
			is.Equal(len(views), 1)
			is.Equal(len(views[0].Tasks), 1)
			is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_RUNNING)
		}
		is.True(m.Live(worker.Kind)[0].Leaving)
		c.set(func() { c.partitioned = false })
		time.Sleep(2 * (pollWait + pollMargin))
		is.True(!m.Live(worker.Kind)[0].Leaving)
		time.Sleep(lease)
		is.True(!expired(m, "i-1"))
		c.set(func() { is.True(c.lease > c.clock()) })
	})
}

// Guards against commands that are queued behind stops to workers which have been
// unresponsive for a long time.
func TestStopOfUnresponsiveWorkerFailsImmediately(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.partitioned = true })
		time.Sleep(pollWait + pollMargin + unresponsiveAfter)
		start := time.Now()
		_, err = sendCommand(m, api.PathTaskStop)
		is.True(err != nil)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// Guards against work that is done again although its end is known: a worker that answers again is polled
// before its next announcement arrives.
func TestEndsOfAWorkerThatAnswersBeforeItAnnouncesItselfAreSeen(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.partitioned, c.silent = true, true })
		time.Sleep(4 * time.Second)
		c.end(Done)
		c.set(func() { c.partitioned = false })
		time.Sleep(time.Second)
		views := m.Live(worker.Kind)
		is.Equal(len(views), 1)
		is.True(views[0].Leaving)
		is.Equal(len(views[0].Tasks), 1)
		is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_COMPLETED)
	})
}
