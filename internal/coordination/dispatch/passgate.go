package dispatch

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// maxPassInterval is the longest time between passes when nothing has changed: jobs come
// closer to their deadlines even then.
const maxPassInterval = time.Second

// passGate skips scheduling passes while nothing has changed that calls for one.
// Announcements arrive many times a second and mostly change nothing that a pass reads.
type passGate struct {
	index    uint64
	workers  []workerAttributes
	lastPass time.Time
	// due is the time of the next pass if nothing changes before.
	due time.Time
}

// workerAttributes are the attributes of a worker whose change requires a pass.
type workerAttributes struct {
	id, dataCentre, rack string
	cores, accelerators  uint32
	coresMilli           uint32
	memoryMB             uint64
	unavailable          bool
	failedAt             time.Time
	onlyFor              string
}

// admit reports whether a pass is due. If so, it records the input and the time of the
// pass, which the caller must then run.
func (g *passGate) admit(index uint64, workers []scheduling.Worker, now time.Time) bool {
	if index == g.index && now.Before(g.due) && slices.EqualFunc(workers, g.workers, unchanged) {
		return false
	}
	g.index, g.lastPass, g.due, g.workers = index, now, now.Add(maxPassInterval), g.workers[:0]
	for i := range workers {
		g.workers = append(g.workers, attributesOf(workers[i]))
	}
	return true
}

// expectBackoffEnds schedules a pass for the end of each waiting job's backoff. The end of
// a backoff changes no input, so that a single job would otherwise wait up to
// maxPassInterval longer. The same holds for urgent work, which may discard any work from a time on if
// it is guaranteed.
func (g *passGate) expectBackoffEnds(jobs []*controlpb.Job) {
	for _, job := range jobs {
		if job.State != controlpb.JobState_JOB_STATE_WAITING {
			continue
		}
		g.dueBy(time.UnixMilli(job.NotBeforeMs))
		if job.Urgent && job.Workflow != "" {
			g.dueBy(time.UnixMilli(job.SubmittedMs).Add(scheduling.UnlimitedLossAfter))
		}
	}
}

// expectStarvation schedules a pass for the time at which a job will have been starved for
// the longest permitted time.
func (g *passGate) expectStarvation(plan *scheduling.Plan) {
	if len(plan.Waiting) > 0 {
		g.dueBy(plan.QuietSince.Add(time.Millisecond))
	}
	if !plan.QuarantineDue.IsZero() {
		g.dueBy(plan.QuarantineDue)
	}
	for _, starved := range plan.Starved {
		g.dueBy(starved.Since.Add(scheduling.MaxStarvation))
	}
}

func (g *passGate) dueBy(due time.Time) {
	if due.After(g.lastPass) && due.Before(g.due) {
		g.due = due
	}
}

func unchanged(worker scheduling.Worker, last workerAttributes) bool {
	return attributesOf(worker) == last
}

func attributesOf(w scheduling.Worker) workerAttributes {
	return workerAttributes{
		id: w.ID, dataCentre: w.DataCentre, rack: w.Rack,
		cores: w.Cores, coresMilli: w.CoresMilli, accelerators: w.Accelerators, memoryMB: w.MemoryMB,
		unavailable: w.Unavailable, failedAt: w.FailedAt, onlyFor: w.OnlyFor,
	}
}
