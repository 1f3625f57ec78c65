package tasks

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Ending is how a run ended at its worker; empty for one that is alive.
type Ending string

// The endings.
const (
	Completed  Ending = "completed"
	Failed     Ending = "failed"
	Stopped    Ending = "stopped"
	LeaseEnded Ending = "lease ended"
	// Crashed ended with its worker.
	Crashed Ending = "crashed"
	// Refused never held its accelerators, because another run still did. A system
	// that waits for leases to run out never asks for that.
	Refused Ending = "refused"
)

// Run is the record of one run of a task: what a worker really did, whatever the
// system took it for. Began is zero for a run that was reserved and not started.
// Ended is when the worker acted, not when its rules say that it should have.
type Run struct {
	api.TaskRef
	Worker       string    `json:"worker,omitempty"`
	Accelerators []uint32  `json:"accelerators,omitempty"`
	Reserved     time.Time `json:"reserved"`
	Began        time.Time `json:"began,omitzero"`
	Ended        time.Time `json:"ended,omitzero"`
	Ending       Ending    `json:"ending,omitempty"`
	// From is the work of earlier runs that this one went on from, and Kept that
	// which its last checkpoint has, in declared milliseconds.
	From int64 `json:"from_ms,omitempty"`
	Kept int64 `json:"kept_ms,omitempty"`
}

// Runs gives the record, oldest first; it is empty without Options.KeepRuns.
func (t *Table) Runs(now time.Time) []Run {
	t.Advance(now)
	runs := make([]Run, len(t.runs))
	for i, run := range t.runs {
		runs[i] = *run
		runs[i].Accelerators = slices.Clone(run.Accelerators)
	}
	return runs
}

// Crash ends every task without a word, as the death of the worker does. The
// checkpoints that running tasks made of themselves stay.
func (t *Table) Crash(now time.Time) {
	t.Advance(now)
	for ref, task := range t.tasks {
		task.checkpoint(now)
		task.run.end(now, Crashed, task.report.CheckpointedMs)
		delete(t.tasks, ref)
	}
}

// FailAll makes every task that is reserved from now on fail, or not.
func (t *Table) FailAll(fail bool) { t.options.FailAll = fail }

// record begins the record of a run.
func (t *Table) record(now time.Time, command *api.TaskCommand) *Run {
	run := &Run{TaskRef: command.TaskRef, Accelerators: command.Accelerators, Reserved: now, From: command.CheckpointedMs}
	if t.options.KeepRuns {
		t.runs = append(t.runs, run)
	}
	return run
}

// end notes the first end of a run.
func (r *Run) end(now time.Time, ending Ending, kept int64) {
	if r.Ending != "" {
		return
	}
	r.Ended, r.Ending, r.Kept = now, ending, kept
}
