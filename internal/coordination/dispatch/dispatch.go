// Package dispatch carries out the plans: it reserves and starts gangs, stops
// them, and records what became of them. It runs on the leader.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Control is the replicated log as dispatch uses it.
type Control interface {
	State() *store.State
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Workers sends commands to workers.
type Workers interface {
	Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error)
}

// Registry knows where workers are.
type Registry interface {
	Get(id string) (*peerpb.Upstream, bool)
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
}

// Config of dispatch.
type Config struct {
	Lease time.Duration
	Now   func() time.Time
}

// Dispatcher brings the workers in line with the control state.
type Dispatcher struct {
	config   Config
	control  Control
	workers  Workers
	registry Registry
	mu       sync.Mutex
	// busy holds the epochs that a goroutine is working on.
	busy map[api.TaskRef]bool
}

// New makes a dispatcher.
func New(config Config, control Control, workers Workers, registry Registry) *Dispatcher {
	return &Dispatcher{config: config, control: control, workers: workers, registry: registry, busy: map[api.TaskRef]bool{}}
}

// Reconcile starts what the control state wants next of each active job.
func (d *Dispatcher) Reconcile(ctx context.Context) {
	for _, job := range d.control.State().ActiveJobs() {
		switch job.State {
		case controlpb.JobState_JOB_STATE_STARTING:
			d.background(job, func() { d.start(ctx, job) })
		case controlpb.JobState_JOB_STATE_STOPPING:
			d.background(job, func() { d.stop(ctx, job) })
		}
	}
	d.collect(ctx)
}

func (d *Dispatcher) background(job *controlpb.Job, work func()) {
	key := api.TaskRef{Job: job.Id, Epoch: job.Epoch, Task: uint32(job.State)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy[key] {
		return
	}
	d.busy[key] = true
	go func() {
		work()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.busy, key)
	}()
}

// start reserves every member, and only then starts any: a gang of which one
// member refuses has run nowhere.
func (d *Dispatcher) start(ctx context.Context, job *controlpb.Job) {
	for _, path := range []string{api.PathTaskReserve, api.PathTaskStart} {
		if err := d.all(ctx, job, path); err != nil {
			d.move(ctx, job, controlpb.JobState_JOB_STATE_STOPPING, taskFailure(err, d.config.Now()))
			return
		}
	}
	d.move(ctx, job, controlpb.JobState_JOB_STATE_RUNNING, nil)
}

// stop ends every member; a worker that is gone is waited for until its lease
// has surely run out.
func (d *Dispatcher) stop(ctx context.Context, job *controlpb.Job) {
	if err := d.all(ctx, job, api.PathTaskStop); err != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d.config.Lease):
		}
	}
	d.move(ctx, job, job.NextState, nil)
}

type memberError struct {
	worker string
	task   uint32
	err    error
}

// Error tells which worker failed.
func (e *memberError) Error() string { return e.worker + ": " + e.err.Error() }

// Unwrap gives the failure itself.
func (e *memberError) Unwrap() error { return e.err }

func (d *Dispatcher) all(ctx context.Context, job *controlpb.Job, path string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, placement := range job.Placements {
		group.Go(func() error {
			if err := d.one(ctx, job, placement, path); err != nil {
				return &memberError{worker: placement.Worker, task: placement.Task, err: err}
			}
			return nil
		})
	}
	return group.Wait()
}

func (d *Dispatcher) one(ctx context.Context, job *controlpb.Job, placement *controlpb.Placement, path string) error {
	worker, ok := d.registry.Get(placement.Worker)
	if !ok {
		return failure.New(failure.Unreachable, "worker has not announced itself")
	}
	_, err := d.workers.Command(ctx, worker.Address, path, &api.TaskCommand{
		TaskRef:        api.TaskRef{Job: job.Id, Task: placement.Task, Epoch: job.Epoch},
		Accelerators:   placement.Accelerators,
		Cores:          job.Cores,
		MemoryMB:       job.MemoryMb,
		RunTimeMs:      job.RunTimeMs,
		CheckpointedMs: job.CheckpointedMs,
		LeaseMs:        d.config.Lease.Milliseconds(),
		Checkpoint:     job.Checkpointable,
	})
	return err
}

func taskFailure(err error, now time.Time) *controlpb.TaskFailure {
	f := failure.From(err)
	report := &controlpb.TaskFailure{Code: string(f.Code), Detail: f.Message, TimeMs: now.UnixMilli()}
	if member, ok := err.(*memberError); ok {
		report.Worker = member.worker
		report.Task = member.task
	}
	return report
}

func (d *Dispatcher) move(ctx context.Context, job *controlpb.Job, state controlpb.JobState, why *controlpb.TaskFailure) {
	// A failed proposal is tried again by the next Reconcile, from the state.
	_, _ = d.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Move{Move: &controlpb.MoveJob{
		Job: job.Id, Epoch: job.Epoch, State: state, Failure: why,
	}}})
}

// collect records the tasks that workers report as ended.
func (d *Dispatcher) collect(ctx context.Context) {
	state := d.control.State()
	finish := &controlpb.FinishTasks{}
	for _, worker := range d.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER) {
		for _, report := range worker.Tasks {
			job, ok := state.Job(report.Job)
			if !ok || job.Epoch != report.Epoch || job.State != controlpb.JobState_JOB_STATE_RUNNING || slices.Contains(job.DoneTasks, report.Task) {
				continue
			}
			switch report.Phase {
			case peerpb.TaskPhase_TASK_PHASE_COMPLETED:
				finish.Tasks = append(finish.Tasks, &controlpb.FinishedTask{Job: report.Job, Epoch: report.Epoch, Task: report.Task})
			case peerpb.TaskPhase_TASK_PHASE_FAILED:
				d.move(ctx, job, controlpb.JobState_JOB_STATE_STOPPING, &controlpb.TaskFailure{
					Worker: worker.Id, Task: report.Task, Code: report.Code, Detail: report.Detail, TimeMs: d.config.Now().UnixMilli(),
				})
			}
		}
	}
	if len(finish.Tasks) > 0 {
		_, _ = d.control.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Finish{Finish: finish}})
	}
}
