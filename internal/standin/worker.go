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
	// Record takes a line for each task that completed; nil for none.
	Record *Record
	Tasks  tasks.Options
}

// Worker is a stand-in worker: the sockets around a table of tasks.
type Worker struct {
	announcement api.Announcement
	announcer    *announcer
	record       *Record
	mu           sync.Mutex
	table        *tasks.Table
	// wake tells the clock that the next end may have moved.
	wake chan struct{}
	// passage is closed while commands come through.
	passage chan struct{}
}

// NewWorker makes a worker.
func NewWorker(options WorkerOptions) *Worker {
	options.Tasks.Incarnation = options.Announcement.Incarnation
	passage := make(chan struct{})
	close(passage)
	return &Worker{
		passage:      passage,
		announcement: options.Announcement,
		announcer:    newAnnouncer(api.PathAnnounceWorker, options.Servers, options.Token),
		record:       options.Record,
		table:        tasks.New(options.Tasks),
		wake:         make(chan struct{}, 1),
	}
}

// Run announces and keeps leases until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.keepTime(ctx)
	w.announcer.run(ctx, w.describe, w.take)
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
		<-w.passageNow()
		w.mu.Lock()
		answer, err := do(time.Now(), command)
		w.mu.Unlock()
		w.hurry()
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

func (w *Worker) hurry() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// idleCheck is how long the clock sleeps when no task will end by itself.
const idleCheck = time.Minute

// keepTime ends tasks on time, and what nobody has renewed: that is what lets
// the system reuse the accelerators of a worker that it cannot reach.
func (w *Worker) keepTime(ctx context.Context) {
	for {
		w.mu.Lock()
		ended := w.table.Advance(time.Now())
		next := w.table.Next()
		w.mu.Unlock()
		if ended {
			w.announcer.hurry()
		}
		sleep := idleCheck
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
			w.record.once("task", fmt.Sprintf("%s %d", task.Job, task.Task), task.Epoch)
		}
	}
	return &announcement
}

func (w *Worker) take(announcement *api.Announcement, reply *api.AnnounceReply) {
	w.mu.Lock()
	w.table.Take(time.Now(), announcement.Version, reply)
	w.mu.Unlock()
	w.hurry()
}
