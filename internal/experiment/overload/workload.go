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

// Day is one day drawn from a deployment.
type Day struct {
	*Deployment
	workers []scheduling.Worker
	// speeds and racks of the workers, by id.
	speeds    map[string]float64
	rackOf    map[string]string
	customers map[string]*controlpb.Customer
	workflows []*workflow
	// absent is when no instance leads.
	absent window
	// lost are the workers that are lost, one after the other from lostAt.
	lost   []string
	lostAt time.Duration
}

type window struct{ from, to time.Duration }

func (w window) holds(at time.Duration) bool { return at >= w.from && at < w.to }

// workflow is one on its way, with what its declaration does not tell.
type workflow struct {
	queue    *Queue
	id       string
	customer string
	at       time.Duration
	// cancelAt is when its user leaves; 0 for never.
	cancelAt time.Duration
	// due is the objective by true run times.
	due time.Duration
	// work is in accelerator seconds.
	work  float64
	steps []*step
	open  int
	ended time.Duration
	done  bool
}

// step becomes one unit where its tasks are a gang, and one a task otherwise.
type step struct {
	units []*unit
	left  int
}

// Day draws the day of a seed.
func (d *Deployment) Day(seed uint64) *Day {
	m := &maker{Day: &Day{Deployment: d, speeds: map[string]float64{}, rackOf: map[string]string{}, customers: map[string]*controlpb.Customer{}}, random: rand.New(rand.NewPCG(seed, 1))}
	m.makeWorkers()
	for i := range d.Customers {
		name := customerName(i)
		m.customers[name] = &controlpb.Customer{Name: name, Weight: 1, GuaranteedAccelerators: d.Guaranteed}
	}
	m.makeTroubles()
	for i := range d.Queues {
		m.makeWorkflows(&d.Queues[i])
	}
	slices.SortStableFunc(m.workflows, func(a, b *workflow) int { return cmp.Compare(a.at, b.at) })
	return m.Day
}

type maker struct {
	*Day
	random *rand.Rand
}

func customerName(i int) string { return fmt.Sprintf("c%02d", i) }

func (m *maker) makeWorkers() {
	racks := m.racks()
	for i := range m.Deployment.Workers {
		rack := i / m.PerRack
		worker := scheduling.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: rackName(rack), DataCentre: fmt.Sprintf("d%02d", rack*m.DataCentres/racks),
			Cores: m.Cores, MemoryMB: m.MemoryMB, Accelerators: m.Accelerators,
		}
		m.workers = append(m.workers, worker)
		m.rackOf[worker.ID] = worker.Rack
		m.speeds[worker.ID] = m.Speeds[m.random.IntN(len(m.Speeds))]
	}
}

func (d *Deployment) racks() int { return (d.Workers + d.PerRack - 1) / d.PerRack }

func rackName(i int) string { return fmt.Sprintf("r%03d", i) }

// troubleUntil is the share of the day in which troubles begin, so that their
// consequences are seen.
const troubleUntil = 0.6

func (m *maker) sometime() time.Duration {
	return time.Duration(m.random.Float64() * troubleUntil * float64(m.Length))
}

func (m *maker) makeTroubles() {
	from := m.sometime()
	m.absent = window{from, from + m.LeaderAbsent}
	m.lostAt = m.sometime()
	count := int(m.LostShare * float64(m.Deployment.Workers))
	for _, i := range m.random.Perm(m.Deployment.Workers)[:count] {
		m.lost = append(m.lost, m.workers[i].ID)
	}
}

func (m *maker) makeWorkflows(q *Queue) {
	burstAt := m.sometime()
	burst := window{burstAt, burstAt + q.BurstFor}
	rate := q.Share * m.Arrivals
	most := rate * max(q.Burst, 1)
	for at := m.pause(most); at < m.Length; at += m.pause(most) {
		now := rate
		if burst.holds(at) {
			now = most
		}
		if m.random.Float64() < now/most {
			m.workflows = append(m.workflows, m.workflow(q, at))
		}
	}
}

