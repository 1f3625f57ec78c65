// Package replay compares the scheduling pass with two baselines on seeded workloads in
// simulated time. It is an event loop around the pass, which has no side effects, and
// simulates no network, worker process or log.
package replay

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

// Scenario is a deployment with the jobs that arrive at it.
type Scenario struct {
	Name      string
	Workers   []scheduling.Worker
	Customers map[string]*controlpb.Customer
	Arrivals  []Arrival
	// BadWorker fails every task that starts on it.
	BadWorker string
	// Window is the period in which jobs arrive.
	Window time.Duration
	// FragmentationWeight is the weight in the scheduling rules, 0 to 100.
	FragmentationWeight uint32
	// Slowdown has the factors by which the first class of a pair runs longer beside the
	// second; empty if no classes interfere.
	Slowdown map[scheduling.ClassPair]float64
	// SeparateClasses estimates interference and keeps such classes apart.
	SeparateClasses bool
}

// Arrival is one job, including what its declaration does not contain.
type Arrival struct {
	At  time.Duration
	Job *controlpb.Job
	// RunTime is the true run time.
	RunTime time.Duration
	// MemoryMB is the memory that each task really needs.
	MemoryMB uint64
	// CancelAt is when the caller cancels it, 0 for never.
	CancelAt time.Duration
}

// Deployment describes the size and the workload of a deployment.
type Deployment struct {
	Name         string
	Workers      int
	PerRack      int
	DataCentres  int
	Cores        uint32
	MemoryMB     uint64
	Accelerators func(worker int) uint32
	Customers    int
	Load         float64
	Window       time.Duration
	mix          []classMix
}

// classMix is one class of work and its share of the arrivals.
type classMix struct {
	name         string
	share        float64
	tasks        uint32
	accelerators uint32
	cores        uint32
	adjacency    controlpb.Adjacency
	median       time.Duration
	deadline     time.Duration
	urgent       bool
}

const (
	anywhere     = controlpb.Adjacency_ADJACENCY_ANY
	onWorker     = controlpb.Adjacency_ADJACENCY_WORKER
	inRack       = controlpb.Adjacency_ADJACENCY_RACK
	inDataCentre = controlpb.Adjacency_ADJACENCY_DATA_CENTRE
)

var currentMix = []classMix{
	{name: "price", share: 45, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 10 * time.Minute, deadline: time.Hour},
	{name: "blend", share: 20, tasks: 1, accelerators: 2, cores: 4, adjacency: onWorker, median: 20 * time.Minute},
	{name: "span", share: 12, tasks: 2, accelerators: 2, cores: 6, adjacency: inRack, median: 40 * time.Minute, deadline: 4 * time.Hour},
	{name: "survey", share: 10, tasks: 2, accelerators: 4, cores: 12, adjacency: inRack, median: time.Hour},
	{name: "forecast", share: 6, tasks: 4, accelerators: 4, cores: 12, adjacency: inRack, median: 90 * time.Minute, deadline: 8 * time.Hour},
	{name: "imagery", share: 3, tasks: 4, accelerators: 8, cores: 24, adjacency: inRack, median: 2 * time.Hour},
	{name: "harvest", share: 1, tasks: 16, accelerators: 4, cores: 12, adjacency: inDataCentre, median: 2 * time.Hour},
	{name: "call", share: 3, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 2 * time.Minute, deadline: 10 * time.Minute, urgent: true},
}

var plannedMix = []classMix{
	{name: "batch", share: 52, tasks: 64, accelerators: 0, cores: 1, adjacency: anywhere, median: 5 * time.Hour},
	{name: "price", share: 14, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 2 * time.Hour, deadline: 8 * time.Hour},
	{name: "span", share: 12, tasks: 4, accelerators: 1, cores: 2, adjacency: inRack, median: 3 * time.Hour},
	{name: "survey", share: 10, tasks: 16, accelerators: 1, cores: 2, adjacency: inDataCentre, median: 4 * time.Hour, deadline: 24 * time.Hour},
	{name: "imagery", share: 6, tasks: 32, accelerators: 1, cores: 2, adjacency: inDataCentre, median: 4 * time.Hour},
	{name: "harvest", share: 3, tasks: 128, accelerators: 1, cores: 2, adjacency: anywhere, median: 5 * time.Hour},
	{name: "call", share: 3, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 5 * time.Minute, deadline: 20 * time.Minute, urgent: true},
}

