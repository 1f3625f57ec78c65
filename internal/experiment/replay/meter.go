package replay

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Result is the outcome of one policy on one scenario.
type Result struct {
	Scenario string
	Policy   string
	// Completed counts jobs that ended, Refused those that cannot fit on the workers,
	// Unfinished those that did neither.
	Completed, Refused, Unfinished int
	// Completions are the times from submission to end, sorted.
	Completions []time.Duration
	Mean, P99   time.Duration
	// LargeP99 is the P99 of gangs of 16 accelerators and more.
	LargeP99 time.Duration
	// DeadlinesMet is the share of the completed jobs with a deadline that met it.
	DeadlinesMet float64
	// Fragmentation is the mean share of all accelerators that are free but of
	// no use to a gang shape of the workload (Weng et al., USENIX ATC 2023).
	Fragmentation float64
	// Idle is the mean share of accelerators free while work waits for some.
	Idle float64
	// Lost is the share of used accelerator time that was wasted.
	Lost float64
	// LongestPreemptionWait is the longest time that a job waited for preempted gangs to
	// stop before it started.
	LongestPreemptionWait time.Duration
	// BrokenGuarantees counts jobs within their customer's guarantee that did not start
	// within guaranteedStartLimit.
	BrokenGuarantees int
	Breaches         int
	Preemptions      int
	MedianPass       time.Duration
}

// guaranteedStartLimit is the longest time in which a job within its guarantee may start:
// a checkpoint, a stop and two passes.
const guaranteedStartLimit = stopTime + checkpointTime + 2*passInterval

type meter struct {
	capacity float64
	shapes   []weightedShape
	// fragmentation and idle are integrals of shares over the seconds of the arrival
	// window; used and lost are in accelerator seconds.
	fragmentation, idle, seconds float64
	used, lost                   float64
	longestPreemptionWait        time.Duration
	refused, breaches, preempted int
	passes                       []time.Duration
}

type weightedShape struct {
	shape  scheduling.Shape
	weight float64
}

// start weights the gang shapes of the workload by the accelerators that they request.
func (m *meter) start(s *Scenario) {
	weights := map[scheduling.Shape]float64{}
	var sum float64
	for _, arrival := range s.Arrivals {
		shape := scheduling.JobShape(arrival.Job)
		if shape.Accelerators == 0 || shape.Tasks >= impossibleTasks {
			continue
		}
		shape.Cores, shape.MemoryMB = 0, 0
		weights[shape] += float64(shape.Tasks * shape.Accelerators)
		sum += float64(shape.Tasks * shape.Accelerators)
	}
	for shape, weight := range weights {
		m.shapes = append(m.shapes, weightedShape{shape, weight / sum})
	}
	slices.SortFunc(m.shapes, func(a, b weightedShape) int {
		return int(a.shape.Tasks*a.shape.Accelerators) - int(b.shape.Tasks*b.shape.Accelerators)
	})
	for _, worker := range s.Workers {
		m.capacity += float64(worker.Accelerators)
	}
}

// advance accounts for the time since the previous step.
func (m *meter) advance(e *engine, passed time.Duration) {
	seconds := passed.Seconds()
	held := map[string]uint32{}
	var heldSum float64
	waiting := false
	for _, job := range e.active {
		for _, placement := range job.Placements {
			held[placement.Worker] += uint32(len(placement.Accelerators))
			heldSum += float64(len(placement.Accelerators))
		}
		waiting = waiting || (job.State == controlpb.JobState_JOB_STATE_WAITING && job.Accelerators > 0)
	}
	m.used += heldSum * seconds
	if e.now >= e.scenario.Window {
		return
	}
	m.seconds += seconds
	if waiting {
		m.idle += seconds * (m.capacity - heldSum) / m.capacity
	}
	free := freeByWorker(e.scenario.Workers, held)
	for _, w := range m.shapes {
		m.fragmentation += seconds * w.weight * (m.capacity - heldSum - usable(w.shape, free)) / m.capacity
	}
}

func freeByWorker(workers []scheduling.Worker, held map[string]uint32) []scheduling.Worker {
	free := slices.Clone(workers)
	for i := range free {
		free[i].Accelerators -= min(held[free[i].ID], free[i].Accelerators)
	}
	return free
}

// usable is the number of free accelerators that gangs of one shape could use, counting
// whole gangs only.
func usable(shape scheduling.Shape, free []scheduling.Worker) float64 {
	type domain struct{ dataCentre, rack, worker string }
	tasks := map[domain]uint32{}
	for _, worker := range free {
		var key domain
		switch shape.Adjacency {
		case onWorker:
			key = domain{worker: worker.ID}
		case inRack:
			key = domain{worker.DataCentre, worker.Rack, ""}
		case inDataCentre:
			key = domain{dataCentre: worker.DataCentre}
		}
		tasks[key] += worker.Accelerators / shape.Accelerators
	}
	var sum uint32
	for _, count := range tasks {
		sum += count / shape.Tasks * shape.Tasks * shape.Accelerators
	}
	return float64(sum)
}

func (m *meter) addLost(r *run, wasted time.Duration) {
	m.lost += wasted.Seconds() * float64(r.job.Tasks*r.job.Accelerators)
}

func (m *meter) recordPreemptionWait(took time.Duration) {
	m.longestPreemptionWait = max(m.longestPreemptionWait, took)
}

func (e *engine) result() *Result {
	m := &e.meter
	r := &Result{
		Scenario: e.scenario.Name, Policy: e.policy.Name, Refused: m.refused, Breaches: m.breaches,
		Preemptions: m.preempted, LongestPreemptionWait: m.longestPreemptionWait,
		Fragmentation: m.fragmentation / m.seconds, Idle: m.idle / m.seconds, Lost: m.lost / m.used,
		MedianPass: quantile(slices.Sorted(slices.Values(m.passes)), 0.5),
	}
	var large []time.Duration
	var deadlines, met int
	for _, run := range e.runs {
		if run.CancelAt > 0 || run.Job.Tasks >= impossibleTasks {
			continue
		}
		if !run.complete {
			r.Unfinished++
			continue
		}
		completion := run.ended - run.At
		r.Completions = append(r.Completions, completion)
		if run.job.Tasks*run.job.Accelerators >= 16 {
			large = append(large, completion)
		}
		if run.job.DeadlineMs > 0 {
			deadlines++
			if run.ended.Milliseconds() <= run.job.DeadlineMs {
				met++
			}
		}
		if run.withinGuarantee && run.firstStart-run.At > guaranteedStartLimit {
			r.BrokenGuarantees++
		}
	}
	slices.Sort(r.Completions)
	slices.Sort(large)
	r.Completed = len(r.Completions)
	r.Mean, r.P99, r.LargeP99 = mean(r.Completions), quantile(r.Completions, 0.99), quantile(large, 0.99)
	r.DeadlinesMet = float64(met) / float64(max(deadlines, 1))
	return r
}

func mean(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(max(len(times), 1))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
