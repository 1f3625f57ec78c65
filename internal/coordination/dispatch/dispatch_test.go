package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// fakeLog is an in-memory log of a single instance.
type fakeLog struct {
	mu        sync.Mutex
	state     *store.State
	stale     bool
	follower  bool
	proposals int
	changed   chan struct{}
	// commitTime is how long a proposal takes.
	commitTime time.Duration
}

func (l *fakeLog) IsLeader() bool           { return !l.follower }
func (l *fakeLog) Changed() <-chan struct{} { return l.changed }

func (l *fakeLog) State() *store.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *fakeLog) CheckFresh() error {
	if l.stale {
		return failure.New(failure.StaleState, "leadership not confirmed by a quorum")
	}
	return nil
}

func (l *fakeLog) Propose(_ context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	time.Sleep(l.commitTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposals++
	command.TimeMs = time.Now().UnixMilli()
	var result *controlpb.Result
	l.state, result = l.state.Apply(l.state.Index()+1, command)
	return result, nil
}

// fakeWorkers executes every command and counts commands by path.
type fakeWorkers struct {
	mu       sync.Mutex
	commands map[string]int
	// answerTime is how long a command takes.
	answerTime time.Duration
}

func (w *fakeWorkers) Command(ctx context.Context, _, path string, _ *api.TaskCommand) (*api.TaskAnswer, error) {
	w.mu.Lock()
	w.commands[path]++
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "cancelled")
	case <-time.After(w.answerTime):
	}
	phases := map[string]string{api.PathTaskReserve: api.PhaseReserved, api.PathTaskStart: api.PhaseRunning}
	return &api.TaskAnswer{Phase: phases[path]}, nil
}

// fakeRegistry has one worker, with a new announcement at every call of Live.
type fakeRegistry struct{ upstream *peerpb.Upstream }

func (r *fakeRegistry) Get(string) (*peerpb.Upstream, bool) { return r.upstream, true }

func (r *fakeRegistry) Live(peerpb.UpstreamKind) []*peerpb.Upstream {
	r.upstream = proto.CloneOf(r.upstream)
	r.upstream.Version++
	return []*peerpb.Upstream{r.upstream}
}

func newTestController() (*fakeLog, *fakeWorkers, *dispatch.Dispatcher, *dispatch.Controller) {
	log := &fakeLog{state: store.New(), changed: make(chan struct{})}
	workers := &fakeWorkers{commands: map[string]int{}}
	registry := &fakeRegistry{upstream: &peerpb.Upstream{Id: "w", Cores: 8, MemoryMb: 1000, Accelerators: 8, Version: 1}}
	config := dispatch.Config{Now: time.Now, MayLead: true, Gang: gang.Config{
		Lease: 10 * time.Second, FreshnessBound: 3 * time.Second, AnnounceEvery: time.Second, CommandTimeout: 2 * time.Second,
	}}
	dispatcher := dispatch.New(config, log, workers)
	return log, workers, dispatcher, dispatch.NewController(log, dispatcher, registry, time.Now)
}

func submit(log *fakeLog, jobs ...string) {
	op := &controlpb.SubmitJobs{}
	for _, id := range jobs {
		op.Jobs = append(op.Jobs, &controlpb.Job{Id: id, Tasks: 1, Accelerators: 1})
	}
	_, _ = log.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_SubmitJobs{SubmitJobs: op}})
}

func assign(log *fakeLog) {
	_, _ = log.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{
		Assignments: []*controlpb.Assignment{{Job: "j", Placements: []*controlpb.Placement{{Worker: "w", Accelerators: []uint32{0}}}}},
	}}})
}

// A leader whose leadership is no longer confirmed by a quorum must send no commands: the
// wait for expired leases does not cover commands sent in that time.
func TestUnconfirmedLeaderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, workers, dispatcher, _ := newTestController()
		live := []*peerpb.Upstream{{Id: "w", Version: 1}}
		submit(log, "j")
		assign(log)
		log.stale = true
		dispatcher.Reconcile(t.Context(), live)
		synctest.Wait()
		is.Equal(len(workers.commands), 0)
		log.stale = false
		dispatcher.Reconcile(t.Context(), live)
		synctest.Wait()
		is.Equal(len(workers.commands), 0) // the age of the announcement is unknown
		live = []*peerpb.Upstream{{Id: "w", Version: 2}}
		dispatcher.Reconcile(t.Context(), live)
		synctest.Wait()
		is.Equal(workers.commands[api.PathTaskReserve], 1)
	})
}

