package replay

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Result is what one policy made of one scenario.
type Result struct {
	Scenario string
	Policy   string
	// Completed counts jobs; Refused those that no worker has room for.
	Completed, Refused, Unfinished int
	// Completions are the times from submission to end, sorted.
	Completions []time.Duration
	Mean, P99   time.Duration
	// LargeP99 is that of gangs of 16 accelerators and more.
	LargeP99 time.Duration
	// DeadlinesMet is a share of the jobs that had one.
	DeadlinesMet float64
	// Fragmentation is the mean share of all accelerators that are free but of
	// no use to a gang shape of the workload (Weng et al., USENIX ATC 2023).
	Fragmentation float64
	// Idle is the mean share of accelerators free while work waits for some.
	Idle float64
	// Lost is the share of used accelerator time that was thrown away.
	Lost          float64
	WorstTakeBack time.Duration
	// Broken counts jobs within their customer's guarantee that did not start
	// within the take-back bound.
	Broken      int
	Breaches    int
	Preemptions int
	MedianPass  time.Duration
}

// takeBackBound is a checkpoint, a stop and two passes.
const takeBackBound = stopTime + checkpointTime + 2*passEvery

type meter struct {
	capacity float64
	shapes   []weightedShape
	// window sums over time while work arrives.
	fragmentation, idle, seconds float64
	used, lost                   float64
	worstTakeBack                time.Duration
	refused, breaches, preempted int
	passes                       []time.Duration
}

type weightedShape struct {
	shape  scheduling.Shape
	weight float64
}

// start weighs the gang shapes of the workload by the accelerators they ask.
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

// advance adds up the time since the event before.
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

// usable is the accelerators that gangs of one shape could use of what is free,
// as many whole gangs as fit.
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

func (m *meter) lose(r *run, ran time.Duration) {
	m.lost += ran.Seconds() * float64(r.job.Tasks*r.job.Accelerators)
}

func (m *meter) takeBack(took time.Duration) { m.worstTakeBack = max(m.worstTakeBack, took) }

func (e *engine) result() *Result {
	m := &e.meter
	r := &Result{
		Scenario: e.scenario.Name, Policy: e.policy.Name, Refused: m.refused, Breaches: m.breaches,
		Preemptions: m.preempted, WorstTakeBack: m.worstTakeBack,
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
		took := run.ended - run.At
		r.Completions = append(r.Completions, took)
		if run.job.Tasks*run.job.Accelerators >= 16 {
			large = append(large, took)
		}
		if run.job.DeadlineMs > 0 {
			deadlines++
			if run.ended.Milliseconds() <= run.job.DeadlineMs {
				met++
			}
		}
		if run.due && run.first-run.At > takeBackBound {
			r.Broken++
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
