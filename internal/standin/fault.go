package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// Isolate partitions the worker from all instances: it sends no announcements, and
// commands are held and executed late, after Reconnect. Its tasks run until their
// leases expire.
func (w *Worker) Isolate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcer.isolated.Store(true)
	select {
	case <-w.reachable:
		w.reachable = make(chan struct{})
	default:
	}
}

// IsolateExcept partitions the worker from all instances but one: it announces itself
// only to that instance, and commands are held until Reconnect.
func (w *Worker) IsolateExcept(server string) {
	w.Isolate()
	w.announcer.onlyServer.Store(&server)
	w.announcer.isolated.Store(false)
}

// Reconnect ends an isolation.
func (w *Worker) Reconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcer.isolated.Store(false)
	w.announcer.onlyServer.Store(nil)
	select {
	case <-w.reachable:
	default:
		close(w.reachable)
	}
}

// Crash ends the worker and its tasks at once, without notice to any instance. Its
// record of runs stays available; another Worker with a later incarnation replaces it.
func (w *Worker) Crash() {
	w.Isolate()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Crash(time.Now())
}

// FailAll sets whether tasks that arrive from now on fail.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.FailAll(fail)
}

// Runs returns the record of every run that this worker was asked to reserve.
func (w *Worker) Runs() []tasks.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.table.Runs(time.Now())
	for i := range runs {
		runs[i].Worker = w.announcement.ID
	}
	return runs
}

func (w *Worker) listRuns(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.Runs())
}

func (w *Worker) reachableSignal() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reachable
}
