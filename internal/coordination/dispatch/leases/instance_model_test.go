package leases_test

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// plant is a fault put into a leader on purpose, to see that the checks notice.
type plant int

const (
	noPlant plant = iota
	// acknowledgeAtOnce forgets ends before the log has them.
	acknowledgeAtOnce
	// leaseOverAtOnce takes a silent worker's runs for ended.
	leaseOverAtOnce
	// neverStale goes on ordering after the leadership is lost.
	neverStale
	// stopIsReport takes the answer to a stop for the proof of the end.
	stopIsReport
	// longLease orders longer leases than are waited for.
	longLease
)

// instance is one that may lead: its view of the log, its keeper and dispatcher.
type instance struct {
	world  *world
	number int
	// cut is set while it hears nothing of the log.
	cut bool
	// frozen is until when it does nothing; it hears nothing of the log until knows.
	frozen, knows time.Time
	// state, led and confirmed are the last it knew: of the log, of its own
	// leadership, and of that being confirmed.
	state     *store.State
	led       uint64
	confirmed time.Time
	// unreachable are the workers that it cannot reach.
	unreachable map[string]bool
	keeper      *leases.Keeper
	dispatcher  *dispatch.Dispatcher
	acting      uint64
}

func newInstance(w *world, number int) *instance {
	i := &instance{world: w, number: number, state: w.state, unreachable: map[string]bool{}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config := leases.Config{Lease: holdFor, FreshnessBound: freshness, Now: time.Now, Wake: func() {}, Logger: logger}
	i.keeper = leases.NewKeeper(config, i, i, i)
	i.dispatcher = dispatch.New(dispatch.Config{
		Gang:      gang.Config{Lease: holdFor, FreshnessBound: freshness, AnnounceEvery: 500 * time.Millisecond, CommandTimeout: 2 * time.Second},
		LeaseOver: i.leaseOver,
		Term:      i.Term,
		Now:       time.Now,
	}, i, i)
	return i
}

func (i *instance) leaseOver(worker string) bool {
	i.thaw()
	if i.world.plant == leaseOverAtOnce {
		return true
	}
	return i.keeper.LeaseOver(worker)
}

// blind tells an instance that hears nothing of the log.
func (i *instance) blind() bool { return i.cut || time.Now().Before(i.knows) }

// State implements the log for keeper and dispatcher.
func (i *instance) State() *store.State {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	if !i.blind() {
		i.state = i.world.state
	}
	return i.state
}

// IsLeader is what the instance believes: one that hears nothing goes on to believe
// for longer than it may order.
func (i *instance) IsLeader() bool {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	return i.believes(10 * freshness)
}

func (i *instance) believes(patience time.Duration) bool {
	if i.world.leader == i && !i.blind() {
		i.confirmed, i.led = time.Now(), i.world.term
		return true
	}
	return i.blind() && i.led > 0 && (i.world.plant == neverStale || time.Since(i.confirmed) <= patience)
}

func (i *instance) Term() uint64 {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	if i.blind() {
		return i.led
	}
	return i.world.term
}

// thaw waits while the instance is frozen.
func (i *instance) thaw() {
	i.world.mu.Lock()
	until := i.frozen
	i.world.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (i *instance) Fresh() error {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	if !i.believes(freshness) {
		return failure.New(failure.StaleState, "not confirmed")
	}
	return nil
}

func (i *instance) Changed() <-chan struct{} { return nil }

// Propose commits by way of the leader of now, whoever decided.
func (i *instance) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	time.Sleep(10 * time.Millisecond)
	i.thaw()
	w := i.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.cut {
		w.tell("instance %d proposes in vain", i.number)
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "cut off")
	}
	w.advance(time.Now())
	return w.apply(command), nil
}

// Get and Live implement the registry: a worker is known for 4 s after it went.
func (i *instance) Get(string) (*peerpb.Upstream, bool) { return nil, false }

func (i *instance) Live(peerpb.UpstreamKind) []*peerpb.Upstream {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	var live []*peerpb.Upstream
	for _, b := range i.world.boots {
		if !b.down {
			live = append(live, &peerpb.Upstream{
				Id: b.id, Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Address: b.id, Incarnation: 1, Version: 1, Accelerators: 4,
			})
		}
	}
	return live
}

// act is one turn of the instance's controller.
func (i *instance) act(ctx context.Context) {
	i.thaw()
	if !i.IsLeader() {
		return
	}
	term := i.Term()
	if i.acting != term {
		i.acting = term
		i.dispatcher.Reset(term)
	}
	live := i.keeper.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	i.place(ctx, live, term)
	i.dispatcher.Reconcile(ctx, live)
}

// place gives waiting jobs random workers.
func (i *instance) place(ctx context.Context, live []*peerpb.Upstream, term uint64) {
	live = slices.DeleteFunc(slices.Clone(live), func(u *peerpb.Upstream) bool { return u.Leaving })
	if len(live) == 0 {
		return
	}
	state := i.State()
	plan := &controlpb.CommitPlan{}
	i.world.mu.Lock()
	for _, job := range state.ActiveJobs() {
		if job.State != controlpb.JobState_JOB_STATE_WAITING || job.NotBeforeMs > time.Now().UnixMilli() {
			continue
		}
		assignment := &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch}
		for task := range job.Tasks {
			on := live[i.world.rand.IntN(len(live))]
			assignment.Placements = append(assignment.Placements, &controlpb.Placement{Task: task, Worker: on.Id, Incarnation: 1})
		}
		plan.Assignments = append(plan.Assignments, assignment)
	}
	i.world.mu.Unlock()
	if len(plan.Assignments) > 0 {
		_, _ = i.Propose(ctx, &controlpb.Command{DecidedIn: term, Op: &controlpb.Command_Plan{Plan: plan}})
	}
}