// Many jobs are submitted at once: one log entry places them all and one records that
// they run, regardless of their number.
func TestJobBurstTakesFewLogEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, workers, _, controller := newTestController()
		submit(log, "a", "b", "c", "d", "e", "f", "g", "h")
		before := log.proposals
		go controller.Run(t.Context())
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, job := range log.state.ActiveJobs() {
			is.Equal(job.State, controlpb.JobState_JOB_STATE_RUNNING)
		}
		is.Equal(workers.commands[api.PathTaskStart], 8)
		is.True(log.proposals-before <= 3)
	})
}

// A stop waits for the lease of a worker that no longer responds to expire. An instance that
// followed the log during that wait and then becomes the leader must not restart it.
func TestNewLeaderContinuesObservedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, _, _, controller := newTestController()
		stopping := &controlpb.Job{
			Id: "j", Tasks: 1, Accelerators: 1, Epoch: 1, Idempotent: true, StartedMs: 1,
			State: controlpb.JobState_JOB_STATE_STOPPING, NextState: controlpb.JobState_JOB_STATE_WAITING,
			Placements: []*controlpb.Placement{{Worker: "gone", Accelerators: []uint32{0}}},
		}
		log.state = store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{stopping}})
		log.follower = true
		controller.Tick(t.Context())
		time.Sleep(15 * time.Second)
		log.follower = false
		controller.Tick(t.Context())
		synctest.Wait()
		job, _ := log.state.Job("j")
		is.True(job.State != controlpb.JobState_JOB_STATE_STOPPING)
	})
}

// staleRegistry has a worker that announced itself before this instance led, and not since.
type staleRegistry struct{ upstream *peerpb.Upstream }

func (r staleRegistry) Get(string) (*peerpb.Upstream, bool) { return r.upstream, true }

func (r staleRegistry) Live(peerpb.UpstreamKind) []*peerpb.Upstream {
	return []*peerpb.Upstream{r.upstream}
}

// A new leader places a job on a worker that the previous leader had seen disappear, and
// the job loses an attempt.
func TestNewLeaderPlacesNothingOnUnannouncedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, _, dispatcher, _ := newTestController()
		worker := &peerpb.Upstream{Id: "w", Cores: 8, MemoryMb: 1000, Accelerators: 8, Version: 1}
		registry := &staleRegistry{worker}
		controller := dispatch.NewController(log, dispatcher, registry, time.Now)
		submit(log, "j")
		for range 10 {
			controller.Tick(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		job, _ := log.state.Job("j")
		is.Equal(job.Attempts, uint32(0))
		registry.upstream = proto.CloneOf(worker)
		registry.upstream.Version++
		for range 2 {
			controller.Tick(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		job, _ = log.state.Job("j")
		is.Equal(job.Attempts, uint32(1))
	})
}

// idleRegistry has any number of idle workers, which do not announce themselves again.
type idleRegistry struct{ list []*peerpb.Upstream }

func (r *idleRegistry) Get(string) (*peerpb.Upstream, bool)         { return r.list[0], true }
func (r *idleRegistry) Live(peerpb.UpstreamKind) []*peerpb.Upstream { return r.list }

// BenchmarkIdleTick measures one tick of a leader that has nothing to do; it runs ten
// ticks a second.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range []int{50, 1900} {
		b.Run(fmt.Sprint("workers=", size), func(b *testing.B) {
			registry := &idleRegistry{}
			for i := range size {
				registry.list = append(registry.list, &peerpb.Upstream{Id: fmt.Sprint("w", i), Accelerators: 1})
			}
			log := &fakeLog{state: store.New(), changed: make(chan struct{})}
			config := dispatch.Config{Now: time.Now, Gang: gang.Config{AnnounceEvery: time.Second}}
			dispatcher := dispatch.New(config, log, nil)
			controller := dispatch.NewController(log, dispatcher, registry, time.Now)
			b.ReportAllocs()
			for b.Loop() {
				controller.Tick(b.Context())
			}
		})
	}
}

// A gang's reservations must not expire while the leader waits for the log to commit
// something else: a job that keeps losing them never starts.
func TestStartDoesNotWaitForCommitOfAnotherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, workers, _, controller := newTestController()
		workers.answerTime = 600 * time.Millisecond // the start is under way when the commit ends
		controller.Tick(t.Context())
		time.Sleep(3 * time.Second)
		controller.Tick(t.Context())
		submit(log, "j")
		assign(log)
		submit(log, "other")
		log.commitTime = time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			controller.Run(ctx)
		}()
		time.Sleep(900 * time.Millisecond)
		workers.mu.Lock()
		started := workers.commands[api.PathTaskStart]
		workers.mu.Unlock()
		is.Equal(started, 1)
		time.Sleep(1500 * time.Millisecond) // the worker lists no tasks: later it counts as lost
		job, _ := log.State().Job("j")
		is.Equal(len(job.Failures), 0)
		cancel()
		<-ended
	})
}
