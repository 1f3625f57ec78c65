package overload

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/keepwarm"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/experiment/timeline"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// minPassInterval is the least time between two passes: a commit and the planning.
	minPassInterval = 20 * time.Millisecond
	// maxPassInterval is the longest time between two passes when nothing has changed.
	maxPassInterval = time.Second
	// startDelay is the time from a plan to the start of the work: a commit, a command to
	// the worker and its answer.
	startDelay = 30 * time.Millisecond
	// failureDelay is the time from the failure of a run until its unit waits again: two
	// commits.
	failureDelay = 50 * time.Millisecond
	// lossInterval is the time between the losses of two workers.
	lossInterval = 50 * time.Millisecond
)

type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	eventEnd
	eventFail
	eventRequeue
	eventLost
	eventRecovered
	eventPass
)

type event struct {
	kind     eventKind
	workflow *workflow
	unit     *unit
	epoch    uint64
	worker   string
}

// engine simulates one day.
type engine struct {
	day            *Day
	variant        Variant
	now            time.Duration
	events         timeline.Queue[event]
	active         []*unit
	byJob          map[string]*unit
	down           map[string]bool
	plan           *scheduling.Plan
	learned        *scheduling.RunTimes
	locality       keepwarm.Tracker
	speedEstimator workerspeed.Estimator
	// speeds holds the latest estimates of speedEstimator.
	speeds   map[string]float64
	fittedAt time.Duration
	// observed is set when a rate was observed since the last fit.
	observed bool
	lastPass time.Duration
	// changed is set when an event was handled since the last pass.
	changed bool
	result  Result
}

// Replay simulates a day under a variant of the pass.
func Replay(day *Day, variant Variant) *Result {
	e := &engine{
		day: day, variant: variant, byJob: map[string]*unit{}, down: map[string]bool{},
		plan: &scheduling.Plan{}, learned: scheduling.NewRunTimes(),
	}
	for _, w := range day.workflows {
		e.events.Add(w.at, event{kind: eventArrive, workflow: w})
	}
	for i, worker := range day.lost {
		at := day.lostAt + time.Duration(i)*lossInterval
		e.events.Add(at, event{kind: eventLost, worker: worker})
		e.events.Add(at+day.WorkersLostFor, event{kind: eventRecovered, worker: worker})
	}
	for at := time.Duration(0); at < day.Length+day.Tail; at += minPassInterval {
		e.events.Add(at, event{kind: eventPass})
	}
	for e.events.Len() > 0 && e.events.At() < day.Length+day.Tail {
		at, next := e.events.Next()
		e.now = at
		e.handle(next)
	}
	e.result.finish(day)
	return &e.result
}

func (e *engine) handle(next event) {
	if next.unit != nil && (next.epoch != next.unit.job.Epoch || next.unit.workflow.ended > 0) {
		return
	}
	if e.day.leaderless.contains(e.now) && (next.kind == eventEnd || next.kind == eventFail) {
		// The end of a run is not processed until there is a leader again.
		e.events.Add(e.day.leaderless.to, next)
		return
	}
	if next.kind != eventPass {
		e.changed = true
	}
	switch next.kind {
	case eventArrive:
		e.arrive(next.workflow)
	case eventCancel:
		e.cancel(next.workflow)
	case eventEnd:
		e.end(next.unit)
	case eventFail:
		e.fail(next.unit)
	case eventRequeue:
		e.requeue(next.unit)
	case eventLost:
		e.loseWorker(next.worker)
	case eventRecovered:
		delete(e.down, next.worker)
	case eventPass:
		e.pass()
	}
}

func (e *engine) arrive(w *workflow) {
	w.open = len(w.steps)
	e.submit(w.steps[0])
	if w.cancelAt > 0 {
		e.events.Add(w.cancelAt, event{kind: eventCancel, workflow: w})
	}
}

func (e *engine) submit(s *step) {
	for _, u := range s.units {
		u.job.SubmittedMs = e.now.Milliseconds()
		e.active = append(e.active, u)
		e.byJob[u.job.Id] = u
	}
}

// cancel ends a workflow that its user has cancelled, or that has failed, and removes its
// units.
func (e *engine) cancel(w *workflow) {
	if w.ended > 0 {
		return
	}
	w.ended = e.now
	e.active = slices.DeleteFunc(e.active, func(u *unit) bool { return u.workflow == w })
	for _, s := range w.steps {
		for _, u := range s.units {
			delete(e.byJob, u.job.Id)
		}
	}
}

func (e *engine) remove(u *unit) {
	e.active = slices.DeleteFunc(e.active, func(other *unit) bool { return other == u })
	delete(e.byJob, u.job.Id)
}

// end handles a run that completed.
func (e *engine) end(u *unit) {
	e.result.Done++
	took := e.now - u.began
	work := e.day.worked(u, e.now)
	for _, placement := range u.job.Placements {
		// Members that are done hold their accelerators until the slowest is done.
		own := time.Duration(u.slowdown * float64(e.day.timeFor(placement.Worker, u.began, work)))
		e.result.Lost += float64(u.job.Accelerators) * max(took-own, 0).Seconds()
	}
	e.learn(u, took)
	e.remove(u)
	w := u.workflow
	if u.step.left--; u.step.left > 0 {
		return
	}
	if w.open--; w.open > 0 {
		e.submit(w.steps[len(w.steps)-w.open])
		return
	}
	w.ended, w.done = e.now, true
}

