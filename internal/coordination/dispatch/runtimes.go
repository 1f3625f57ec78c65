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
	// open has the jobs that had not ended at the last update, with the work that each does
	// in a second of its run (see scheduling.RunFactor); nil before the first update.
	open map[string]float64
}

func newRunTimes() *runTimes { return &runTimes{estimates: scheduling.NewRunTimes()} }

// update observes the jobs that have completed since the last update. factorOf returns the
// work that a job with workers does in a second of its run; nil counts a second as a second.
// A job that has ended names no workers, so the factor is that of the last update.
func (r *runTimes) update(state *store.State, factorOf func(*controlpb.Job) float64) *scheduling.RunTimes {
	if r.open == nil {
		for _, job := range state.Jobs() {
			r.observe(job, 1)
		}
	}
	active := state.ActiveJobs()
	open := make(map[string]float64, len(active))
	for _, job := range active {
		open[job.Id] = 1
		if factorOf != nil && len(job.Placements) > 0 {
			open[job.Id] = factorOf(job)
		}
	}
	for id, factor := range r.open {
		if _, active := open[id]; active {
			continue
		}
		if job, ok := state.Job(id); ok {
			r.observe(job, factor)
		}
	}
	r.open = open
	return r.estimates
}

func (r *runTimes) observe(job *controlpb.Job, factor float64) {
	if job.State != controlpb.JobState_JOB_STATE_COMPLETED || job.StartedMs == 0 {
		return
	}
	ran := int64(factor*float64(job.EndedMs-job.StartedMs)) + job.CheckpointedMs
	r.estimates.Observe(job.WorkClass, milliseconds(job.RunTimeMs), milliseconds(ran))
}

// runFactors returns the factorOf of update, with the racks and speeds of the workers that a
// pass sees; nil unless ends are estimated.
func (c *Controller) runFactors(features scheduling.Features, workers []scheduling.Worker) func(*controlpb.Job) float64 {
	if !features.ExpectedEnd {
		return nil
	}
	byID := make(map[string]*scheduling.Worker, len(workers))
	for i := range workers {
		byID[workers[i].ID] = &workers[i]
	}
	workerOf := func(id string) *scheduling.Worker { return byID[id] }
	return func(job *controlpb.Job) float64 { return scheduling.RunFactor(job, workerOf) }
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
