package dispatch

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/evacuation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/isolation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/keepwarm"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/starvation"
	"pinewinch.example/pinewinch/internal/coordination/inventory"
	"pinewinch.example/pinewinch/internal/coordination/recurrence"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// passInterval is the longest time until a change of an upstream is considered.
	passInterval = 100 * time.Millisecond
	// idleInterval is the time between ticks while no job is open: then only inventory
	// jobs can become due, and all other work arrives through the log, which wakes the
	// controller immediately.
	idleInterval = time.Second
)

// slowCommitInterval is the time between two steps during a commit. Most commits take less,
// so that they cost no additional step, which looks at all jobs.
const slowCommitInterval = 50 * time.Millisecond

// batchDelay is how long a step is delayed after a worker's answer, so that the answers
// of one gang, or of many jobs started together, share one log entry.
const batchDelay = 2 * time.Millisecond

// plansRefused counts plans that would have violated an invariant.
var plansRefused = expvar.NewInt("dispatch_plans_refused")

// Log is the part of the replicated log that the controller uses.
type Log interface {
	Control
	IsLeader() bool
	Changed() <-chan struct{}
}

// Controller makes the leader's decisions in one goroutine. Each step runs inventory,
// scheduling and dispatch in this order, for all changes since the step before.
type Controller struct {
	log        Log
	dispatcher *Dispatcher
	registry   Registry
	now        func() time.Time
	inventory  inventory.Planner
	passGate   passGate
	waiting    atomic.Pointer[[]scheduling.Reason]
	led        bool
	// lastPlan is the newest plan; the next one keeps its cells in place.
	lastPlan *scheduling.Plan
	runTimes *runTimes
	keepWarm keepwarm.Tracker
	waits    starvation.Tracker
	verdicts verdicts
	// kept are the workers that are given work although their failures exclude them.
	kept      map[string]bool
	workflows openWorkflows
	isolation isolation.Keeper
	// crashVerdicts has the jobs whose last verdict by crashes was not clear.
	crashVerdicts map[string]crashes.Verdict
	// unmet are the guarantees that could not be held in the newest pass.
	unmet       unmetGuarantees
	evacuations evacuation.Tracker
	// uneven is set while the speeds of the workers differ widely.
	uneven bool
}

// NewController returns a controller that has made no plan yet.
func NewController(log Log, dispatcher *Dispatcher, registry Registry, now func() time.Time) *Controller {
	c := &Controller{log: log, dispatcher: dispatcher, registry: registry, now: now}
	c.lastPlan = &scheduling.Plan{}
	c.runTimes = newRunTimes()
	c.waiting.Store(&[]scheduling.Reason{})
	return c
}

// Waiting returns the reasons for which jobs waited in the newest pass.
func (c *Controller) Waiting() []scheduling.Reason { return *c.waiting.Load() }

// Run executes ticks until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := c.log.Changed()
		c.Tick(ctx)
		timer.Reset(c.pause())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.dispatcher.Wake():
			control.Sleep(ctx, batchDelay)
		case <-timer.C:
		}
	}
}

func (c *Controller) pause() time.Duration {
	state := c.log.State()
	if c.led && state.ActiveCount() == 0 && !recurrence.HasPending(state) {
		return idleInterval
	}
	return passInterval
}

// Tick runs one step if this instance leads. Data kept from an earlier term is
// discarded at the first step of a new one.
func (c *Controller) Tick(ctx context.Context) {
	term := c.dispatcher.currentTerm()
	leads := c.log.IsLeader()
	if leads && (!c.led || term != c.dispatcher.term) {
		c.dispatcher.Reset(term)
		c.inventory = inventory.Planner{}
		c.passGate = passGate{}
		c.waits = starvation.Tracker{}
		c.lastPlan.Starved = nil
	}
	if c.led && !leads {
		publishStarvation(starvation.Summary{})
		c.setVerdicts(nil)
		c.forgetEvacuations()
		c.forgetIsolation()
	}
	c.led = leads
	if !leads {
		c.dispatcher.ObserveStops()
		return
	}
	c.step(ctx)
}

