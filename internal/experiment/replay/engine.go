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

// Policy is a named scheduling pass.
type Policy struct {
	Name string
	Pass func(*scheduling.Snapshot) *scheduling.Plan
}

// Costs of starts, stops and failures, the same for every policy.
const (
	// stopTime is how long a stop without a checkpoint takes; one with a
	// checkpoint takes up to checkpointTime more.
	stopTime       = 2 * time.Second
	checkpointTime = 18 * time.Second
	// restoreTime is added to a run that resumes from a checkpoint.
	restoreTime = 30 * time.Second
	// failAfter is the time after which a task on the bad worker fails.
	failAfter = 30 * time.Second
	// memoryExceededAfter is the share of its run after which a task is stopped
	// for using more memory than declared.
	memoryExceededAfter = 0.05
	// quarantineAfter is the number of failed jobs that puts a worker into quarantine,
	// probeAfter the time until it is tried again.
	quarantineAfter = 3
	probeAfter      = time.Hour
	backoff         = 30 * time.Second
	// passInterval is the least time between two passes.
	passInterval = time.Second
)

type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	eventComplete
	eventFail
	eventStopped
	eventBackoffOver
)

type event struct {
	kind  eventKind
	job   *run
	epoch uint64
	// generation is that of the run's pace.
	generation int
}

// run is one job and its progress through the simulation.
type run struct {
	Arrival
	job        *controlpb.Job
	done       time.Duration
	firstStart time.Duration
	ended      time.Duration
	complete   bool
	started    bool
	// withinGuarantee is set if the customer's guarantee alone covered the job on arrival.
	withinGuarantee bool
	// preemptingSince is when the job began to wait for preempted gangs to stop; 0 if it
	// does not.
	preemptingSince time.Duration
	pace            pace
}

// engine simulates one scenario under one policy.
type engine struct {
	scenario          *Scenario
	policy            Policy
	now               time.Duration
	events            timeline.Queue[event]
	runs              map[string]*run
	active            []*controlpb.Job
	plan              *scheduling.Plan
	runTimes          *scheduling.RunTimes
	random            *rand.Rand
	badWorkerFailures int
	quarantinedUntil  time.Duration
	meter             meter
	neighbours        neighbours
}

// simulationStart is the absolute time at simulated time 0: the Unix epoch, so that Unix
// milliseconds are never negative.
var simulationStart = time.UnixMilli(0)

