package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/experiment/timeline"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Policy plans one pass.
type Policy struct {
	Name string
	Pass func(*scheduling.Snapshot) *scheduling.Plan
}

// Costs that the workers add, alike for every policy.
const (
	// stopTime is how long a stop without a checkpoint takes; one with a
	// checkpoint takes up to checkpointTime more.
	stopTime       = 2 * time.Second
	checkpointTime = 18 * time.Second
	// restoreTime is added to a run that goes on from a checkpoint.
	restoreTime = 30 * time.Second
	// failAfter is when a task on the bad worker fails.
	failAfter = 30 * time.Second
	// underSizedAfter is the share of its run after which a task is stopped
	// for using more memory than declared.
	underSizedAfter = 0.05
	// quarantineAfter is how many failed jobs quarantine a worker, and probeAfter
	// when it is tried again.
	quarantineAfter = 3
	probeAfter      = time.Hour
	backoff         = 30 * time.Second
	// passEvery bounds how often a pass is made.
	passEvery = time.Second
)

type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	eventComplete
	eventFail
	eventStopped
	eventWake
)

type event struct {
	kind  eventKind
	job   *run
	epoch uint64
}

// run is one job on its way.
type run struct {
	Arrival
	job      *controlpb.Job
	done     time.Duration
	first    time.Duration
	ended    time.Duration
	complete bool
	started  bool
	// due is set when the customer's guarantee alone had room for the job.
	due bool
	// takingBack is when the job first waited for gangs to stop.
	takingBack time.Duration
}

// engine replays one scenario under one policy.
type engine struct {
	scenario *Scenario
	policy   Policy
	now      time.Duration
	events   timeline.Queue[event]
	runs     map[string]*run
	active   []*controlpb.Job
	plan     *scheduling.Plan
	learned  *scheduling.RunTimes
	random   *rand.Rand
	failed   int
	until    time.Duration
	meter    meter
}

// epochStart keeps times positive.
var epochStart = time.UnixMilli(0)

// Replay runs a scenario to its end.
func Replay(scenario *Scenario, policy Policy) *Result {
	e := &engine{
		scenario: scenario, policy: policy, runs: map[string]*run{}, plan: &scheduling.Plan{},
		learned: scheduling.NewRunTimes(), random: rand.New(rand.NewPCG(7, 7)),
	}
	e.meter.start(scenario)
	for _, arrival := range scenario.Arrivals {
		r := &run{Arrival: arrival, job: proto.CloneOf(arrival.Job)}
		e.runs[r.job.Id] = r
		e.push(arrival.At, eventArrive, r)
		if arrival.CancelAt > 0 {
			e.push(arrival.CancelAt, eventCancel, r)
		}
	}
	for e.events.Len() > 0 {
		e.step()
	}
	return e.result()
}

func (e *engine) push(at time.Duration, kind eventKind, r *run) {
	e.events.Add(at, event{kind: kind, job: r, epoch: r.job.Epoch})
}

// step takes every event of one pass's time together.
func (e *engine) step() {
	at := e.events.At()
	e.meter.advance(e, at-e.now)
	e.now = at
	for e.events.Len() > 0 && e.events.At() < at+passEvery {
		due, next := e.events.Next()
		e.now = max(e.now, due)
		e.take(next)
	}
	e.pass()
}

func (e *engine) take(next event) {
	r := next.job
	if next.kind != eventArrive && next.kind != eventCancel && (next.epoch != r.job.Epoch || r.ended > 0) {
		return
	}
	switch next.kind {
	case eventArrive:
		e.arrive(r)
	case eventCancel:
		if r.ended == 0 {
			e.leave(r)
		}
	case eventComplete:
		if r.job.State == controlpb.JobState_JOB_STATE_RUNNING {
			r.complete = true
			e.learned.Observe(r.job.WorkClass, time.Duration(r.job.RunTimeMs)*time.Millisecond, r.RunTime)
			e.leave(r)
		}
	case eventFail:
		if r.job.State == controlpb.JobState_JOB_STATE_RUNNING {
			e.fail(r)
		}
	case eventStopped:
		r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
	}
}

// arrive refuses impossible work, alike for every policy: under strict FIFO it
// would stand before all other work for ever.
func (e *engine) arrive(r *run) {
	if !scheduling.Feasible(scheduling.JobShape(r.job), e.scenario.Workers).Feasible {
		r.ended = e.now
		e.meter.refused++
		return
	}
	e.active = append(e.active, r.job)
	r.due = e.due(r.job)
}