func (c *Controller) step(ctx context.Context) {
	c.workflows.update(c.log.State(), c.dispatcher.config.Logger)
	if due := c.inventory.Due(c.log.State(), c.now()); len(due) > 0 {
		command := &controlpb.Command{Op: &controlpb.Command_SubmitJobs{SubmitJobs: &controlpb.SubmitJobs{Jobs: due}}}
		if !c.propose(ctx, command) {
			return
		}
	}
	if due := recurrence.Due(c.log.State(), c.now()); len(due) > 0 {
		command := &controlpb.Command{Op: &controlpb.Command_StartRepetitions{StartRepetitions: &controlpb.StartRepetitions{Due: due}}}
		if !c.propose(ctx, command) {
			return
		}
	}
	// Reconcile requires that the announcements are read before leadership is confirmed.
	live := c.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	c.schedule(ctx, live)
	if output := c.dispatcher.advance(ctx, live); !output.Empty() {
		c.whileCommitting(ctx, func() { c.dispatcher.commit(ctx, output) })
	}
}

// whileCommitting runs commit, which waits for the log. If that takes long, it continues to
// send commands to workers: an answer to a reserve that waited for the commits of other
// jobs would let the reservation expire before its start is sent. Moves are left to a later
// step, which derives them again.
func (c *Controller) whileCommitting(ctx context.Context, commit func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		commit()
	}()
	ticker := time.NewTicker(slowCommitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			_ = c.dispatcher.advance(ctx, c.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER))
		}
	}
}

// propose commits a command and reports whether it took effect. It waits at most
// proposeTimeout, because a log may have no quorum; a later step decides again on what
// was not committed.
func (c *Controller) propose(ctx context.Context, command *controlpb.Command) bool {
	command.DecidedIn = c.dispatcher.term
	var result *controlpb.Result
	var err error
	c.whileCommitting(ctx, func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		result, err = c.log.Propose(ctx, command)
	})
	c.dispatcher.logFailedProposal(result, err)
	return err == nil && result.GetCode() == ""
}

func (c *Controller) schedule(ctx context.Context, live []*peerpb.Upstream) {
	state := c.log.State()
	workers, probing := c.evaluateWorkers(state, live)
	c.observeEvacuations(state, live)
	restricted := c.isolate(state, workers)
	if !c.passGate.admit(state.Index(), workers, c.now()) {
		return
	}
	snapshot := c.snapshot(state, workers)
	snapshot.Restricted = restricted
	c.passGate.expectBackoffEnds(snapshot.Jobs)
	plan := scheduling.Pass(snapshot)
	c.lastPlan = plan
	c.waiting.Store(&plan.Waiting)
	if plan.Breach != nil {
		plansRefused.Add(1)
	}
	c.passGate.expectStarvation(plan)
	c.drainEvacuated(state, snapshot, plan, live)
	c.reportWaits(state, snapshot, plan)
	c.reportUnmet(snapshot, plan)
	assignments := quarantine.LimitProbes(plan.Assignments, func(worker string) bool { return probing[worker] })
	c.dispatcher.logDropped(plan.Assignments, assignments, "a worker is being probed with another job")
	announced := c.toAnnouncedWorkers(assignments)
	c.dispatcher.logDropped(assignments, announced, "a worker has not announced itself in the current term")
	assignments = announced
	if len(assignments) == 0 && len(plan.Preemptions) == 0 {
		return
	}
	c.setIncarnations(assignments)
	c.dispatcher.logSeparations(plan, assignments)
	c.dispatcher.logOnQuarantined(plan, assignments)
	commit := &controlpb.CommitPlan{Assignments: assignments, Preemptions: plan.Preemptions}
	countExpected(state, plan.Expected, c.now())
	c.dispatcher.logPlan(state, commit, plan.Expected, c.registry, c.waits.Waited)
	if c.propose(ctx, &controlpb.Command{Op: &controlpb.Command_Plan{Plan: commit}}) {
		c.reportRetries(state, assignments)
	}
}

