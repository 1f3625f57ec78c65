package replay

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// neighbours simulates how tasks on one worker slow each other down, and estimates the
// pairs from the progress if the scenario keeps classes apart.
type neighbours struct {
	model   interference.Model
	pairs   map[scheduling.ClassPair]float64
	observe time.Duration
}

// pace is the progress of a run whose rate changes with the tasks beside it.
type pace struct {
	left       time.Duration
	since      time.Duration
	rate       float64
	generation int
}

// begin starts a run that would take left if nothing slowed it down.
func (p *pace) begin(now, left time.Duration) {
	p.left, p.since, p.rate = left, now, 1
	p.generation++
}

// advance accounts for the progress until now.
func (p *pace) advance(now time.Duration) {
	p.left -= time.Duration(float64(now-p.since) * p.rate)
	p.since = now
}

// slow sets the rates of all running jobs by what runs beside them, and moves their ends.
func (e *engine) slow() {
	if len(e.scenario.Slowdown) == 0 {
		return
	}
	byWorker := e.runningByWorker()
	for _, job := range e.active {
		r := e.runs[job.Id]
		if job.State != controlpb.JobState_JOB_STATE_RUNNING {
			continue
		}
		if rate := e.rate(job, byWorker); rate != r.pace.rate {
			r.pace.advance(e.now)
			r.pace.rate = rate
			r.pace.generation++
			e.push(e.now+time.Duration(float64(max(r.pace.left, 0))/rate), eventComplete, r)
		}
	}
}

func (e *engine) runningByWorker() map[string][]*controlpb.Job {
	byWorker := map[string][]*controlpb.Job{}
	for _, job := range e.active {
		for _, placement := range job.Placements {
			byWorker[placement.Worker] = append(byWorker[placement.Worker], job)
		}
	}
	return byWorker
}

// rate returns the rate of the slowest task of a job, which all its tasks wait for.
func (e *engine) rate(job *controlpb.Job, byWorker map[string][]*controlpb.Job) float64 {
	slowest := 1.0
	for _, placement := range job.Placements {
		rate := 1.0
		seen := map[string]bool{}
		for _, other := range byWorker[placement.Worker] {
			factor := e.scenario.Slowdown[scheduling.ClassPair{Victim: job.WorkClass, Aggressor: other.WorkClass}]
			if other != job && factor > 0 && !seen[other.WorkClass] {
				seen[other.WorkClass] = true
				rate /= factor
			}
		}
		slowest = min(slowest, rate)
	}
	return slowest
}

// estimate feeds the progress since the previous step into the model, as the workers
// would report it, and returns the pairs for the next pass.
func (e *engine) estimate() map[scheduling.ClassPair]float64 {
	n := &e.neighbours
	span := e.now - n.observe
	if !e.scenario.SeparateClasses || span < passInterval {
		return n.pairs
	}
	n.observe = e.now
	at := simulationStart.Add(e.now)
	byWorker := e.runningByWorker()
	for _, worker := range e.scenario.Workers {
		o := &interference.Observation{At: at, Worker: worker.ID, Span: span}
		for _, job := range byWorker[worker.ID] {
			r := e.runs[job.Id]
			o.Tasks = append(o.Tasks, interference.Task{
				Job: job.Id, Key: job.Id, Class: job.WorkClass, Share: 1, Usual: time.Duration(job.RunTimeMs) * time.Millisecond, CPUUsed: -1,
				Measured: job.State == controlpb.JobState_JOB_STATE_RUNNING && r.pace.since <= e.now-span,
				Progress: span.Seconds() * r.pace.rate / r.RunTime.Seconds(),
			})
		}
		if len(o.Tasks) > 0 {
			n.model.Observe(o)
		}
	}
	n.pairs = map[scheduling.ClassPair]float64{}
	for _, pair := range n.model.Pairs(at) {
		if pair.Interferes {
			n.pairs[scheduling.ClassPair{Victim: pair.Victim, Aggressor: pair.Aggressor}] = pair.Slowdown
		}
	}
	return n.pairs
}
