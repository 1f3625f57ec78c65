package overload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Day is the workload and the faults of one day, drawn from a deployment.
type Day struct {
	*Deployment
	workers []scheduling.Worker
	// speeds and rackOf are keyed by worker id.
	speeds    map[string]float64
	rackOf    map[string]string
	customers map[string]*controlpb.Customer
	workflows []*workflow
	// leaderless is the period in which no instance is the leader.
	leaderless window
	// lost are the workers that are lost, one every lossInterval from lostAt on.
	lost   []string
	lostAt time.Duration
	// slow has the periods in which workers are SlowFactor times slower.
	slow map[string]window
}

type window struct{ from, to time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

// workflow is one workflow of the day, including what its declaration does not contain:
// its true run times, its failures and its cancellation.
type workflow struct {
	queue    *Queue
	id       string
	customer string
	at       time.Duration
	// cancelAt is when its user cancels it; 0 for never.
	cancelAt time.Duration
	// due is the time of its objective, computed from the true run times.
	due time.Duration
	// work is the total work in accelerator seconds.
	work  float64
	steps []*step
	open  int
	ended time.Duration
	done  bool
}

// step is one unit if its tasks form a gang, and one unit per task otherwise.
type step struct {
	units []*unit
	left  int
}

// Day generates the day of a seed.
func (d *Deployment) Day(seed uint64) *Day {
	g := &generator{Day: &Day{Deployment: d, speeds: map[string]float64{}, rackOf: map[string]string{}, customers: map[string]*controlpb.Customer{}}, random: rand.New(rand.NewPCG(seed, 1)), extra: rand.New(rand.NewPCG(seed, 2))}
	g.makeWorkers()
	for i := range d.Customers {
		name := customerName(i)
		g.customers[name] = &controlpb.Customer{Name: name, Weight: 1, GuaranteedAccelerators: d.Guaranteed}
	}
	g.drawFaults()
	for i := range d.Queues {
		g.makeWorkflows(&d.Queues[i])
	}
	slices.SortStableFunc(g.workflows, func(a, b *workflow) int { return cmp.Compare(a.at, b.at) })
	g.drawSlowWorkers()
	return g.Day
}

type generator struct {
	*Day
	random *rand.Rand
	// extra draws what was added to the descriptions later, so that it changes nothing
	// else of a day.
	extra *rand.Rand
}

func (g *generator) drawSlowWorkers() {
	count := int(g.SlowShare * float64(g.Deployment.Workers))
	if g.SlowFactor <= 1 || count == 0 {
		return
	}
	g.slow = map[string]window{}
	for _, i := range g.extra.Perm(g.Deployment.Workers)[:count] {
		from := time.Duration(g.extra.Float64() * float64(g.Length))
		g.slow[g.workers[i].ID] = window{from, from + g.SlowFor}
	}
}

func customerName(i int) string { return fmt.Sprintf("c%02d", i) }

func (g *generator) makeWorkers() {
	racks := g.racks()
	for i := range g.Deployment.Workers {
		rack := i / g.WorkersPerRack
		worker := scheduling.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: rackName(rack), DataCentre: fmt.Sprintf("d%02d", rack*g.DataCentres/racks),
			Cores: g.Cores, MemoryMB: g.MemoryMB, Accelerators: g.Accelerators,
		}
		g.workers = append(g.workers, worker)
		g.rackOf[worker.ID] = worker.Rack
		g.speeds[worker.ID] = g.Speeds[g.random.IntN(len(g.Speeds))]
	}
}

func (d *Deployment) racks() int { return (d.Workers + d.WorkersPerRack - 1) / d.WorkersPerRack }

func rackName(i int) string { return fmt.Sprintf("r%03d", i) }

// faultsUntil is the share of the day in which faults begin, so that their effects fall
// within the day.
const faultsUntil = 0.6

func (g *generator) faultTime() time.Duration {
	return time.Duration(g.random.Float64() * faultsUntil * float64(g.Length))
}

func (g *generator) drawFaults() {
	from := g.faultTime()
	g.leaderless = window{from, from + g.LeaderAbsent}
	g.lostAt = g.faultTime()
	count := int(g.WorkersLostShare * float64(g.Deployment.Workers))
	for _, i := range g.random.Perm(g.Deployment.Workers)[:count] {
		g.lost = append(g.lost, g.workers[i].ID)
	}
}

