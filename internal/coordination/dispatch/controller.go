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
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/standing"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/warmth"
	"pinewinch.example/pinewinch/internal/coordination/inventory"
	"pinewinch.example/pinewinch/internal/coordination/recurrence"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// passEvery bounds how long news of an upstream waits for a pass.
	passEvery = 100 * time.Millisecond
	// idleEvery is the pause while no job is open: then only the inventory can
	// come due, and everything else comes by way of the log, which wakes at once.
	idleEvery = time.Second
)

// gatherFor is how long answers of workers wait for others before a step, so that those
// of one gang, or of a wave of jobs, cost one entry.
const gatherFor = 2 * time.Millisecond

// plansRefused counts plans that would have broken an invariant.
var plansRefused = expvar.NewInt("dispatch_plans_refused")

// Log is what the controller needs of the replicated log.
type Log interface {
	Control
	IsLeader() bool
	Changed() <-chan struct{}
}

// Controller is the one goroutine that decides on the leader: inventory, then
// scheduling, then dispatch, once for all news that has gathered.
type Controller struct {
	log        Log
	dispatcher *Dispatcher
	registry   Registry
	now        func() time.Time
	inventory  inventory.Planner
	passes     passGate
	waiting    atomic.Pointer[[]scheduling.Reason]
	led        bool
	// newest is the plan before the next one: its cells stay where they are.
	newest   *scheduling.Plan
	runTimes *runTimes
	warmth   warmth.Warmth
	waits    standing.Watch
	judged   verdicts
	open     openWorkflows
}

// NewController makes a controller.
func NewController(log Log, dispatcher *Dispatcher, registry Registry, now func() time.Time) *Controller {
	c := &Controller{log: log, dispatcher: dispatcher, registry: registry, now: now}
	c.newest = &scheduling.Plan{}
	c.runTimes = newRunTimes()
	c.waiting.Store(&[]scheduling.Reason{})
	return c
}

// Waiting lists why jobs waited in the newest pass.
func (c *Controller) Waiting() []scheduling.Reason { return *c.waiting.Load() }

// Run decides until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := c.log.Changed()
		c.Turn(ctx)
		timer.Reset(c.pause())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.dispatcher.Wake():
			control.Pause(ctx, gatherFor)
		case <-timer.C:
		}
	}
}

func (c *Controller) pause() time.Duration {
	state := c.log.State()
	if c.led && state.Active() == 0 && !recurrence.Awaited(state) {
		return idleEvery
	}
	return passEvery
}

// Turn takes one step if this instance leads. What an earlier term remembered is
// dropped at the first step of a new one.
func (c *Controller) Turn(ctx context.Context) {
	term := c.dispatcher.leadership()
	leads := c.log.IsLeader()
	if leads && (!c.led || term != c.dispatcher.term) {
		c.dispatcher.Reset(term)
		c.inventory = inventory.Planner{}
		c.passes = passGate{}
		c.waits = standing.Watch{}
		c.newest.Standing = nil
	}
	if c.led && !leads {
		tellStanding(standing.Summary{})
		c.nowJudged(nil)
	}
	c.led = leads
	if !leads {
		c.dispatcher.Follow()
		return
	}
	c.step(ctx)
}

func (c *Controller) step(ctx context.Context) {
	c.open.look(c.log.State(), c.dispatcher.config.Logger)
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
	// The announcements are read before leadership is confirmed, which Reconcile
	// counts on.
	live := c.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	c.schedule(ctx, live)
	c.dispatcher.Reconcile(ctx, live)
}

// propose bounds how long a log without a quorum holds the controller. What was
// not committed is decided again by a later step.
func (c *Controller) propose(ctx context.Context, command *controlpb.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.DecidedIn = c.dispatcher.term
	result, err := c.log.Propose(ctx, command)
	c.dispatcher.logRefusal(result, err)
	return err == nil && result.GetCode() == ""
}

func (c *Controller) schedule(ctx context.Context, live []*peerpb.Upstream) {
	state := c.log.State()
	workers, probing := c.judge(state, live)
	if !c.passes.open(state.Index(), workers, c.now()) {
		return
	}
	snapshot := c.snapshot(state, workers)
	c.passes.expect(snapshot.Jobs)
	plan := scheduling.Pass(snapshot)
	c.newest = plan
	c.waiting.Store(&plan.Waiting)
	if plan.Breach != nil {
		plansRefused.Add(1)
	}
	c.passes.expectStanding(plan)
	c.watchWaits(state, snapshot, plan)
	assignments := quarantine.Limit(plan.Assignments, func(worker string) bool { return probing[worker] })
	c.dispatcher.logLeftOut(plan.Assignments, assignments, "a worker is probed by another job")
	heard := c.toHeardWorkers(assignments)
	c.dispatcher.logLeftOut(assignments, heard, "a worker has not been heard in this leadership")
	assignments = heard
	if len(assignments) == 0 && len(plan.Preemptions) == 0 {
		return
	}
	c.addressStarts(assignments)
	commit := &controlpb.CommitPlan{Assignments: assignments, Preemptions: plan.Preemptions}
	c.dispatcher.logPlan(state, commit, c.registry, c.waits.Waited)
	c.propose(ctx, &controlpb.Command{Op: &controlpb.Command_Plan{Plan: commit}})
}

