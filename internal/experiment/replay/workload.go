// Package replay measures the scheduling decisions on seeded workloads with an
// injected clock, beside two baselines in the same run. It is an event loop
// around the pure pass and simulates no network, worker or log.
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

// Scenario is a deployment with the work that arrives at it.
type Scenario struct {
	Name      string
	Workers   []scheduling.Worker
	Customers map[string]*controlpb.Customer
	Arrivals  []Arrival
	// BadWorker fails every task that starts on it.
	BadWorker string
	// Window is how long work arrives.
	Window time.Duration
	// FragmentationWeight is that of the rules, 0 to 100.
	FragmentationWeight uint32
}

// Arrival is one job with what its declaration does not tell.
type Arrival struct {
	At  time.Duration
	Job *controlpb.Job
	// RunTime is the true one.
	RunTime time.Duration
	// MemoryMB is what each task really needs.
	MemoryMB uint64
	// CancelAt is when the caller cancels it, 0 for never.
	CancelAt time.Duration
}

// Deployment names the sizes that scenarios are made for.
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

var todaysMix = []classMix{
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

// Deployments lists the sizes: both of today's and the planned one.
func Deployments() []Deployment {
	eight := func(int) uint32 { return 8 }
	return []Deployment{
		{Name: "coedlinell", Workers: 50, PerRack: 8, DataCentres: 3, Cores: 32, MemoryMB: 128 << 10,
			Accelerators: eight, Customers: 4, Load: 0.95, Window: 48 * time.Hour, mix: todaysMix},
		{Name: "tokachi", Workers: 50, PerRack: 6, DataCentres: 4, Cores: 128, MemoryMB: 256 << 10,
			Accelerators: eight, Customers: 4, Load: 0.95, Window: 48 * time.Hour, mix: todaysMix},
		{Name: "planned", Workers: 1900, PerRack: 20, DataCentres: 23, Cores: 32, MemoryMB: 128 << 10,
			Accelerators: func(worker int) uint32 {
				return [...]uint32{1, 0, 1, 2, 1, 1, 1, 2, 1, 1, 0, 1, 1, 2, 1, 1, 1, 2, 1, 0}[worker%20]
			},
			Customers: 70, Load: 0.95, Window: 24 * time.Hour, mix: plannedMix},
	}
}

// Shares of the faults, from the brief.
const (
	impossibleShare = 0.05
	underSizedShare = 0.10
	cancelShare     = 0.3
	// longestRun bounds the log-normal true run times, in medians.
	longestRun = 6
	// wrongBy bounds declared over true run time, both ways.
	wrongBy = 10
)

// Make builds the deployment's scenario of one seed.
func (d Deployment) Make(seed uint64) *Scenario {
	m := &maker{Deployment: d, random: rand.New(rand.NewPCG(seed, 1)), bias: map[string]float64{}}
	s := &Scenario{Name: d.Name, Window: d.Window, Customers: m.customers()}
	for i := range d.Workers {
		rack := i / d.PerRack
		racks := (d.Workers + d.PerRack - 1) / d.PerRack
		s.Workers = append(s.Workers, scheduling.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", rack), DataCentre: fmt.Sprintf("d%02d", rack*d.DataCentres/racks),
			Cores: d.Cores, MemoryMB: d.MemoryMB, Accelerators: d.Accelerators(i),
		})
	}
	s.BadWorker = s.Workers[m.random.IntN(d.Workers)].ID
	s.Arrivals = m.arrivals(m.accelerators(s.Workers))
	return s
}

type maker struct {
	Deployment
	random *rand.Rand
	bias   map[string]float64
	made   int
}

func (m *maker) accelerators(workers []scheduling.Worker) float64 {
	var sum float64
	for _, worker := range workers {
		sum += float64(worker.Accelerators)
	}
	return sum
}

