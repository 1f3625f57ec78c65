package dispatch

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/starvation"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Starvation metrics of the leader: the number of jobs that have nothing running although
// free capacity would hold them, the longest current starvation in ms, and the accumulated
// starvation of all jobs in ms.
var (
	starvedJobs       = expvar.NewInt("dispatch_standing_jobs")
	longestStarvation = expvar.NewInt("dispatch_standing_longest_ms")
	totalStarvation   = expvar.NewInt("dispatch_standing_total_ms")
)

func publishStarvation(summary starvation.Summary) {
	starvedJobs.Set(int64(summary.Jobs))
	longestStarvation.Set(summary.Longest.Milliseconds())
	totalStarvation.Add(summary.Total.Milliseconds())
}

// logWaits logs each job that has waited for long or for a new cause, and warns of each
// that has been starved for long.
func (d *Dispatcher) logWaits(state *store.State, snapshot *scheduling.Snapshot, toLog, toWarn []starvation.Wait) {
	if d.config.Logger == nil {
		return
	}
	for i := range toLog {
		entry := d.config.Logger.WithFields(waitFields(state, &toLog[i]))
		if job := toLog[i].Job; job.Urgent && job.Workflow != "" {
			entry = entry.WithFields(urgentWaitFields(scheduling.DescribeUrgentWait(snapshot, job)))
		}
		entry.Info("job waits")
	}
	for i := range toWarn {
		d.config.Logger.WithFields(waitFields(state, &toWarn[i])).Warn("job stands beside free room")
	}
}

func waitFields(state *store.State, wait *starvation.Wait) logrus.Fields {
	fields := logrus.Fields{
		"job": wait.Job.Id, "epoch": wait.Job.Epoch, "queue": wait.Job.WorkClass, "customer": wait.Job.Customer,
		"code": wait.Cause.Code, "near": wait.Cause.Locality, "others": wait.Others,
		"tasks": wait.Job.Tasks, "able_ms": wait.Waited.Milliseconds(), "index": state.Index(),
	}
	if wait.Cause.Starved {
		fields["stood_ms"] = wait.StarvedFor.Milliseconds()
		fields["free_accelerators"], fields["accelerators"] = wait.Free.Accelerators, wait.Total.Accelerators
		fields["free_cores_milli"], fields["cores_milli"] = wait.Free.CoresMilli, wait.Total.CoresMilli
		fields["free_memory_mb"], fields["memory_mb"] = wait.Free.MemoryMB, wait.Total.MemoryMB
	}
	return fields
}

func urgentWaitFields(wait scheduling.UrgentWait) logrus.Fields {
	return logrus.Fields{
		"demand": wait.Demand, "disturbed": wait.Disturbed, "guaranteed": wait.Guaranteed, "covered": wait.Covered, "workers": wait.Workers,
		"unavailable": wait.Unavailable, "kept_for_others": wait.KeptForOthers, "held_by_urgent": wait.HeldByUrgent,
	}
}