// due tells whether the guarantee alone has room: each active job of the
// customer, this one too, fits a set of its own.
func (e *engine) due(job *controlpb.Job) bool {
	shape := e.scenario.Customers[job.Customer].Guarantee[0]
	var count uint32
	for _, other := range e.active {
		if other.Customer != job.Customer {
			continue
		}
		count++
		fits := other.Tasks*other.Accelerators <= shape.Accelerators && (other.Tasks == 1 || other.Adjacency != onWorker)
		if !fits || other.Accelerators == 0 {
			return false
		}
	}
	return count <= shape.Sets
}

func (e *engine) leave(r *run) {
	r.ended = e.now
	e.active = slices.DeleteFunc(e.active, func(job *controlpb.Job) bool { return job == r.job })
}

func (e *engine) fail(r *run) {
	onBad := slices.ContainsFunc(r.job.Placements, func(p *controlpb.Placement) bool { return p.Worker == e.scenario.BadWorker })
	if onBad {
		if e.failed++; e.failed%quarantineAfter == 0 {
			e.until = e.now + probeAfter
		}
	} else {
		r.job.MemoryMb = r.MemoryMB
	}
	e.meter.lose(r, e.ran(r))
	r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
	r.job.NotBeforeMs = (e.now + backoff).Milliseconds()
	e.push(e.now+backoff, eventWake, r)
}

func (e *engine) ran(r *run) time.Duration {
	return e.now - time.Duration(r.job.StartedMs)*time.Millisecond
}

func (e *engine) pass() {
	workers := slices.Clone(e.scenario.Workers)
	for i := range workers {
		workers[i].Unavailable = workers[i].ID == e.scenario.BadWorker && e.now < e.until
	}
	snapshot := &scheduling.Snapshot{
		Now: epochStart.Add(e.now), Workers: workers, Jobs: e.active, Customers: e.scenario.Customers,
		Rules: &controlpb.Rules{FragmentationWeight: e.scenario.FragmentationWeight}, RunTimes: e.learned,
	}
	snapshot.CarryOver(e.plan)
	began := time.Now()
	e.plan = e.policy.Pass(snapshot)
	e.meter.passes = append(e.meter.passes, time.Since(began))
	if e.plan.Breach != nil {
		e.meter.breaches++
	}
	for _, preemption := range e.plan.Preemptions {
		e.stop(e.runs[preemption.Job])
	}
	for _, assignment := range e.plan.Assignments {
		e.start(e.runs[assignment.Job], assignment.Placements)
	}
	for _, reason := range e.plan.Waiting {
		r := e.runs[reason.Job]
		if reason.Code != scheduling.ReasonPreempting {
			// The customer gave the room to other work of its own.
			r.takingBack = 0
		} else if r.takingBack == 0 {
			r.takingBack = e.now
		}
	}
}

func (e *engine) start(r *run, placements []*controlpb.Placement) {
	r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_RUNNING, placements
	r.job.Epoch++
	r.job.Attempts++
	r.job.StartedMs = e.now.Milliseconds()
	if !r.started {
		r.started, r.first = true, e.now
	}
	if r.takingBack > 0 {
		e.meter.takeBack(e.now - r.takingBack)
		r.takingBack = 0
	}
	left := r.RunTime - r.done
	if r.done > 0 {
		left += restoreTime
	}
	e.push(e.now+left, eventComplete, r)
	if slices.ContainsFunc(placements, func(p *controlpb.Placement) bool { return p.Worker == e.scenario.BadWorker }) {
		e.push(e.now+min(failAfter, left/2), eventFail, r)
	} else if r.job.MemoryMb < r.MemoryMB {
		e.push(e.now+time.Duration(float64(left)*underSizedAfter), eventFail, r)
	}
}

// stop keeps a checkpointable job's work, less what the stop and the restore
// cost, and loses any other's.
func (e *engine) stop(r *run) {
	r.job.State = controlpb.JobState_JOB_STATE_STOPPING
	r.job.Epoch++
	took := stopTime
	if r.job.Checkpointable {
		r.done = min(r.RunTime, r.done+max(0, e.ran(r)-restoreTime))
		r.job.CheckpointedMs = r.done.Milliseconds()
		took += time.Duration(e.random.Int64N(int64(checkpointTime)))
		e.meter.lose(r, took+restoreTime)
	} else {
		e.meter.lose(r, e.ran(r)+took)
	}
	e.meter.preempted++
	e.push(e.now+took, eventStopped, r)
}
