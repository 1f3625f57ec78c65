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
	// passEvery is the least time between two passes: a commit and the time to plan.
	passEvery = 20 * time.Millisecond
	// passAnyway is the most.
	passAnyway = time.Second
	// startTime is from a plan to the first work: a commit, an order, its answer.
	startTime = 30 * time.Millisecond
	// failTime is from the failure of a run until its unit waits again: two commits.
	failTime = 50 * time.Millisecond
	// lossEvery is from the loss of one worker to that of the next.
	lossEvery = 50 * time.Millisecond
)

type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	eventEnd
	eventFail
	eventWaiting
	eventLost
	eventBack
	eventPass
)

type event struct {
	kind     eventKind
	workflow *workflow
	unit     *unit
	epoch    uint64
	worker   string
}

// engine replays one day.
type engine struct {
	day            *Day
	off            scheduling.Mechanisms
	now            time.Duration
	events         timeline.Queue[event]
	active         []*unit
	byJob          map[string]*unit
	down           map[string]bool
	plan           *scheduling.Plan
	learned        *scheduling.RunTimes
	warm           keepwarm.Tracker
	speedEstimator workerspeed.Estimator
	// speeds holds the latest estimates of speedEstimator.
	speeds map[string]float64
	passed time.Duration
	// news says that something changed since the last pass.
	news   bool
	result Result
}

// Replay plays a day with the named mechanisms of the pass switched off.
func Replay(day *Day, off scheduling.Mechanisms) *Result {
	e := &engine{
		day: day, off: off, byJob: map[string]*unit{}, down: map[string]bool{},
		plan: &scheduling.Plan{}, learned: scheduling.NewRunTimes(),
	}
	for _, w := range day.workflows {
		e.events.Add(w.at, event{kind: eventArrive, workflow: w})
	}
	for i, worker := range day.lost {
		at := day.lostAt + time.Duration(i)*lossEvery
		e.events.Add(at, event{kind: eventLost, worker: worker})
		e.events.Add(at+day.LostFor, event{kind: eventBack, worker: worker})
	}
	for at := time.Duration(0); at < day.Length+day.Tail; at += passEvery {
		e.events.Add(at, event{kind: eventPass})
	}
	for e.events.Len() > 0 && e.events.At() < day.Length+day.Tail {
		at, next := e.events.Next()
		e.now = at
		e.take(next)
	}
	e.result.finish(day)
	return &e.result
}

func (e *engine) take(next event) {
	if next.unit != nil && (next.epoch != next.unit.job.Epoch || next.unit.workflow.ended > 0) {
		return
	}
	if e.day.absent.holds(e.now) && (next.kind == eventEnd || next.kind == eventFail) {
		// Nobody hears of the end of a run until an instance leads again.
		e.events.Add(e.day.absent.to, next)
		return
	}
	if next.kind != eventPass {
		e.news = true
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
	case eventWaiting:
		e.wait(next.unit)
	case eventLost:
		e.lose(next.worker)
	case eventBack:
		delete(e.down, next.worker)
	case eventPass:
		e.pass()
	}
}

func (e *engine) arrive(w *workflow) {
	w.open = len(w.steps)
	e.begin(w.steps[0])
	if w.cancelAt > 0 {
		e.events.Add(w.cancelAt, event{kind: eventCancel, workflow: w})
	}
}

func (e *engine) begin(s *step) {
	for _, u := range s.units {
		u.job.SubmittedMs = e.now.Milliseconds()
		e.active = append(e.active, u)
		e.byJob[u.job.Id] = u
	}
}

// cancel ends a workflow whose user has left; what runs is stopped.
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

func (e *engine) drop(u *unit) {
	e.active = slices.DeleteFunc(e.active, func(other *unit) bool { return other == u })
	delete(e.byJob, u.job.Id)
}

// end takes in a run that ended well.
func (e *engine) end(u *unit) {
	e.result.Done++
	slowest := e.day.slowest(u.job.Placements)
	for _, placement := range u.job.Placements {
		// A member that is done waits for the slowest.
		waits := 1 - slowest/e.day.speeds[placement.Worker]
		e.result.Lost += waits * float64(u.job.Accelerators) * (e.now - u.began).Seconds()
	}
	e.learned.Observe(u.job.WorkClass, time.Duration(u.job.RunTimeMs)*time.Millisecond, u.run)
	e.drop(u)
	w := u.workflow
	if u.step.left--; u.step.left > 0 {
		return
	}
	if w.open--; w.open > 0 {
		e.begin(w.steps[len(w.steps)-w.open])
		return
	}
	w.ended, w.done = e.now, true
}

