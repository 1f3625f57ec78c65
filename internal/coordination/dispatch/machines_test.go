package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// crashing is the specification of work that crashes its worker crashDelay after its
	// start.
	crashing   = "crash"
	crashDelay = 60 * time.Millisecond
	// failDelay is how long a run takes on a machine at fault.
	failDelay = 100 * time.Millisecond
	// firstLifeClock is what the clocks of the first lives read at the beginning.
	firstLifeClock = 400 * time.Second
	// announcementTTL is how long a worker stays listed after it has crashed.
	announcementTTL = 900 * time.Millisecond
	simulatedLease  = 5 * time.Second
	// maxSimulatedLease is the longest lease that a machine grants.
	maxSimulatedLease = 10 * time.Second
)

// machines simulates workers that crash and start again, the log and the announcements.
// It implements the log, the registry and the client that a leader uses.
type machines struct {
	*fakeLog
	mu    sync.Mutex
	term  uint64
	list  []*machine
	pause time.Duration
	// linger keeps crashed lives listed beside the next ones for announcementTTL.
	linger   bool
	taskTime time.Duration
	// features, quarantine and maxAttempts configure the leaders and the work.
	features    scheduling.Features
	quarantine  quarantine.Config
	maxAttempts uint32
	maxStand    time.Duration
	// starts and crashes count by task; startsAfterCrashes counts the starts from the
	// third crash on.
	starts, crashes, startsAfterCrashes map[string]int
	// startedOn has each task, run and worker of a start that was carried out.
	startedOn map[string]bool
	// stop ends the current leader.
	stop func()
	// done has the tasks with a successful end that was acknowledged.
	done       map[string]bool
	violations []string
}

func newMachines(count int) *machines {
	m := &machines{
		fakeLog: &fakeLog{state: store.New(), changed: make(chan struct{})},
		pause:   time.Second, taskTime: 700 * time.Millisecond,
		starts: map[string]int{}, crashes: map[string]int{}, startsAfterCrashes: map[string]int{}, startedOn: map[string]bool{}, done: map[string]bool{},
	}
	for n := range count {
		m.list = append(m.list, &machine{address: fmt.Sprint("m", n), life: 1, up: true, running: map[string]*simulatedRun{}, endedAt: map[uint64]int64{}, cores: 32, born: time.Now().Add(-firstLifeClock), dayTime: time.Now().Add(-firstLifeClock)})
	}
	return m
}

// lead runs a new leader until the returned function is called.
func (m *machines) lead(t *testing.T) (stop func()) {
	m.mu.Lock()
	m.term++
	term := m.term
	m.mu.Unlock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	manager := leases.NewManager(leases.Config{
		Lease: simulatedLease, MaxLease: maxSimulatedLease, FreshnessBound: 1500 * time.Millisecond, Now: time.Now, Wake: func() {}, Logger: logger,
	}, m, m, m)
	dispatcher := dispatch.New(dispatch.Config{
		Gang:         gang.Config{Lease: simulatedLease, FreshnessBound: 1500 * time.Millisecond, AnnounceEvery: time.Second, CommandTimeout: 2 * time.Second},
		LeaseExpired: manager.LeaseExpired, Crashes: manager.Crashes, Term: func() uint64 { return term }, MayLead: true, Logger: logger, Now: time.Now,
		Features: m.features, Quarantine: m.quarantine, MaxStand: m.maxStand,
	}, m, manager)
	controller := dispatch.NewController(m, dispatcher, manager, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { manager.Run(ctx) })
	running.Go(func() { controller.Run(ctx) })
	m.stop = func() {
		cancel()
		running.Wait()
	}
	return m.stop
}

func (m *machines) stopLeader() { m.stop() }

// setJump sets the time of day of all machines off; it is seen at their next start.
func (m *machines) setJump(jump time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, machine := range m.list {
		machine.jump = jump
	}
}

func (m *machines) Term() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// submit submits a workflow of one step.
func (m *machines) submit(id, specification string, step *controlpb.Step) {
	step.Accelerators, step.RunTimeMs = max(step.Accelerators, 1), m.taskTime.Milliseconds()
	_, _ = m.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: &controlpb.Workflow{
		Id: id, Queue: "q", Service: "s", Specification: specification, MaxAttempts: cmp.Or(m.maxAttempts, 3), Steps: []*controlpb.Step{step},
	}}}})
}

func (m *machines) workflowState(id string) controlpb.WorkflowState {
	workflow, _ := m.State().Workflow(id)
	return workflow.GetState()
}

// await waits in simulated time.
func (m *machines) await(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s; starts %v", what, limit, m.starts)
		}
	}
}

// Get, KnownSince and Live implement the registry.
func (m *machines) Get(id string) (*peerpb.Upstream, bool) {
	for _, upstream := range m.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER) {
		if upstream.Id == id {
			return upstream, true
		}
	}
	return nil, false
}

func (m *machines) KnownSince(string, int64) (time.Time, bool) { return time.Time{}, false }
func (m *machines) Live(peerpb.UpstreamKind) []*peerpb.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []*peerpb.Upstream
	for _, machine := range m.list {
		if machine.up || time.Since(machine.crashedAt) < announcementTTL {
			live = append(live, machine.announcement())
		}
		if m.linger && machine.up && time.Since(machine.crashedAt) < announcementTTL {
			live = append(live, machine.crashedLife)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Upstream) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return live
}

// crash ends the current life of a machine; the caller holds mu. The next life begins after
// the pause.
func (m *machines) crash(machine *machine) {
	if !machine.up {
		return
	}
	machine.up, machine.crashedAt, machine.crashedLife = false, time.Now(), machine.announcement()
	for task := range machine.running {
		m.crashes[task]++
	}
	machine.running = map[string]*simulatedRun{}
	time.AfterFunc(m.pause, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		machine.life++
		machine.born, machine.dayTime = time.Now(), time.Now().Add(machine.jump)
		machine.up, machine.token, machine.lease, machine.ends, machine.endCount, machine.acked = true, 0, 0, nil, 0, 0
		machine.endedAt, machine.lapsed = map[uint64]int64{}, 0
	})
}

// losePower crashes all of the given machines at once.
func (m *machines) losePower(list ...*machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, machine := range list {
		m.crash(machine)
	}
}

// setSilent cuts a machine off, or ends that. Its runs go on until their lease expires.
func (m *machines) setSilent(number int, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list[number].silent = silent
}

// restart replaces the state by what its snapshot restores.
func (m *machines) restart() {
	m.fakeLog.mu.Lock()
	defer m.fakeLog.mu.Unlock()
	m.state = store.Restore(m.state.Snapshot())
}