func (e *engine) fail(u *unit) {
	e.result.Failed++
	e.result.Lost += u.accelerators() * (e.now - u.began).Seconds()
	u.job.OwnFailures++
	if u.job.OwnFailures >= u.job.MaxAttempts {
		e.cancel(u.workflow)
		return
	}
	e.releaseAfter(u, failureDelay)
}

// releaseAfter ends the unit's run and requeues the unit after the given time, keeping the
// work up to its last checkpoint.
func (e *engine) releaseAfter(u *unit, delay time.Duration) {
	kept := time.Duration(0)
	if u.job.Checkpointable {
		kept = e.day.worked(u, e.now) / e.day.CheckpointEvery * e.day.CheckpointEvery
	}
	u.done = min(u.done+kept, u.run-time.Millisecond)
	u.job.CheckpointedMs = u.done.Milliseconds()
	u.job.State = controlpb.JobState_JOB_STATE_STOPPING
	u.job.Epoch++
	e.events.Add(e.now+delay, event{kind: eventRequeue, unit: u, epoch: u.job.Epoch})
}

func (e *engine) requeue(u *unit) {
	u.job.State, u.job.Placements, u.job.StartedMs = controlpb.JobState_JOB_STATE_WAITING, nil, 0
}

// loseWorker makes a worker unavailable. Members of its gangs on other workers release
// their capacity at once; the gangs may start again when the worker's lease has expired.
func (e *engine) loseWorker(worker string) {
	e.down[worker] = true
	for _, u := range e.active {
		on := slices.ContainsFunc(u.job.Placements, func(p *controlpb.Placement) bool { return p.Worker == worker })
		if !on || u.job.State != controlpb.JobState_JOB_STATE_RUNNING {
			continue
		}
		e.result.Lost += u.accelerators() * (e.now - u.began).Seconds()
		e.releaseAfter(u, e.day.LeaseWait)
		u.job.Placements = nil
	}
}

func (e *engine) pass() {
	if e.day.leaderless.contains(e.now) || (!e.changed && e.now-e.lastPass < maxPassInterval) {
		return
	}
	e.changed, e.lastPass = false, e.now
	e.observe()
	workers := slices.Clone(e.day.workers)
	for i := range workers {
		workers[i].Unavailable = e.down[workers[i].ID]
		workers[i].Speed = e.speeds[workers[i].ID]
	}
	jobs := make([]*controlpb.Job, len(e.active))
	for i, u := range e.active {
		jobs[i] = u.job
	}
	now := time.UnixMilli(0).Add(e.now)
	snapshot := &scheduling.Snapshot{
		Now: now, Workers: workers, Jobs: jobs, Customers: e.day.customers, Rules: &controlpb.Rules{},
		Warm: e.locality.Update(jobs, now), RunTimes: e.learned, Disabled: e.variant.Off,
		Features: e.variant.features(e.day.Deployment),
	}
	snapshot.CarryOver(e.plan)
	e.plan = scheduling.Pass(snapshot)
	e.result.Passes++
	if e.plan.Breach != nil {
		e.result.Breaches++
	}
	for _, preemption := range e.plan.Preemptions {
		e.stop(e.byJob[preemption.Job])
	}
	for _, assignment := range e.plan.Assignments {
		e.start(e.byJob[assignment.Job], assignment.Placements)
	}
}

func (e *engine) start(u *unit, placements []*controlpb.Placement) {
	e.result.Runs++
	u.runs++
	u.slowdown = e.day.slowdown(u, placements)
	u.began = e.now + startDelay
	u.job.State, u.job.Placements = controlpb.JobState_JOB_STATE_RUNNING, placements
	u.job.StartedMs = u.began.Milliseconds()
	u.job.Epoch++
	left := u.run - u.done
	if u.done > 0 {
		left += e.day.RestoreTime
	}
	took := e.day.runTime(placements, u.began, time.Duration(u.slowdown*float64(left)))
	if u.runs <= len(u.failAt) && u.failAt[u.runs-1] > 0 {
		at := u.began + time.Duration(u.failAt[u.runs-1]*float64(took))
		e.events.Add(at, event{kind: eventFail, unit: u, epoch: u.job.Epoch})
		return
	}
	e.events.Add(u.began+took, event{kind: eventEnd, unit: u, epoch: u.job.Epoch})
}

func (e *engine) stop(u *unit) {
	e.result.Stopped++
	if e.now-u.began < time.Second {
		e.result.StoppedEarly++
	}
	before := u.done
	ran := (e.now - u.began).Seconds()
	e.releaseAfter(u, e.day.StopTime)
	u.job.Preempted = true
	e.result.Lost += u.accelerators() * max(ran-(u.done-before).Seconds(), 0)
}
