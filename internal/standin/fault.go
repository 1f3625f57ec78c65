package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// Isolate cuts the worker off: it announces nothing, and commands are held until
// Rejoin and taken then, late. Its tasks go on until their leases end.
func (w *Worker) Isolate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcer.muted.Store(true)
	select {
	case <-w.passage:
		w.passage = make(chan struct{})
	default:
	}
}

// Strand leaves the worker on an island with one instance: it announces itself to
// that one alone, and commands are held until Rejoin.
func (w *Worker) Strand(server string) {
	w.Isolate()
	w.announcer.only.Store(&server)
	w.announcer.muted.Store(false)
}

// Rejoin ends an isolation.
func (w *Worker) Rejoin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcer.muted.Store(false)
	w.announcer.only.Store(nil)
	select {
	case <-w.passage:
	default:
		close(w.passage)
	}
}

// Crash ends the worker and its tasks at once, without a word. Its record stays;
// another Worker with a later incarnation takes its place.
func (w *Worker) Crash() {
	w.Isolate()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Crash(time.Now())
}

// FailAll makes every task that comes from now on fail, or not.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.FailAll(fail)
}

// Runs gives the record of every run that this worker was asked for.
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

func (w *Worker) passageNow() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.passage
}
