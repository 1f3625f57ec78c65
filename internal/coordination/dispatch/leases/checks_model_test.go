package leases_test

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// goodEnd is one good end of a task: noted once it was acknowledged, again the
// number of a run that began after it.
type goodEnd struct {
	on    *boot
	run   uint64
	noted bool
	again uint64
}

func (w *world) tell(format string, args ...any) {
	w.tellAt(time.Now(), format, args...)
}

func (w *world) tellAt(at time.Time, format string, args ...any) {
	w.story = append(w.story, fmt.Sprintf("%6d ms  ", at.Sub(w.begun).Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
		w.tell("BROKEN: %s", w.broken)
	}
}

// began checks a start against everything that is alive or was done.
func (w *world) began(on *boot, task string, run uint64, now time.Time) {
	w.tell("%s begins run %d of %s", on.id, run, task)
	for _, b := range w.boots {
		if other := b.running[task]; b != on && !b.down && other != nil {
			w.breaks("run %d of %s begins on %s while run %d is alive on %s", run, task, on.id, other.run, b.id)
		}
	}
	for _, end := range w.good[task] {
		end.again = run
		if end.noted {
			w.breaks("run %d of %s begins on %s although run %d was done and acknowledged", run, task, on.id, end.run)
		}
	}
	workflow, ok := w.state.Workflow(workflowOf(task))
	if ok && workflow.State == controlpb.WorkflowState_WORKFLOW_STATE_COMPLETED {
		w.breaks("run %d of %s begins although its workflow is completed", run, task)
	}
}

// done keeps a good end.
func (w *world) done(on *boot, task string, run uint64) {
	w.good[task] = append(w.good[task], &goodEnd{on: on, run: run})
}

// noted is called as a worker's end is acknowledged.
func (w *world) noted(on *boot, end leases.End) {
	for _, good := range w.good[end.Task] {
		if good.on != on || good.run != end.Run {
			continue
		}
		good.noted = true
		if good.again > 0 {
			w.breaks("run %d of %s was done, run %d began after it, and the good end was acknowledged", good.run, end.Task, good.again)
		}
	}
}
