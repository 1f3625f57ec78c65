package dispatch

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/standing"
	"pinewinch.example/pinewinch/internal/state/store"
)

// What stands now, on the leader: jobs with nothing running and room beside, the longest
// such stand, and the milliseconds of all of them so far.
var (
	standingJobs    = expvar.NewInt("dispatch_standing_jobs")
	standingLongest = expvar.NewInt("dispatch_standing_longest_ms")
	standingTotal   = expvar.NewInt("dispatch_standing_total_ms")
)

func tellStanding(summary standing.Summary) {
	standingJobs.Set(int64(summary.Jobs))
	standingLongest.Set(summary.Longest.Milliseconds())
	standingTotal.Add(summary.Total.Milliseconds())
}

// logWaits writes a line for each job that has waited for long, or for a new cause, and a
// warning for each that has stood for long beside room.
func (d *Dispatcher) logWaits(state *store.State, told, warned []standing.Wait) {
	if d.config.Logger == nil {
		return
	}
	for i := range told {
		d.config.Logger.WithFields(waitFields(state, &told[i])).Info("job waits")
	}
	for i := range warned {
		d.config.Logger.WithFields(waitFields(state, &warned[i])).Warn("job stands beside free room")
	}
}

func waitFields(state *store.State, wait *standing.Wait) logrus.Fields {
	fields := logrus.Fields{
		"job": wait.Job.Id, "epoch": wait.Job.Epoch, "queue": wait.Job.WorkClass, "customer": wait.Job.Customer,
		"code": wait.Cause.Code, "near": wait.Cause.Near, "others": wait.Others,
		"tasks": wait.Job.Tasks, "able_ms": wait.Waited.Milliseconds(), "index": state.Index(),
	}
	if wait.Cause.Stands {
		fields["stood_ms"] = wait.Stood.Milliseconds()
		fields["free_accelerators"], fields["accelerators"] = wait.Free.Accelerators, wait.All.Accelerators
		fields["free_cores_milli"], fields["cores_milli"] = wait.Free.CoresMilli, wait.All.CoresMilli
		fields["free_memory_mb"], fields["memory_mb"] = wait.Free.MemoryMB, wait.All.MemoryMB
	}
	return fields
}
