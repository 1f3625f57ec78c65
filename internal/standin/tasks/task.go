package tasks

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	fullSpeedPercent = 100
	// memoryCheckAfter is the share of its run time after which the worker detects that
	// a task uses more memory than declared.
	memoryCheckAfter = 0.1
)

// task is one run. Its work is counted in milliseconds of the declared run time.
type task struct {
	options  Options
	command  api.TaskCommand
	report   api.TaskReport
	run      *Run
	deadline time.Time
	// done is the work completed until since; from then on it grows by rate per
	// millisecond.
	done  float64
	since time.Time
	rate  float64
}

func newTask(options Options, command *api.TaskCommand, deadline time.Time, run *Run) *task {
	return &task{
		options:  options,
		command:  *command,
		run:      run,
		deadline: deadline,
		done:     float64(command.CheckpointedMs),
		rate:     options.Speed,
		report: api.TaskReport{
			Job: command.Job, Task: command.Task, Epoch: command.Epoch,
			Phase: api.PhaseReserved, CheckpointedMs: command.CheckpointedMs,
		},
	}
}

func (t *task) live() bool {
	return t.report.Phase == api.PhaseReserved || t.report.Phase == api.PhaseRunning
}

func (t *task) answer() *api.TaskAnswer {
	return &api.TaskAnswer{Incarnation: t.options.Incarnation, Phase: t.report.Phase, CheckpointedMs: t.report.CheckpointedMs}
}

// answerUnlessEnded refuses a run that failed or was stopped: the answer must not
// suggest that this member of the gang can still run.
func (t *task) answerUnlessEnded() (*api.TaskAnswer, *failure.Error) {
	if t.live() || t.report.Phase == api.PhaseCompleted {
		return t.answer(), nil
	}
	return nil, failure.New(failure.StaleEpoch, "this run has ended: %s", t.report.Phase)
}

func (t *task) renew(deadline time.Time) {
	if deadline.After(t.deadline) {
		t.deadline = deadline
	}
}

func (t *task) start(now time.Time) {
	t.report.Phase = api.PhaseRunning
	t.report.MemoryMB = t.memory()
	t.since = now
	t.run.Began = now
}

func (t *task) memory() uint64 {
	if t.options.TaskMemoryMB > 0 {
		return t.options.TaskMemoryMB
	}
	return t.command.MemoryMB
}

func (t *task) throttle(now time.Time, percent uint32) {
	t.done = t.doneAt(now)
	t.since = now
	t.rate = t.options.Speed * float64(percent) / fullSpeedPercent
}

func (t *task) doneAt(now time.Time) float64 {
	return t.done + float64(now.Sub(t.since))/float64(time.Millisecond)*t.rate
}

// workToEnd returns the work after which the run ends, because it is complete or because
// the worker detects that it uses too much memory.
func (t *task) workToEnd() float64 {
	needed := float64(t.command.RunTimeMs)
	if t.options.Overrun > 0 {
		needed *= t.options.Overrun
	}
	if t.overMemory() {
		needed *= memoryCheckAfter
	}
	return needed
}

func (t *task) overMemory() bool {
	return t.command.MemoryMB > 0 && t.memory() > t.command.MemoryMB
}

func (t *task) endsAt() time.Time {
	left := max((t.workToEnd()-t.done)/t.rate, 0)
	return t.since.Add(time.Duration(left * float64(time.Millisecond)))
}

func (t *task) next() time.Time {
	if !t.live() {
		return time.Time{}
	}
	if t.report.Phase == api.PhaseRunning && t.endsAt().Before(t.deadline) {
		return t.endsAt()
	}
	return t.deadline
}

func (t *task) advance(now time.Time) (ended bool) {
	if !t.live() || now.Before(t.next()) {
		return false
	}
	if t.report.Phase == api.PhaseRunning && t.endsAt().Before(t.deadline) {
		t.end()
		t.run.end(now, Ending(t.report.Phase), t.report.CheckpointedMs)
		return true
	}
	t.stop(t.deadline, true)
	t.report.Code = string(failure.LeaseLost)
	t.run.end(now, LeaseEnded, t.report.CheckpointedMs)
	return true
}

func (t *task) end() {
	switch {
	case t.overMemory():
		t.fail(failure.MemoryExceeded, "used more memory than declared")
	case t.options.FailAll:
		t.fail(failure.TaskFailed, "the worker is configured to fail all tasks")
	default:
		t.report.Phase = api.PhaseCompleted
	}
}

func (t *task) fail(code failure.Code, detail string) {
	t.report.Phase = api.PhaseFailed
	t.report.Code = string(code)
	t.report.Detail = detail
}

// checkpoint updates the report with the newest periodic checkpoint of a running task.
func (t *task) checkpoint(now time.Time) {
	every := t.options.CheckpointEvery.Milliseconds()
	if every == 0 || !t.command.Checkpoint || t.report.Phase != api.PhaseRunning {
		return
	}
	done := int64(t.doneAt(now))
	t.report.CheckpointedMs = max(t.report.CheckpointedMs, done-done%every)
}

// stop ends a live run, with a checkpoint if the task is checkpointable. The report
// keeps the checkpoint, so that a repeated stop gets the same answer.
func (t *task) stop(now time.Time, checkpoint bool) {
	if !t.live() {
		return
	}
	if checkpoint && t.command.Checkpoint && t.report.Phase == api.PhaseRunning {
		t.report.CheckpointedMs = int64(t.doneAt(now))
	}
	t.report.Phase = api.PhaseStopped
}