func (m *maker) pause(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws with a mean and a spread of the logarithm.
func (m *maker) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*m.random.NormFloat64()-spread*spread/2)
}

func (m *maker) workflow(q *Queue, at time.Duration) *workflow {
	w := &workflow{
		queue: q, at: at,
		id:       fmt.Sprintf("%s-%05d", q.Name, len(m.workflows)),
		customer: customerName(int(float64(m.Customers) * math.Pow(m.random.Float64(), 2))),
	}
	steps := 1
	if m.random.Float64() < q.SecondStep {
		steps = 2
	}
	saves := m.random.Float64() < q.Saves
	var chain, declared time.Duration
	for number := range steps {
		s := m.step(w, uint32(number), saves)
		w.steps = append(w.steps, s)
		chain += s.units[0].run
		declared += time.Duration(s.units[0].job.RunTimeMs) * time.Millisecond
	}
	w.due = at + time.Duration(q.Slack*float64(chain)) + q.Target
	objective := at + time.Duration(q.Slack*float64(declared)) + q.Target
	for _, s := range w.steps {
		for _, u := range s.units {
			u.job.DeadlineMs = objective.Milliseconds()
		}
	}
	if m.random.Float64() < q.Cancelled {
		w.cancelAt = at + time.Duration(m.random.Float64()*float64(chain)) + time.Millisecond
	}
	return w
}

// mostInRack is how many tasks an empty rack takes: nobody couples work tightly that no
// rack could hold.
func (m *maker) mostInRack(q *Queue, accelerators uint32) int {
	const milliPerCore = 1000
	most := min(m.Cores*milliPerCore/q.CoresMilli, m.Deployment.Accelerators/accelerators, uint32(m.Deployment.MemoryMB/q.MemoryMB))
	return int(most) * m.PerRack
}

func (m *maker) step(w *workflow, number uint32, saves bool) *step {
	q := w.queue
	width := min(max(int(math.Round(m.lognormal(q.Width, q.WidthSpread))), 1), q.WidthMost)
	run := min(time.Duration(m.lognormal(float64(q.RunTime), q.RunSpread)), q.RunMost)
	run = max(run, 200*time.Millisecond)
	accelerators := uint32(q.Accelerators[m.random.IntN(len(q.Accelerators))])
	w.work += float64(width) * run.Seconds() * float64(accelerators)
	job := &controlpb.Job{
		Customer: w.customer, WorkClass: q.Name, Workflow: w.id, Step: number,
		Accelerators: accelerators, CoresMilli: q.CoresMilli, MemoryMb: q.MemoryMB,
		RunTimeMs: time.Duration(float64(run) * math.Exp(q.EstimateOff*m.random.NormFloat64())).Milliseconds(),
		Priority:  q.Priority, Urgent: q.Priority == 0, Idempotent: true, Checkpointable: saves,
		State: controlpb.JobState_JOB_STATE_WAITING, MaxAttempts: q.MaxAttempts,
	}
	if m.random.Float64() < q.DataRack {
		job.DataRack = rackName(m.random.IntN(m.racks()))
	}
	tight := m.random.Float64() < q.Tight
	job.TightlyCoupled = tight && q.Gang && width > 1 && width <= m.mostInRack(q, accelerators)
	s := &step{}
	if q.Gang {
		// A gang ends with its slowest member.
		run = time.Duration(float64(run) * (1 + q.Uneven*m.random.Float64()))
		s.units = []*unit{m.unit(w, s, job, width, run, 0)}
	} else {
		for i := range width {
			own := time.Duration(float64(run) * math.Exp(q.Uneven*m.random.NormFloat64()))
			s.units = append(s.units, m.unit(w, s, job, 1, own, i))
		}
	}
	s.left = len(s.units)
	return s
}