// Replay simulates a scenario under a policy until no events are left.
func Replay(scenario *Scenario, policy Policy) *Result {
	e := &engine{
		scenario: scenario, policy: policy, runs: map[string]*run{}, plan: &scheduling.Plan{},
		runTimes: scheduling.NewRunTimes(), random: rand.New(rand.NewPCG(7, 7)),
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
	e.events.Add(at, event{kind: kind, job: r, epoch: r.job.Epoch, generation: r.pace.generation})
}

// step handles all events of one pass interval and then runs a pass.
func (e *engine) step() {
	at := e.events.At()
	e.meter.advance(e, at-e.now)
	e.now = at
	for e.events.Len() > 0 && e.events.At() < at+passInterval {
		due, ev := e.events.Next()
		e.now = max(e.now, due)
		e.handle(ev)
	}
	e.pass()
}

func (e *engine) handle(next event) {
	r := next.job
	if next.kind != eventArrive && next.kind != eventCancel && (next.epoch != r.job.Epoch || r.ended > 0) {
		return
	}
	switch next.kind {
	case eventArrive:
		e.arrive(r)
	case eventCancel:
		if r.ended == 0 {
			e.remove(r)
		}
	case eventComplete:
		if r.job.State == controlpb.JobState_JOB_STATE_RUNNING && next.generation == r.pace.generation {
			r.complete = true
			e.runTimes.Observe(r.job.WorkClass, time.Duration(r.job.RunTimeMs)*time.Millisecond, r.RunTime)
			e.remove(r)
		}
	case eventFail:
		if r.job.State == controlpb.JobState_JOB_STATE_RUNNING {
			e.fail(r)
		}
	case eventStopped:
		r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
	}
}

// arrive refuses jobs that cannot fit on the workers, under every policy: under strict
// FIFO such a job would block all later ones for ever.
func (e *engine) arrive(r *run) {
	if !scheduling.Feasible(scheduling.JobShape(r.job), e.scenario.Workers).Feasible {
		r.ended = e.now
		e.meter.refused++
		return
	}
	e.active = append(e.active, r.job)
	r.withinGuarantee = e.withinGuarantee(r.job)
}

// withinGuarantee reports whether the customer's guarantee alone covers the job: each of
// the customer's active jobs, including this one, fits into a set of its own.
func (e *engine) withinGuarantee(job *controlpb.Job) bool {
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

func (e *engine) remove(r *run) {
	r.ended = e.now
	e.active = slices.DeleteFunc(e.active, func(job *controlpb.Job) bool { return job == r.job })
}

func (e *engine) fail(r *run) {
	onBadWorker := slices.ContainsFunc(r.job.Placements, func(p *controlpb.Placement) bool { return p.Worker == e.scenario.BadWorker })
	if onBadWorker {
		if e.badWorkerFailures++; e.badWorkerFailures%quarantineAfter == 0 {
			e.quarantinedUntil = e.now + probeAfter
		}
	} else {
		r.job.MemoryMb = r.MemoryMB
	}
	e.meter.addLost(r, e.elapsed(r))
	r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
	r.job.NotBeforeMs = (e.now + backoff).Milliseconds()
	e.push(e.now+backoff, eventBackoffOver, r)
}

func (e *engine) elapsed(r *run) time.Duration {
	return e.now - time.Duration(r.job.StartedMs)*time.Millisecond
}

func (e *engine) pass() {
	workers := slices.Clone(e.scenario.Workers)
	for i := range workers {
		workers[i].Unavailable = workers[i].ID == e.scenario.BadWorker && e.now < e.quarantinedUntil
	}
	snapshot := &scheduling.Snapshot{
		Now: simulationStart.Add(e.now), Workers: workers, Jobs: e.active, Customers: e.scenario.Customers,
		Rules: &controlpb.Rules{FragmentationWeight: e.scenario.FragmentationWeight}, RunTimes: e.runTimes,
		Interference: e.estimate(),
	}
	snapshot.Features.Interference = e.scenario.SeparateClasses
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
	e.slow()
	for _, reason := range e.plan.Waiting {
		r := e.runs[reason.Job]
		if reason.Code != scheduling.ReasonPreempting {
			// The capacity went to other work of the customer.
			r.preemptingSince = 0
		} else if r.preemptingSince == 0 {
			r.preemptingSince = e.now
		}
	}
}

func (e *engine) start(r *run, placements []*controlpb.Placement) {
	r.job.State, r.job.Placements = controlpb.JobState_JOB_STATE_RUNNING, placements
	r.job.Epoch++
	r.job.Attempts++
	r.job.StartedMs = e.now.Milliseconds()
	if !r.started {
		r.started, r.firstStart = true, e.now
	}
	if r.preemptingSince > 0 {
		e.meter.recordPreemptionWait(e.now - r.preemptingSince)
		r.preemptingSince = 0
	}
	left := r.RunTime - r.done
	if r.done > 0 {
		left += restoreTime
	}
	r.pace.begin(e.now, left)
	e.push(e.now+left, eventComplete, r)
	if slices.ContainsFunc(placements, func(p *controlpb.Placement) bool { return p.Worker == e.scenario.BadWorker }) {
		e.push(e.now+min(failAfter, left/2), eventFail, r)
	} else if r.job.MemoryMb < r.MemoryMB {
		e.push(e.now+time.Duration(float64(left)*memoryExceededAfter), eventFail, r)
	}
}

// stop preempts a job. A checkpointable job keeps its work, less the cost of the stop and
// the restore; any other loses it.
func (e *engine) stop(r *run) {
	r.job.State = controlpb.JobState_JOB_STATE_STOPPING
	r.job.Epoch++
	took := stopTime
	if r.job.Checkpointable {
		r.pace.advance(e.now)
		r.done = min(r.RunTime, max(r.done, r.RunTime-r.pace.left))
		r.job.CheckpointedMs = r.done.Milliseconds()
		took += time.Duration(e.random.Int64N(int64(checkpointTime)))
		e.meter.addLost(r, took+restoreTime)
	} else {
		e.meter.addLost(r, e.elapsed(r)+took)
	}
	e.meter.preempted++
	e.push(e.now+took, eventStopped, r)
}
