package leases

import (
	"cmp"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// fakeCluster is the log of a leader with one announced worker. The worker behaves as
// real ones do: leases expire by its own clock, lower tokens than the highest seen are
// rejected, and stopped runs never begin.
type fakeCluster struct {
	mu          sync.Mutex
	state       *store.State
	term        uint64
	leader      bool
	fresh       bool
	clockStart  time.Time
	partitioned bool
	delay       time.Duration
	replaced    bool
	// announcedAt is the address that the worker's announcements name; empty for its own.
	announcedAt string
	// refusesConnections is set while nothing listens at the worker's address.
	refusesConnections bool
	// outOfDescriptors is set while the leader has no file descriptor for a connection.
	outOfDescriptors bool
	// leaving and departed are the flags of the worker's latest announcement.
	leaving  bool
	departed bool
	// silent is set while the worker's announcements have expired.
	silent     bool
	token      uint64
	lease      int64
	running    map[string]uint64
	fencedRuns map[string]uint64
	ends       []End
	endCount   uint64
	polls      int
	// beforeState and afterCheck are called before State returns, and after CheckFresh has looked; nil for none.
	beforeState, afterCheck func()
	// started holds the start commands that were received.
	started []Start
}

func newFakeCluster(state *store.State) *fakeCluster {
	return &fakeCluster{state: state, term: 1, leader: true, fresh: true, clockStart: time.Now(), running: map[string]uint64{}, fencedRuns: map[string]uint64{}}
}

func (c *fakeCluster) State() *store.State {
	c.mu.Lock()
	state, hook := c.state, c.beforeState
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
	return state
}

func (c *fakeCluster) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *fakeCluster) Term() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

func (c *fakeCluster) CheckFresh() error {
	c.mu.Lock()
	fresh, hook := c.fresh, c.afterCheck
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
	if !fresh {
		return failure.New(failure.StaleState, "leadership not confirmed")
	}
	return nil
}

func (c *fakeCluster) Changed() <-chan struct{} { return nil }

func (c *fakeCluster) Get(id string) (*peerpb.Upstream, bool) {
	for _, announced := range c.Live(0) {
		return announced, true
	}
	return nil, false
}
func (c *fakeCluster) KnownSince(string, int64) (time.Time, bool) { return time.Time{}, false }
func (c *fakeCluster) Live(peerpb.UpstreamKind) []*peerpb.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return nil
	}
	announced := proto.CloneOf(worker)
	announced.Leaving, announced.Departed = c.leaving, c.departed
	announced.Address = cmp.Or(c.announcedAt, worker.Address)
	return []*peerpb.Upstream{announced}
}

// end ends the run of the placed task in the given way.
func (c *fakeCluster) end(outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, "w.0.0.0")
	c.endCount++
	c.ends = append(c.ends, End{Number: c.endCount, Task: "w.0.0.0", Run: 1, Outcome: outcome})
}

var worker = &peerpb.Upstream{Id: "i-1", Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Address: "a", DataCentre: "east", Incarnation: 1, Version: 1}

func (c *fakeCluster) clock() int64 { return time.Since(c.clockStart).Milliseconds() }

// deliver delivers a request to the worker after the configured delay, or never.
func (c *fakeCluster) deliver(ctx context.Context, address string, token uint64) error {
	c.mu.Lock()
	partitioned, delay, outOfDescriptors := c.partitioned, c.delay, c.outOfDescriptors
	c.mu.Unlock()
	if outOfDescriptors {
		return failure.New(failure.OutOfDescriptors, "too many open files")
	}
	if partitioned {
		<-ctx.Done()
		return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "cut")
	}
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusesConnections {
		return failure.New(failure.OutcomeUnknown, "connection refused")
	}
	if c.replaced || address != worker.Address {
		return failure.New(failure.WorkerVanished, "another boot")
	}
	if token < c.token {
		return failure.New(failure.StaleEpoch, "fence")
	}
	c.token = token
	return nil
}

func (c *fakeCluster) Poll(ctx context.Context, target Target, request Poll) (*Report, error) {
	if err := c.deliver(ctx, target.Address, request.Token); err != nil {
		return nil, err
	}
	time.Sleep(request.Wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	c.lease = max(c.lease, request.Deadline)
	report := &Report{Clock: c.clock()}
	for task, run := range c.running {
		report.Running = append(report.Running, Running{Task: task, Run: run})
	}
	for _, end := range c.ends {
		if end.Number > request.Acknowledged {
			report.Ends = append(report.Ends, end)
		}
	}
	return report, nil
}

func (c *fakeCluster) Start(ctx context.Context, target Target, start Start) (int64, error) {
	if err := c.deliver(ctx, target.Address, start.Token); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = append(c.started, start)
	if start.Run <= c.fencedRuns[start.Task] || start.Deadline < c.clock() {
		return 0, failure.New(failure.StaleEpoch, "superseded or past its deadline")
	}
	c.running[start.Task] = start.Run
	c.lease = max(c.lease, start.Deadline)
	return c.clock(), nil
}

func (c *fakeCluster) Stop(ctx context.Context, target Target, stop Stop) (int64, error) {
	if err := c.deliver(ctx, target.Address, stop.Token); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencedRuns[stop.Task] = max(c.fencedRuns[stop.Task], stop.Run)
	if c.running[stop.Task] == stop.Run {
		delete(c.running, stop.Task)
		c.endCount++
		c.ends = append(c.ends, End{Number: c.endCount, Task: stop.Task, Run: stop.Run, Outcome: Stopped, Checkpoint: "kept"})
	}
	return c.clock(), nil
}

// set changes the worker or the leadership while the manager is running.
func (c *fakeCluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// placedState returns a state with one task of a workflow placed on the worker, and the
// further jobs of that workflow.
func placedState(further ...*controlpb.Job) *store.State {
	job := &controlpb.Job{
		Id: "w.0.0.0", Workflow: "w", Tasks: 1, Epoch: 1, State: controlpb.JobState_JOB_STATE_STARTING,
		Placements: []*controlpb.Placement{{Worker: "i-1", Incarnation: 1}},
	}
	return store.Restore(&controlpb.Snapshot{Jobs: append(further, job), Workflows: []*controlpb.Workflow{{Id: "w", Specification: "s"}}})
}

func startManager(t *testing.T, c *fakeCluster) *Manager {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := NewManager(Config{Lease: lease, FreshnessBound: time.Second, Now: time.Now, Wake: func() {}, Logger: logger}, c, c, c)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * (pollWait + pollMargin))
	})
	time.Sleep(4 * refreshInterval)
	return m
}

func sendCommand(m *Manager, path string) (*api.TaskAnswer, error) {
	command := &api.TaskCommand{TaskRef: api.TaskRef{Job: "w.0.0.0", Epoch: 1}, Incarnation: 1}
	return m.Command(context.Background(), "", path, command)
}

// withManager runs a test in a synctest bubble with a manager and one placed task.
func withManager(t *testing.T, test func(is *is.I, c *fakeCluster, m *Manager)) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(placedState())
		test(is.New(t), c, startManager(t, c))
	})
}

// expired reports whether the first run of the placed task can no longer be active on the
// worker.
func expired(m *Manager, worker string) bool {
	job := &controlpb.Job{Id: "w.0.0.0", Workflow: "w", Epoch: 1}
	return m.LeaseExpired(job, &controlpb.Placement{Worker: worker, Incarnation: 1})
}