func (g *generator) makeWorkflows(q *Queue) {
	burstAt := g.faultTime()
	burst := window{burstAt, burstAt + q.BurstLength}
	rate := q.Share * g.Arrivals
	peakRate := rate * max(q.Burst, 1)
	for at := g.interarrival(peakRate); at < g.Length; at += g.interarrival(peakRate) {
		now := rate
		if burst.contains(at) {
			now = peakRate
		}
		if g.random.Float64() < now/peakRate {
			g.workflows = append(g.workflows, g.workflow(q, at))
		}
	}
}

func (g *generator) interarrival(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws a value with the given mean and standard deviation of the logarithm.
func (g *generator) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*g.random.NormFloat64()-spread*spread/2)
}

func (g *generator) workflow(q *Queue, at time.Duration) *workflow {
	w := &workflow{
		queue: q, at: at,
		id:       fmt.Sprintf("%s-%05d", q.Name, len(g.workflows)),
		customer: customerName(int(float64(g.Customers) * math.Pow(g.random.Float64(), 2))),
	}
	steps := 1
	if g.random.Float64() < q.SecondStepShare {
		steps = 2
	}
	checkpointable := g.random.Float64() < q.CheckpointShare
	var trueRunTime, declared time.Duration
	for number := range steps {
		s := g.step(w, uint32(number), checkpointable)
		w.steps = append(w.steps, s)
		trueRunTime += s.units[0].run
		declared += time.Duration(s.units[0].job.RunTimeMs) * time.Millisecond
	}
	w.due = at + time.Duration(q.SlackFactor*float64(trueRunTime)) + q.Target
	objective := at + time.Duration(q.SlackFactor*float64(declared)) + q.Target
	for _, s := range w.steps {
		for _, u := range s.units {
			u.job.DeadlineMs = objective.Milliseconds()
		}
	}
	if g.random.Float64() < q.CancelledShare {
		w.cancelAt = at + time.Duration(g.random.Float64()*float64(trueRunTime)) + time.Millisecond
	}
	return w
}

// maxTasksInRack is how many tasks fit on an empty rack: only gangs that fit on one rack
// are generated as tightly coupled.
func (g *generator) maxTasksInRack(q *Queue, accelerators uint32) int {
	const milliPerCore = 1000
	perWorker := min(g.Cores*milliPerCore/q.CoresMilli, g.Deployment.Accelerators/accelerators, uint32(g.Deployment.MemoryMB/q.MemoryMB))
	return int(perWorker) * g.WorkersPerRack
}

func (g *generator) step(w *workflow, number uint32, checkpointable bool) *step {
	q := w.queue
	tasks := min(max(int(math.Round(g.lognormal(q.TasksMean, q.TasksSpread))), 1), q.TasksMax)
	run := min(time.Duration(g.lognormal(float64(q.RunTime), q.RunTimeSpread)), q.RunTimeMax)
	run = max(run, 200*time.Millisecond)
	accelerators := uint32(q.Accelerators[g.random.IntN(len(q.Accelerators))])
	w.work += float64(tasks) * run.Seconds() * float64(accelerators)
	job := &controlpb.Job{
		Customer: w.customer, WorkClass: q.Name, Workflow: w.id, Step: number,
		Accelerators: accelerators, CoresMilli: q.CoresMilli, MemoryMb: q.MemoryMB,
		RunTimeMs: time.Duration(float64(run) * math.Exp(q.EstimateSpread*g.random.NormFloat64())).Milliseconds(),
		Priority:  q.Priority, Urgent: q.Priority == 0, Idempotent: true, Checkpointable: checkpointable,
		State: controlpb.JobState_JOB_STATE_WAITING, MaxAttempts: q.MaxAttempts,
	}
	if q.EstimateFactor > 1 {
		job.RunTimeMs = int64(float64(job.RunTimeMs) * math.Pow(q.EstimateFactor, 2*g.extra.Float64()-1))
	}
	if g.random.Float64() < q.DataRack {
		job.DataRack = rackName(g.random.IntN(g.racks()))
	}
	tight := g.random.Float64() < q.TightShare
	job.TightlyCoupled = tight && q.Gang && tasks > 1 && tasks <= g.maxTasksInRack(q, accelerators)
	s := &step{}
	if q.Gang {
		// A gang ends with its slowest member.
		run = time.Duration(float64(run) * (1 + q.Uneven*g.random.Float64()))
		s.units = []*unit{g.unit(w, s, job, tasks, run, 0)}
	} else {
		for i := range tasks {
			own := time.Duration(float64(run) * math.Exp(q.Uneven*g.random.NormFloat64()))
			s.units = append(s.units, g.unit(w, s, job, 1, own, i))
		}
	}
	s.left = len(s.units)
	return s
}
