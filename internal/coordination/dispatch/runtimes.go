package dispatch

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// runTimes estimates run times for scheduling from completed jobs. A new leader rebuilds
// the estimates from the ended jobs that the state still keeps.
type runTimes struct {
	estimates *scheduling.RunTimes
	// open has the jobs that had not ended at the last update; nil before the first.
	open map[string]bool
}

func newRunTimes() *runTimes { return &runTimes{estimates: scheduling.NewRunTimes()} }

// update observes the jobs that have completed since the last update.
func (r *runTimes) update(state *store.State) *scheduling.RunTimes {
	if r.open == nil {
		for _, job := range state.Jobs() {
			r.observe(job)
		}
	}
	active := state.ActiveJobs()
	open := make(map[string]bool, len(active))
	for _, job := range active {
		open[job.Id] = true
	}
	for id := range r.open {
		if job, ok := state.Job(id); ok && !open[id] {
			r.observe(job)
		}
	}
	r.open = open
	return r.estimates
}

func (r *runTimes) observe(job *controlpb.Job) {
	if job.State != controlpb.JobState_JOB_STATE_COMPLETED || job.StartedMs == 0 {
		return
	}
	ran := job.EndedMs - job.StartedMs + job.CheckpointedMs
	r.estimates.Observe(job.WorkClass, milliseconds(job.RunTimeMs), milliseconds(ran))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
