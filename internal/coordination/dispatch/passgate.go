package dispatch

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// passAnyway is how often a pass is made without news: time alone moves deadlines near.
const passAnyway = time.Second

// passGate tells when a scheduling pass can find anything new. Announcements come
// many times a second and mostly change nothing that a pass looks at.
type passGate struct {
	index   uint64
	workers []workerFacts
	made    time.Time
	// due is when time alone calls for the next pass.
	due time.Time
}

// workerFacts is what scheduling reads of a worker.
type workerFacts struct {
	id, dataCentre, rack string
	cores, accelerators  uint32
	coresMilli           uint32
	memoryMB             uint64
	unavailable          bool
}

// open tells whether a pass is due, and takes note that it is made now.
func (g *passGate) open(index uint64, workers []scheduling.Worker, now time.Time) bool {
	if index == g.index && now.Before(g.due) && slices.EqualFunc(workers, g.workers, unchanged) {
		return false
	}
	g.index, g.made, g.due, g.workers = index, now, now.Add(passAnyway), g.workers[:0]
	for i := range workers {
		g.workers = append(g.workers, factsOf(workers[i]))
	}
	return true
}

// expect takes note of the pauses that jobs wait out: the end of one is no news, and a
// lone job would wait for the next pass, a second later at most.
func (g *passGate) expect(jobs []*controlpb.Job) {
	for _, job := range jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			g.expectAt(time.UnixMilli(job.NotBeforeMs))
		}
	}
}

// expectStanding takes note of when work will have stood for as long as it may.
func (g *passGate) expectStanding(plan *scheduling.Plan) {
	if len(plan.Waiting) > 0 {
		g.expectAt(plan.QuietSince.Add(time.Millisecond))
	}
	for _, stands := range plan.Standing {
		g.expectAt(stands.Since.Add(scheduling.MostStand))
	}
}

func (g *passGate) expectAt(due time.Time) {
	if due.After(g.made) && due.Before(g.due) {
		g.due = due
	}
}

func unchanged(worker scheduling.Worker, facts workerFacts) bool { return factsOf(worker) == facts }

func factsOf(w scheduling.Worker) workerFacts {
	return workerFacts{
		id: w.ID, dataCentre: w.DataCentre, rack: w.Rack,
		cores: w.Cores, coresMilli: w.CoresMilli, accelerators: w.Accelerators, memoryMB: w.MemoryMB,
		unavailable: w.Unavailable,
	}
}
