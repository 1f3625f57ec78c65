package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Guards against running a completed task again because its worker departed right after
// the end.
func TestEndBeforeDepartureIsReported(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		c.end(Done)
		time.Sleep(2 * pollWait)
		c.set(func() { c.departed = true })
		time.Sleep(4 * refreshInterval)
		views := m.Live(worker.Kind)
		is.Equal(len(views), 1)
		is.True(views[0].Leaving)
		is.Equal(len(views[0].Tasks), 1)
		is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_COMPLETED)
		answer, err := sendCommand(m, api.PathTaskStop)
		is.NoErr(err)
		is.Equal(answer.Phase, api.PhaseCompleted)
	})
}

// The same for a worker that becomes unresponsive after it has reported the end: its
// lease expires, and the task must not be started elsewhere.
func TestEndBeforeUnresponsivenessIsReported(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		c.end(Done)
		time.Sleep(2 * pollWait)
		c.set(func() { c.partitioned = true })
		for !expired(m, "i-1") {
			time.Sleep(100 * time.Millisecond)
		}
		views := m.Live(worker.Kind)
		is.Equal(len(views), 1)
		is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_COMPLETED)
	})
}

// A task is started elsewhere while a worker without the confirmation of its deregistration runs it on.
func TestDepartedWorkerMayRunUntilItsLeaseIsOver(t *testing.T) {
	for name, ended := range map[string]bool{"it runs on": false, "it has ended": true} {
		t.Run(name, func(t *testing.T) {
			withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
				_, err := sendCommand(m, api.PathTaskStart)
				is.NoErr(err)
				time.Sleep(2 * pollWait)
				departedAt := time.Now()
				c.set(func() { c.departed, c.refusesConnections = true, ended })
				for !expired(m, "i-1") {
					c.set(func() {
						if !ended && c.lease < c.clock() {
							delete(c.running, "w.0.0.0") // the worker ends it, by its own clock
						}
					})
					time.Sleep(refreshInterval)
				}
				c.set(func() { is.True(ended || len(c.running) == 0) }) // no run is active that may be started elsewhere
				is.True(time.Since(departedAt) <= LeaseUpperBound(lease)+2*refreshInterval)
				is.Equal(len(m.Live(worker.Kind)), 0)
				if answer, err := sendCommand(m, api.PathTaskStop); !ended {
					is.NoErr(err)
					is.Equal(answer.Phase, "") // no end of the run was reported
				}
				polls := 0
				time.Sleep(pollWait + pollMargin) // the poll in flight
				c.set(func() { polls = c.polls })
				time.Sleep(10 * pollWait)
				c.set(func() { is.Equal(c.polls, polls) }) // nothing more is asked of it
			})
		})
	}
}

// A task runs twice after another server's 421 at an address that was only announced under its worker's id.
func TestAnswerOfAnotherAddressProvesNoEnd(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(2 * pollWait)
		c.set(func() { c.announcedAt = "elsewhere" })
		time.Sleep(pollWait + pollMargin)
		is.True(!expired(m, "i-1"))
		c.set(func() { c.announcedAt, c.replaced = "", true })
		time.Sleep(pollWait + pollMargin + lostPollDelay)
		is.True(expired(m, "i-1")) // another boot at its own address proves it
	})
}

// A task waits the whole lease of a worker that left, or a lost poll ends the task.
func TestLeaseOfLeavingWorkerIsShort(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.leaving = true })
		time.Sleep(LeaseUpperBound(lease)) // that of the commands before
		c.set(func() { c.partitioned = true })
		time.Sleep(leavingPollWait)
		c.set(func() { c.partitioned = false })
		time.Sleep(leavingPollWait + pollMargin + pollRetryDelay)
		c.set(func() { is.True(c.lease > c.clock()) }) // one poll was lost
		time.Sleep(leavingPollWait + pollRetryDelay)
		departedAt := time.Now()
		c.set(func() { c.departed, c.refusesConnections = true, true })
		for !expired(m, "i-1") {
			time.Sleep(refreshInterval)
		}
		is.True(time.Since(departedAt) <= LeaseUpperBound(leavingLease)+2*refreshInterval)
	})
}
