package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// WorkerOptions describe a stand-in worker and how its tasks behave.
type WorkerOptions struct {
	Announcement api.Announcement
	Servers      []string
	Token        string
	// Record receives a line for each task that completed; nil for none.
	Record *Record
	Tasks  tasks.Options
}

// Worker is a stand-in worker: the network interface of a table of tasks.
type Worker struct {
	announcement api.Announcement
	announcer    *announcer
	record       *Record
	mu           sync.Mutex
	table        *tasks.Table
	// wake notifies runTimer that the next deadline may have changed.
	wake chan struct{}
	// reachable is closed while commands can reach the worker.
	reachable chan struct{}
}

// NewWorker makes a worker.
func NewWorker(options WorkerOptions) *Worker {
	options.Tasks.Incarnation = options.Announcement.Incarnation
	reachable := make(chan struct{})
	close(reachable)
	return &Worker{
		reachable:    reachable,
		announcement: options.Announcement,
		announcer:    newAnnouncer(api.PathAnnounceWorker, options.Servers, options.Token),
		record:       options.Record,
		table:        tasks.New(options.Tasks),
		wake:         make(chan struct{}, 1),
	}
}

// Run announces and ends tasks whose leases expire, until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.runTimer(ctx)
	w.announcer.run(ctx, w.describe, w.handleReply)
}

// Handler serves the commands of instances.
func (w *Worker) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+api.PathTaskReserve, w.command(w.table.Reserve))
	routes.HandleFunc("POST "+api.PathTaskStart, w.command(w.table.Start))
	routes.HandleFunc("POST "+api.PathTaskStop, w.command(w.table.Stop))
	routes.HandleFunc("POST "+api.PathTaskThrottle, w.command(w.table.Throttle))
	routes.HandleFunc("GET /runs", w.listRuns)
	return routes
}

type commandFunc func(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error)

func (w *Worker) command(do commandFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		command := &api.TaskCommand{}
		if err := json.NewDecoder(r.Body).Decode(command); err != nil {
			writeFailure(rw, failure.Wrap(failure.BadRequest, err, "command"))
			return
		}
		<-w.reachableSignal()
		w.mu.Lock()
		answer, err := do(time.Now(), command)
		w.mu.Unlock()
		w.wakeTimer()
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

func (w *Worker) wakeTimer() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// idleInterval is how long runTimer sleeps when no task has a deadline.
const idleInterval = time.Minute

// runTimer ends tasks when their run time is over or their lease has expired. The
// system relies on the latter to reuse the accelerators of an unreachable worker.
func (w *Worker) runTimer(ctx context.Context) {
	for {
		w.mu.Lock()
		ended := w.table.Advance(time.Now())
		next := w.table.Next()
		w.mu.Unlock()
		if ended {
			w.announcer.announceNow()
		}
		sleep := idleInterval
		if !next.IsZero() {
			sleep = max(time.Until(next), time.Millisecond)
		}
		timer := time.NewTimer(sleep)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (w *Worker) describe() *api.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	announcement := w.announcement
	announcement.Version, announcement.Tasks = w.table.Announce(time.Now())
	for _, task := range announcement.Tasks {
		if task.Phase == api.PhaseCompleted {
			w.record.writeOnce("task", fmt.Sprintf("%s %d", task.Job, task.Task), task.Epoch)
		}
	}
	return &announcement
}

func (w *Worker) handleReply(announcement *api.Announcement, reply *api.AnnounceReply) {
	w.mu.Lock()
	w.table.Take(time.Now(), announcement.Version, reply)
	w.mu.Unlock()
	w.wakeTimer()
}