// customers: a few large ones. About 45% of the accelerators are guaranteed.
func (m *maker) customers() map[string]*controlpb.Customer {
	customers := map[string]*controlpb.Customer{}
	for i := range m.Customers {
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
		if m.Workers > 1000 {
			shape = &controlpb.Shape{Sets: 1, Accelerators: shape.Sets * shape.Accelerators / 4, Adjacency: inRack}
		}
		name := fmt.Sprintf("c%02d", i)
		customers[name] = &controlpb.Customer{Name: name, Weight: weight, Guarantee: []*controlpb.Shape{shape}}
	}
	return customers
}

// arrivals fills the window: half of the work alone, half in bursts of one
// customer, and a wave of cancellations every six hours.
func (m *maker) arrivals(accelerators float64) []Arrival {
	area := m.Load * accelerators * m.Window.Seconds()
	var arrivals []Arrival
	for area > 0 {
		at := time.Duration(m.random.Float64() * float64(m.Window))
		customer := m.customer()
		count := 1
		if m.random.IntN(40) == 0 {
			count = 20 + m.random.IntN(40)
		}
		for range count {
			arrival := m.arrival(at+time.Duration(m.random.Float64()*float64(2*time.Minute)), customer)
			arrivals = append(arrivals, arrival)
			if arrival.Job.Tasks < impossibleTasks {
				area -= arrival.RunTime.Seconds() * float64(arrival.Job.Tasks*arrival.Job.Accelerators)
			}
		}
	}
	m.cancel(arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

func (m *maker) customer() string {
	i := int(float64(m.Customers) * math.Pow(m.random.Float64(), 2))
	return fmt.Sprintf("c%02d", i)
}

// impossibleTasks is more than any deployment has room for in one rack.
const impossibleTasks = 1000

func (m *maker) arrival(at time.Duration, customer string) Arrival {
	class := m.class()
	m.made++
	ran := time.Duration(float64(class.median) * math.Exp(m.random.NormFloat64()))
	ran = min(max(ran, 30*time.Second), longestRun*class.median)
	if m.bias[class.name] == 0 {
		m.bias[class.name] = math.Pow(wrongBy, 1.4*m.random.Float64()-0.7)
	}
	declared := float64(ran) * m.bias[class.name] * math.Pow(wrongBy, 0.6*m.random.Float64()-0.3)
	job := &controlpb.Job{
		Id: fmt.Sprintf("j%06d", m.made), Customer: customer, WorkClass: class.name,
		Tasks: class.tasks, Accelerators: class.accelerators, Adjacency: class.adjacency,
		Cores: class.cores, MemoryMb: uint64(class.cores) * 2048, Urgent: class.urgent,
		RunTimeMs: time.Duration(declared).Milliseconds(), SubmittedMs: at.Milliseconds(),
		State: controlpb.JobState_JOB_STATE_WAITING,
	}
	if class.deadline > 0 {
		job.DeadlineMs = (at + class.deadline).Milliseconds()
	}
	kind := m.random.Float64()
	job.Checkpointable = kind < 0.6
	job.Idempotent = kind < 0.85
	arrival := Arrival{At: at, Job: job, RunTime: ran, MemoryMB: job.MemoryMb}
	if m.random.Float64() < underSizedShare {
		job.MemoryMb /= 1 + uint64(m.random.IntN(wrongBy))
	}
	if m.random.Float64() < impossibleShare {
		job.Tasks, job.Adjacency, job.Accelerators = impossibleTasks, inRack, 1
	}
	return arrival
}

func (m *maker) class() classMix {
	var sum float64
	for _, class := range m.mix {
		sum += class.share
	}
	at := m.random.Float64() * sum
	for _, class := range m.mix {
		if at -= class.share; at < 0 {
			return class
		}
	}
	return m.mix[0]
}

func (m *maker) cancel(arrivals []Arrival) {
	for wave := 6 * time.Hour; wave < m.Window; wave += 6 * time.Hour {
		customer := m.customer()
		for i := range arrivals {
			a := &arrivals[i]
			if a.Job.Customer == customer && a.At < wave && a.At > wave-time.Hour && m.random.Float64() < cancelShare {
				a.CancelAt = wave
			}
		}
	}
}