// watchWaits tells of the work that the plan leaves waiting, and of what stands.
func (c *Controller) watchWaits(state *store.State, snapshot *scheduling.Snapshot, plan *scheduling.Plan) {
	told, warned, summary := c.waits.Look(snapshot.Now, snapshot.Jobs, plan)
	tellStanding(summary)
	c.dispatcher.logWaits(state, told, warned)
}

// toHeardWorkers leaves out what would go to a worker that has not announced itself in
// this leadership. The leader before may have seen it vanish: its start would wait for an
// announcement all the same, and end as an attempt of the job. A later pass decides anew.
func (c *Controller) toHeardWorkers(assignments []*controlpb.Assignment) []*controlpb.Assignment {
	if c.dispatcher.config.LeaseOver != nil {
		return assignments
	}
	now := c.now()
	unheard := func(p *controlpb.Placement) bool { return !c.dispatcher.machine.Heard(p.Worker, now) }
	var heard []*controlpb.Assignment
	for _, assignment := range assignments {
		if !slices.ContainsFunc(assignment.Placements, unheard) {
			heard = append(heard, assignment)
		}
	}
	if len(heard) < len(assignments) {
		c.passes = passGate{}
	}
	return heard
}

// judge lists the live workers as scheduling sees them, and those that may be
// given one job as a probe: none while such a job is on it.
func (c *Controller) judge(state *store.State, live []*peerpb.Upstream) (workers []scheduling.Worker, probing map[string]bool) {
	probing = map[string]bool{}
	judged := verdicts{}
	workers = make([]scheduling.Worker, 0, len(live))
	speeds := c.dispatcher.speeds()
	// Most often no worker is probed, and nobody asks which hold tasks.
	holding := sync.OnceValue(func() map[string]bool { return holdingTasks(state) })
	for _, worker := range live {
		verdict := c.dispatcher.verdict(state, worker.Id)
		if verdict == quarantine.Probing && holding()[worker.Id] {
			verdict = quarantine.Quarantined
		}
		if verdict == quarantine.Probing {
			probing[worker.Id] = true
		}
		refused := verdict == quarantine.CoolingDown || verdict == quarantine.Quarantined
		if verdict != quarantine.Healthy {
			judged[worker.Id] = verdict
		}
		if verdict != c.judged[worker.Id] {
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
			Unavailable:  worker.Leaving || state.Drained(worker.Id) || refused,
		})
	}
	c.nowJudged(judged)
	return workers, probing
}

// nowJudged takes over newer verdicts, and tells their numbers where they have changed.
func (c *Controller) nowJudged(judged verdicts) {
	if !maps.Equal(judged, c.judged) {
		judged.tell()
	}
	c.judged = judged
}

// addressStarts notes for which start of its worker each task is meant.
func (c *Controller) addressStarts(assignments []*controlpb.Assignment) {
	for _, assignment := range assignments {
		for _, placement := range assignment.Placements {
			if worker, ok := c.registry.Get(placement.Worker); ok {
				placement.Incarnation = worker.Incarnation
			}
		}
	}
}

// holdingTasks lists the workers that hold tasks of open jobs, for all workers at once: a
// cut leaves hundreds of workers to be probed, and a look at all jobs for each of them
// would hold up every step.
func holdingTasks(state *store.State) map[string]bool {
	holding := map[string]bool{}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			holding[placement.Worker] = true
		}
	}
	return holding
}

func (c *Controller) snapshot(state *store.State, workers []scheduling.Worker) *scheduling.Snapshot {
	jobs := state.ActiveJobs()
	snapshot := &scheduling.Snapshot{
		Now:       c.now(),
		Workers:   workers,
		Jobs:      jobs,
		Customers: map[string]*controlpb.Customer{},
		Rules:     state.Rules(),
		Warm:      c.warmth.Look(jobs, c.now()),
		RunTimes:  c.runTimes.upTo(state),
	}
	snapshot.GoOnFrom(c.newest)
	for _, customer := range state.Customers() {
		snapshot.Customers[customer.Name] = customer
	}
	return snapshot
}
