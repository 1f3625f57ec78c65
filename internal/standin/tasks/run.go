package tasks

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Ending is how a run ended at its worker; empty for a run that is still alive.
type Ending string

// The values of Ending.
const (
	Completed  Ending = "completed"
	Failed     Ending = "failed"
	Stopped    Ending = "stopped"
	LeaseEnded Ending = "lease ended"
	// Crashed is the ending of a run whose worker crashed.
	Crashed Ending = "crashed"
	// Refused is the ending of a run that never held its accelerators, because another
	// run still did. A system that waits until leases expire never requests this.
	Refused Ending = "refused"
)

// Run is the record of one run of a task: what the worker actually did, which may differ
// from what the system recorded. Began is zero for a run that was reserved and not
// started. Ended is when the worker acted, not the deadline at which it should have.
type Run struct {
	api.TaskRef
	Worker       string    `json:"worker,omitempty"`
	Accelerators []uint32  `json:"accelerators,omitempty"`
	Reserved     time.Time `json:"reserved"`
	Began        time.Time `json:"began,omitzero"`
	Ended        time.Time `json:"ended,omitzero"`
	Ending       Ending    `json:"ending,omitempty"`
	// From is the work of earlier runs that this run resumed from, and Kept the work
	// that its last checkpoint holds, both in milliseconds of the declared run time.
	From int64 `json:"from_ms,omitempty"`
	Kept int64 `json:"kept_ms,omitempty"`
}

// Runs returns the recorded runs, oldest first; none without Options.KeepRuns.
func (t *Table) Runs(now time.Time) []Run {
	t.Advance(now)
	runs := make([]Run, len(t.runs))
	for i, run := range t.runs {
		runs[i] = *run
		runs[i].Accelerators = slices.Clone(run.Accelerators)
	}
	return runs
}

// Crash ends every task without a report, as a crash of the worker does. The periodic
// checkpoints of running tasks are kept.
func (t *Table) Crash(now time.Time) {
	t.Advance(now)
	for ref, task := range t.tasks {
		task.checkpoint(now)
		task.run.end(now, Crashed, task.report.CheckpointedMs)
		delete(t.tasks, ref)
	}
}

// FailAll sets whether tasks that are reserved from now on fail.
func (t *Table) FailAll(fail bool) { t.options.FailAll = fail }

// newRun creates the record of a run.
func (t *Table) newRun(now time.Time, command *api.TaskCommand) *Run {
	run := &Run{TaskRef: command.TaskRef, Accelerators: command.Accelerators, Reserved: now, From: command.CheckpointedMs}
	if t.options.KeepRuns {
		t.runs = append(t.runs, run)
	}
	return run
}

// end records the end of a run; later calls have no effect.
func (r *Run) end(now time.Time, ending Ending, kept int64) {
	if r.Ending != "" {
		return
	}
	r.Ended, r.Ending, r.Kept = now, ending, kept
}
