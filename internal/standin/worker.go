package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// WorkerOptions describe a stand-in worker and how it misbehaves.
type WorkerOptions struct {
	Announcement api.Announcement
	Servers      []string
	// Speed divides the declared run times: 1000 runs a declared second in 1 ms.
	Speed float64
	// FailAll fails every task that starts.
	FailAll bool
	// IgnoreStop answers a stop but goes on until the lease ends.
	IgnoreStop bool
	// Overrun multiplies run times beyond the declared ones; 0 means 1.
	Overrun float64
}

// Worker is a stand-in worker.
type Worker struct {
	options   WorkerOptions
	announcer *announcer
	mu        sync.Mutex
	tasks     map[api.TaskRef]*task
	version   uint64
	// highest keeps the newest epoch seen of each task, which outlives its run.
	highest map[string]uint64
}

type task struct {
	report   api.TaskReport
	command  api.TaskCommand
	deadline time.Time
	started  time.Time
	timer    *time.Timer
}

// NewWorker makes a worker.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{
		options:   options,
		announcer: newAnnouncer(api.PathAnnounceWorker, options.Servers),
		tasks:     map[api.TaskRef]*task{},
		highest:   map[string]uint64{},
	}
}

// Run announces and keeps leases until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.watchLeases(ctx)
	w.announcer.run(ctx, w.describe, w.take)
}

// Handler serves the commands of instances.
func (w *Worker) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+api.PathTaskReserve, w.command(w.reserve))
	routes.HandleFunc("POST "+api.PathTaskStart, w.command(w.start))
	routes.HandleFunc("POST "+api.PathTaskStop, w.command(w.stop))
	return routes
}

func (w *Worker) command(do func(*api.TaskCommand) (*api.TaskAnswer, *failure.Error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		command := &api.TaskCommand{}
		if err := json.NewDecoder(r.Body).Decode(command); err != nil {
			writeFailure(rw, failure.Wrap(failure.BadRequest, err, "command"))
			return
		}
		w.mu.Lock()
		answer, err := do(command)
		w.mu.Unlock()
		if err != nil {
			writeFailure(rw, err)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(answer)
	}
}

func writeFailure(w http.ResponseWriter, f *failure.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderNotRun, string(f.NotRun))
	w.WriteHeader(f.HTTPStatus())
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Code: f.Code, Message: f.Message, NotRun: f.NotRun})
}

// reserve refuses an accelerator that another task holds, and an epoch older
// than one seen: late commands of a stopped gang must not come alive.
func (w *Worker) reserve(command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	key := taskKey(command.TaskRef)
	if command.Epoch < w.highest[key] {
		return nil, failure.New(failure.StaleEpoch, "a later epoch was seen")
	}
	if _, ok := w.tasks[command.TaskRef]; ok {
		return &api.TaskAnswer{}, nil
	}
	if w.overlaps(command) {
		return nil, failure.New(failure.Overloaded, "an accelerator is taken")
	}
	w.highest[key] = command.Epoch
	w.tasks[command.TaskRef] = &task{
		report:   api.TaskReport{Job: command.Job, Task: command.Task, Epoch: command.Epoch, Phase: api.PhaseReserved},
		command:  *command,
		deadline: time.Now().Add(time.Duration(command.LeaseMs) * time.Millisecond),
	}
	return &api.TaskAnswer{}, nil
}

func taskKey(ref api.TaskRef) string { return ref.Job + "#" + string(rune(ref.Task)) }

func (w *Worker) overlaps(command *api.TaskCommand) bool {
	for _, other := range w.tasks {
		if !live(other.report.Phase) {
			continue
		}
		for _, held := range other.command.Accelerators {
			for _, wanted := range command.Accelerators {
				if held == wanted {
					return true
				}
			}
		}
	}
	return false
}

func live(phase string) bool { return phase == api.PhaseReserved || phase == api.PhaseRunning }

func (w *Worker) start(command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t, ok := w.tasks[command.TaskRef]
	if !ok {
		return nil, failure.New(failure.NotFound, "not reserved")
	}
	if t.report.Phase != api.PhaseReserved {
		return &api.TaskAnswer{}, nil
	}
	t.report.Phase = api.PhaseRunning
	t.started = time.Now()
	t.timer = time.AfterFunc(w.runTime(command), func() { w.end(command.TaskRef) })
	return &api.TaskAnswer{}, nil
}

func (w *Worker) runTime(command *api.TaskCommand) time.Duration {
	ms := float64(command.RunTimeMs - command.CheckpointedMs)
	if w.options.Overrun > 0 {
		ms *= w.options.Overrun
	}
	return time.Duration(ms / w.options.Speed * float64(time.Millisecond))
}

func (w *Worker) end(ref api.TaskRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[ref]
	if !ok || t.report.Phase != api.PhaseRunning {
		return
	}
	t.report.Phase = api.PhaseCompleted
	if w.options.FailAll {
		t.report.Phase = api.PhaseFailed
		t.report.Code = "task_failed"
		t.report.Detail = "this worker fails everything"
	}
	w.announcer.hurry()
}

func (w *Worker) stop(command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	key := taskKey(command.TaskRef)
	// A stop may overtake its own reserve; the next epoch is the first allowed.
	w.highest[key] = max(w.highest[key], command.Epoch+1)
	t, ok := w.tasks[command.TaskRef]
	if !ok || !live(t.report.Phase) {
		return &api.TaskAnswer{}, nil
	}
	if w.options.IgnoreStop {
		return nil, failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "this worker ignores stops")
	}
	answer := &api.TaskAnswer{}
	if command.Checkpoint && t.report.Phase == api.PhaseRunning {
		done := float64(time.Since(t.started).Milliseconds()) * w.options.Speed
		answer.CheckpointedMs = command.CheckpointedMs + int64(done)
	}
	w.halt(t)
	return answer, nil
}

func (w *Worker) halt(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.report.Phase = api.PhaseStopped
}

const leaseCheckEvery = 50 * time.Millisecond

// watchLeases stops what nobody has renewed: that is what lets the system
// reuse the accelerators of a worker that it cannot reach.
func (w *Worker) watchLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.expire(now)
		}
	}
}

func (w *Worker) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if live(t.report.Phase) && now.After(t.deadline) {
			w.halt(t)
		}
	}
}

func (w *Worker) describe() *api.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	announcement := w.options.Announcement
	announcement.Version = w.version
	for _, t := range w.tasks {
		announcement.Tasks = append(announcement.Tasks, t.report)
	}
	return &announcement
}

func (w *Worker) take(reply *api.AnnounceReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lease := time.Now().Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	for _, ref := range reply.Renew {
		if t, ok := w.tasks[ref]; ok {
			t.deadline = lease
		}
	}
	for _, ref := range reply.Stop {
		if t, ok := w.tasks[ref]; ok && !w.options.IgnoreStop {
			w.halt(t)
		}
	}
	for _, ref := range reply.Forget {
		if t, ok := w.tasks[ref]; ok && !live(t.report.Phase) {
			delete(w.tasks, ref)
		}
	}
}