func (e *engine) fail(u *unit) {
	e.result.Failed++
	e.result.Lost += u.width() * (e.now - u.began).Seconds()
	u.job.OwnFailures++
	if u.job.OwnFailures >= u.job.MaxAttempts {
		e.cancel(u.workflow)
		return
	}
	e.stopping(u, failTime)
}

// stopping frees what the unit holds after a while; checkpoints keep its work.
func (e *engine) stopping(u *unit, took time.Duration) {
	kept := time.Duration(0)
	if u.job.Checkpointable {
		kept = u.worked(e.now) / e.day.CheckpointEvery * e.day.CheckpointEvery
	}
	u.done = min(u.done+kept, u.run-time.Millisecond)
	u.job.CheckpointedMs = u.done.Milliseconds()
	u.job.State = controlpb.JobState_JOB_STATE_STOPPING
	u.job.Epoch++
	e.events.Add(e.now+took, event{kind: eventWaiting, unit: u, epoch: u.job.Epoch})
}

func (e *engine) wait(u *unit) {
	u.job.State, u.job.Placements, u.job.StartedMs = controlpb.JobState_JOB_STATE_WAITING, nil, 0
}

// lose takes a worker away: the members of its gangs elsewhere give their room back at
// once, and the gangs may begin anew when the worker's lease has surely run out.
func (e *engine) lose(worker string) {
	e.down[worker] = true
	for _, u := range e.active {
		on := slices.ContainsFunc(u.job.Placements, func(p *controlpb.Placement) bool { return p.Worker == worker })
		if !on || u.job.State != controlpb.JobState_JOB_STATE_RUNNING {
			continue
		}
		e.result.Lost += u.width() * (e.now - u.began).Seconds()
		e.stopping(u, e.day.LeaseWait)
		u.job.Placements = nil
	}
}

func (e *engine) pass() {
	if e.day.absent.holds(e.now) || (!e.news && e.now-e.passed < passAnyway) {
		return
	}
	e.news, e.passed = false, e.now
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
		Warm: e.warm.Update(jobs, now), RunTimes: e.learned, Disabled: e.off,
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

// observedAfter is the age from which a gang's progress tells its members' speeds.
const observedAfter = 1200 * time.Millisecond

// observe learns from gangs that have run for a while.
func (e *engine) observe() {
	learned := false
	for _, u := range e.active {
		if u.observed == u.job.Epoch || u.job.Tasks < 2 || u.job.StartedMs == 0 || e.now-u.began < observedAfter || len(u.job.Placements) == 0 {
			continue
		}
		u.observed, learned = u.job.Epoch, true
		for _, placement := range u.job.Placements {
			e.speedEstimator.Observe(workerspeed.Run{Job: u.job.Id, Epoch: u.job.Epoch}, placement.Worker, e.day.speeds[placement.Worker])
		}
	}
	if learned {
		e.speeds = e.speedEstimator.Speeds()
	}
}

func (e *engine) start(u *unit, placements []*controlpb.Placement) {
	e.result.Runs++
	u.runs++
	u.speed = e.day.speedOn(u, placements)
	u.began = e.now + startTime
	u.job.State, u.job.Placements = controlpb.JobState_JOB_STATE_RUNNING, placements
	u.job.StartedMs = u.began.Milliseconds()
	u.job.Epoch++
	left := u.run - u.done
	if u.done > 0 {
		left += e.day.RestoreTime
	}
	took := time.Duration(float64(left) / u.speed)
	if u.runs <= len(u.fails) && u.fails[u.runs-1] > 0 {
		at := u.began + time.Duration(u.fails[u.runs-1]*float64(took))
		e.events.Add(at, event{kind: eventFail, unit: u, epoch: u.job.Epoch})
		return
	}
	e.events.Add(u.began+took, event{kind: eventEnd, unit: u, epoch: u.job.Epoch})
}

func (e *engine) stop(u *unit) {
	e.result.Stopped++
	if e.now-u.began < time.Second {
		e.result.StoppedAtOnce++
	}
	before := u.done
	ran := (e.now - u.began).Seconds()
	e.stopping(u, e.day.StopTime)
	u.job.Preempted = true
	e.result.Lost += u.width() * max(ran-(u.done-before).Seconds(), 0)
}