// reportWaits logs the jobs that the plan leaves waiting and publishes the metrics of
// the starved ones.
func (c *Controller) reportWaits(state *store.State, snapshot *scheduling.Snapshot, plan *scheduling.Plan) {
	toLog, toWarn, summary := c.waits.Observe(snapshot.Now, snapshot.Jobs, plan)
	publishStarvation(summary)
	c.dispatcher.logWaits(state, snapshot, toLog, toWarn)
}

// toAnnouncedWorkers drops assignments that use a worker which has not announced itself
// in the current term. The previous leader may have seen that worker disappear; the start
// would wait for an announcement anyway and then count as a failed attempt of the job. A
// later pass decides again.
func (c *Controller) toAnnouncedWorkers(assignments []*controlpb.Assignment) []*controlpb.Assignment {
	if c.dispatcher.config.LeaseExpired != nil {
		return assignments
	}
	now := c.now()
	unannounced := func(p *controlpb.Placement) bool { return !c.dispatcher.machine.AnnouncedWithinLease(p.Worker, now) }
	var announced []*controlpb.Assignment
	for _, assignment := range assignments {
		if !slices.ContainsFunc(assignment.Placements, unannounced) {
			announced = append(announced, assignment)
		}
	}
	if len(announced) < len(assignments) {
		c.passGate = passGate{}
	}
	return announced
}

// evaluateWorkers converts the live workers to the input of scheduling, and returns the
// set of quarantined workers that may be given one job as a probe. A worker that already
// holds a task is not probed.
func (c *Controller) evaluateWorkers(state *store.State, live []*peerpb.Upstream) (workers []scheduling.Worker, probing map[string]bool) {
	probing = map[string]bool{}
	current := verdicts{}
	workers = make([]scheduling.Worker, 0, len(live))
	speeds := c.dispatcher.speeds()
	held := c.heldWorkers(state, live)
	// Computed only on demand: usually no worker is due for a probe.
	holding := sync.OnceValue(func() map[string]time.Time { return workersHoldingTasks(state) })
	judged := c.judgeWorkers(state, live, holding)
	kept := c.keepInUse(state, live, judged, held)
	for _, worker := range live {
		verdict, badRecord := judged[worker.Id].verdict, judged[worker.Id].badRecord
		if verdict == quarantine.Probing {
			probing[worker.Id] = true
		}
		retired := worker.Leaving || state.Drained(worker.Id)
		failed := !kept[worker.Id] && (verdict == quarantine.CoolingDown || verdict == quarantine.Quarantined)
		evacuated := state.Evacuated(worker.DataCentre)
		var failedAt time.Time
		if failed && !retired && !evacuated && !held[worker.Id] {
			failedAt = c.dispatcher.newestFailure(state, worker.Id)
		}
		if verdict != quarantine.Healthy {
			current[worker.Id] = verdict
		}
		if verdict != c.verdicts[worker.Id] {
			c.dispatcher.logVerdict(state, worker.Id, verdict)
		}
		workers = append(workers, scheduling.Worker{
			ID:           worker.Id,
			DataCentre:   worker.DataCentre,
			Rack:         worker.Rack,
			Cores:        worker.Cores,
			CoresMilli:   worker.CoresMilli,
			Labels:       worker.Labels,
			Services:     worker.Services,
			MemoryMB:     worker.MemoryMb,
			Accelerators: worker.Accelerators,
			Speed:        speeds[worker.Id],
			BadRecord:    badRecord,
			Cold:         worker.Cold && c.dispatcher.config.Evacuation.ColdStart > 0,
			Unavailable:  retired || failed || evacuated || held[worker.Id],
			Evacuated:    evacuated && !retired && !failed,
			FailedAt:     failedAt,
		})
	}
	c.setVerdicts(current)
	c.dispatcher.removeDeparted(live)
	workersBadRecord.Set(int64(c.dispatcher.records.Count()))
	return workers, probing
}

// judgement is what the failures of a worker lead to.
type judgement struct {
	verdict   quarantine.Verdict
	badRecord bool
}