// Deployments lists the two current deployments and the planned one.
func Deployments() []Deployment {
	eight := func(int) uint32 { return 8 }
	return []Deployment{
		{Name: "coedlinell", Workers: 50, PerRack: 8, DataCentres: 3, Cores: 32, MemoryMB: 128 << 10,
			Accelerators: eight, Customers: 4, Load: 0.95, Window: 48 * time.Hour, mix: currentMix},
		{Name: "tokachi", Workers: 50, PerRack: 6, DataCentres: 4, Cores: 128, MemoryMB: 256 << 10,
			Accelerators: eight, Customers: 4, Load: 0.95, Window: 48 * time.Hour, mix: currentMix},
		{Name: "planned", Workers: 1900, PerRack: 20, DataCentres: 23, Cores: 32, MemoryMB: 128 << 10,
			Accelerators: func(worker int) uint32 {
				return [...]uint32{1, 0, 1, 2, 1, 1, 1, 2, 1, 1, 0, 1, 1, 2, 1, 1, 1, 2, 1, 0}[worker%20]
			},
			Customers: 70, Load: 0.95, Window: 24 * time.Hour, mix: plannedMix},
	}
}

// Shares of jobs with each fault, as the requirements give them.
const (
	impossibleShare          = 0.05
	underdeclaredMemoryShare = 0.10
	cancelShare              = 0.3
	// maxRunTime limits the log-normal true run times, as a multiple of the median.
	maxRunTime = 6
	// maxEstimateError limits the factor between declared and true run time, both ways.
	maxEstimateError = 10
)

// Make generates the deployment's scenario of a seed.
func (d Deployment) Make(seed uint64) *Scenario {
	g := &generator{Deployment: d, random: rand.New(rand.NewPCG(seed, 1)), bias: map[string]float64{}}
	s := &Scenario{Name: d.Name, Window: d.Window, Customers: g.customers()}
	for i := range d.Workers {
		rack := i / d.PerRack
		racks := (d.Workers + d.PerRack - 1) / d.PerRack
		s.Workers = append(s.Workers, scheduling.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", rack), DataCentre: fmt.Sprintf("d%02d", rack*d.DataCentres/racks),
			Cores: d.Cores, MemoryMB: d.MemoryMB, Accelerators: d.Accelerators(i),
		})
	}
	s.BadWorker = s.Workers[g.random.IntN(d.Workers)].ID
	s.Arrivals = g.arrivals(g.accelerators(s.Workers))
	return s
}

type generator struct {
	Deployment
	random *rand.Rand
	bias   map[string]float64
	made   int
}

func (g *generator) accelerators(workers []scheduling.Worker) float64 {
	var sum float64
	for _, worker := range workers {
		sum += float64(worker.Accelerators)
	}
	return sum
}

// customers makes a few large customers and many small ones. About 45% of the
// accelerators are guaranteed.
func (g *generator) customers() map[string]*controlpb.Customer {
	customers := map[string]*controlpb.Customer{}
	for i := range g.Customers {
		shape := &controlpb.Shape{Sets: 2, Accelerators: 8, Adjacency: inRack}
		weight := uint32(1)
		switch i % 10 {
		case 0:
			shape, weight = &controlpb.Shape{Sets: 8, Accelerators: 8, Adjacency: inRack}, 4
		case 1:
			shape, weight = &controlpb.Shape{Sets: 2, Accelerators: 32, Adjacency: inRack}, 4
		case 2:
			shape, weight = &controlpb.Shape{Sets: 2, Accelerators: 16, Adjacency: inRack}, 2
		}
		if g.Workers > 1000 {
			shape = &controlpb.Shape{Sets: 1, Accelerators: shape.Sets * shape.Accelerators / 4, Adjacency: inRack}
		}
		name := fmt.Sprintf("c%02d", i)
		customers[name] = &controlpb.Customer{Name: name, Weight: weight, Guarantee: []*controlpb.Shape{shape}}
	}
	return customers
}

