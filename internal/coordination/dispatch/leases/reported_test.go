package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Guards against a task whose end "done" is never recorded, and a stop that never ends, when the announcements of a worker
// that still answers have expired.
func TestReportedEndOfUnannouncedWorkerIsSeen(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.silent = true })
		c.end(Done)
		time.Sleep(2 * pollWait)
		is.True(!expired(m, "i-1"))
		is.Equal(phaseIn(m.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)), peerpb.TaskPhase_TASK_PHASE_COMPLETED)
	})
}

// phaseIn returns the phase of the only task in the workers' reports.
func phaseIn(workers []*peerpb.Upstream) peerpb.TaskPhase {
	for _, worker := range workers {
		for _, task := range worker.Tasks {
			return task.Phase
		}
	}
	return peerpb.TaskPhase_TASK_PHASE_UNSPECIFIED
}
