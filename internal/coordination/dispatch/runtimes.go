package dispatch

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// runTimes feeds scheduling with the run times of jobs that completed. A new
// leader learns them again from the ended jobs that the state still keeps.
type runTimes struct {
	learned *scheduling.RunTimes
	// open are the jobs that had not ended when last looked at; nil before.
	open map[string]bool
}

func newRunTimes() *runTimes { return &runTimes{learned: scheduling.NewRunTimes()} }

// upTo takes in the jobs that have completed up to the state.
func (r *runTimes) upTo(state *store.State) *scheduling.RunTimes {
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
	return r.learned
}

func (r *runTimes) observe(job *controlpb.Job) {
	if job.State != controlpb.JobState_JOB_STATE_COMPLETED || job.StartedMs == 0 {
		return
	}
	ran := job.EndedMs - job.StartedMs + job.CheckpointedMs
	r.learned.Observe(job.WorkClass, milliseconds(job.RunTimeMs), milliseconds(ran))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