// arrivals fills the window: half of the work as single jobs, half in bursts of one
// customer, and a wave of cancellations every six hours.
func (g *generator) arrivals(accelerators float64) []Arrival {
	area := g.Load * accelerators * g.Window.Seconds()
	var arrivals []Arrival
	for area > 0 {
		at := time.Duration(g.random.Float64() * float64(g.Window))
		customer := g.customer()
		count := 1
		if g.random.IntN(40) == 0 {
			count = 20 + g.random.IntN(40)
		}
		for range count {
			arrival := g.arrival(at+time.Duration(g.random.Float64()*float64(2*time.Minute)), customer)
			arrivals = append(arrivals, arrival)
			if arrival.Job.Tasks < impossibleTasks {
				area -= arrival.RunTime.Seconds() * float64(arrival.Job.Tasks*arrival.Job.Accelerators)
			}
		}
	}
	g.cancel(arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

func (g *generator) customer() string {
	i := int(float64(g.Customers) * math.Pow(g.random.Float64(), 2))
	return fmt.Sprintf("c%02d", i)
}

// impossibleTasks is more tasks than fit on one rack of any deployment.
const impossibleTasks = 1000

func (g *generator) arrival(at time.Duration, customer string) Arrival {
	class := g.class()
	g.made++
	runTime := time.Duration(float64(class.median) * math.Exp(g.random.NormFloat64()))
	runTime = min(max(runTime, 30*time.Second), maxRunTime*class.median)
	if g.bias[class.name] == 0 {
		g.bias[class.name] = math.Pow(maxEstimateError, 1.4*g.random.Float64()-0.7)
	}
	declared := float64(runTime) * g.bias[class.name] * math.Pow(maxEstimateError, 0.6*g.random.Float64()-0.3)
	job := &controlpb.Job{
		Id: fmt.Sprintf("j%06d", g.made), Customer: customer, WorkClass: class.name,
		Tasks: class.tasks, Accelerators: class.accelerators, Adjacency: class.adjacency,
		Cores: class.cores, MemoryMb: uint64(class.cores) * 2048, Urgent: class.urgent,
		RunTimeMs: time.Duration(declared).Milliseconds(), SubmittedMs: at.Milliseconds(),
		State: controlpb.JobState_JOB_STATE_WAITING,
	}
	if class.deadline > 0 {
		job.DeadlineMs = (at + class.deadline).Milliseconds()
	}
	kind := g.random.Float64()
	job.Checkpointable = kind < 0.6
	job.Idempotent = kind < 0.85
	arrival := Arrival{At: at, Job: job, RunTime: runTime, MemoryMB: job.MemoryMb}
	if g.random.Float64() < underdeclaredMemoryShare {
		job.MemoryMb /= 1 + uint64(g.random.IntN(maxEstimateError))
	}
	if g.random.Float64() < impossibleShare {
		job.Tasks, job.Adjacency, job.Accelerators = impossibleTasks, inRack, 1
	}
	return arrival
}

func (g *generator) class() classMix {
	var sum float64
	for _, class := range g.mix {
		sum += class.share
	}
	at := g.random.Float64() * sum
	for _, class := range g.mix {
		if at -= class.share; at < 0 {
			return class
		}
	}
	return g.mix[0]
}

func (g *generator) cancel(arrivals []Arrival) {
	for wave := 6 * time.Hour; wave < g.Window; wave += 6 * time.Hour {
		customer := g.customer()
		for i := range arrivals {
			a := &arrivals[i]
			if a.Job.Customer == customer && a.At < wave && a.At > wave-time.Hour && g.random.Float64() < cancelShare {
				a.CancelAt = wave
			}
		}
	}
}