func (c *Controller) judgeWorkers(state *store.State, live []*peerpb.Upstream, holding func() map[string]time.Time) map[string]judgement {
	judged := make(map[string]judgement, len(live))
	for _, worker := range live {
		verdict, badRecord := c.dispatcher.judgeRecord(state, worker.Id)
		if verdict == quarantine.Probing {
			if answered, probed := holding()[worker.Id]; probed {
				verdict = quarantine.WhileProbed(c.dispatcher.failuresOf(state, worker.Id), answered)
			}
		}
		judged[worker.Id] = judgement{verdict, badRecord}
	}
	return judged
}

// keepInUse returns the workers that are given work although their failures exclude them. Those that get none
// for another reason keep no sound work going, so that they are not counted.
func (c *Controller) keepInUse(state *store.State, live []*peerpb.Upstream, judged map[string]judgement, held map[string]bool) map[string]bool {
	var usable []quarantine.Judged
	excluded := false
	for _, worker := range live {
		if worker.Leaving || state.Drained(worker.Id) || state.Evacuated(worker.DataCentre) || held[worker.Id] {
			continue
		}
		j := quarantine.Judged{
			Worker: worker.Id, Services: worker.Services, Verdict: judged[worker.Id].verdict,
			Room: quarantine.Room{CoresMilli: max(int64(worker.CoresMilli), 1000*int64(worker.Cores)), Accelerators: int64(worker.Accelerators)},
		}
		if health := state.Health(worker.Id); health != nil && len(health.Failures) > 0 {
			j.Failures, j.NewestMs = health.Consecutive, health.Failures[len(health.Failures)-1].TimeMs
		}
		excluded = excluded || j.Verdict != quarantine.Healthy
		usable = append(usable, j)
	}
	var kept map[string]bool
	if excluded {
		kept = quarantine.KeepInUse(usable)
	}
	c.dispatcher.logKept(c.kept, kept)
	c.kept = kept
	return kept
}

// setVerdicts stores the verdicts and publishes their counts if any has changed.
func (c *Controller) setVerdicts(current verdicts) {
	if !maps.Equal(current, c.verdicts) {
		current.publish()
	}
	c.verdicts = current
}

// setIncarnations records in each placement the incarnation and the address of its worker.
func (c *Controller) setIncarnations(assignments []*controlpb.Assignment) {
	for _, assignment := range assignments {
		for _, placement := range assignment.Placements {
			if worker, ok := c.registry.Get(placement.Worker); ok {
				placement.Incarnation, placement.Address = worker.Incarnation, worker.Address
			}
		}
	}
}

// workersHoldingTasks returns the workers that hold tasks of open jobs, each with the time at
// which the newest job that runs there was started; zero if none runs. It is built
// once for all workers: after a network partition hundreds of workers are due for a probe,
// and a scan of all jobs for each of them would delay every step.
func workersHoldingTasks(state *store.State) map[string]time.Time {
	holding := map[string]time.Time{}
	for _, job := range state.ActiveJobs() {
		var started time.Time
		if job.State == controlpb.JobState_JOB_STATE_RUNNING {
			started = time.UnixMilli(job.StartedMs)
		}
		for _, placement := range job.Placements {
			holding[placement.Worker] = latest(holding[placement.Worker], started)
		}
	}
	return holding
}

func (c *Controller) snapshot(state *store.State, workers []scheduling.Worker) *scheduling.Snapshot {
	jobs := state.ActiveJobs()
	features := c.features(workers)
	snapshot := &scheduling.Snapshot{
		Now:       c.now(),
		Workers:   workers,
		Jobs:      jobs,
		Customers: map[string]*controlpb.Customer{},
		Rules:     state.Rules(),
		Warm:      c.keepWarm.Update(jobs, c.now()),
		RunTimes:  c.runTimes.update(state, c.runFactors(features, workers)),
		Features:  features,
		MaxStand:  c.dispatcher.config.MaxStand,

		Interference: c.dispatcher.slowdowns(),
	}
	snapshot.CarryOver(c.lastPlan)
	for _, customer := range state.Customers() {
		snapshot.Customers[customer.Name] = customer
	}
	return snapshot
}
