package gangs

import (
	"fmt"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// Kind of a violation.
type Kind string

// The kinds of violations.
const (
	AcceleratorShared       Kind = "an accelerator in two runs"
	PartialRun              Kind = "a part of a gang ran alone for too long"
	EpochsOverlap           Kind = "two epochs of a gang at once"
	StartedBeforeReserved   Kind = "a gang started before all was reserved"
	JobLost                 Kind = "a job forgotten or without an end"
	ParkedWithoutFailure    Kind = "a job parked without evidence"
	CompletedWithoutFullRun Kind = "completed without a whole run"
	RanAfterCompletion      Kind = "run again after its end"
	TaskCompletedTwice      Kind = "done twice"
	UnknownCheckpoint       Kind = "a checkpoint that no run made"
	PreemptionLate          Kind = "guaranteed work started too late"
	CancelIgnored           Kind = "a cancellation without effect"
	OccurrenceMismatch      Kind = "an occurrence of an entry without one job"
	RunningAfterEnd         Kind = "still running when its job had ended"
)

// Violation is one detected violation of the promised behaviour.
type Violation struct {
	Kind   Kind
	Detail string
}

// Report holds counts of a run and the violations found.
type Report struct {
	Jobs, Completed, Cancelled, Parked int
	Runs, Epochs, Broken               int
	// Repeated counts idempotent gangs that ran again after a complete run whose end was
	// not reported because of a failure.
	Repeated int
	// LongestPartialRun is the longest time in which only part of a gang ran, and
	// LongestPreemption the longest from the submission to the start of guaranteed work.
	LongestPartialRun, LongestPreemption time.Duration
	// QuietTakeBacks counts the starts of guaranteed work during which nothing failed.
	QuietTakeBacks int
	// QuietStops counts the runs that were stopped during those, and SurelyTakenBack the
	// ones of jobs that were stopped more often than they failed: at least one of the stops
	// was a preemption.
	QuietStops, SurelyTakenBack int
	// LongestStart is the longest time between the starts of a gang's first and last task.
	LongestStart time.Duration
	Violations   []Violation
}

// String formats the report on one line.
func (r *Report) String() string {
	return fmt.Sprintf("%d jobs: %d completed, %d cancelled, %d parked; %d runs in %d epochs, %d of them broken, %d repeated; longest start %s, longest part alone %s, longest take-back %s, %d quiet; %d violations",
		r.Jobs, r.Completed, r.Cancelled, r.Parked, r.Runs, r.Epochs, r.Broken, r.Repeated,
		r.LongestStart.Round(time.Millisecond), r.LongestPartialRun.Round(time.Millisecond), r.LongestPreemption.Round(time.Millisecond), r.QuietTakeBacks, len(r.Violations))
}

func (r *Report) add(kind Kind, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{kind, fmt.Sprintf(format, args...)})
}

// check is the state of one call of Check.
type check struct {
	*Evidence
	*Report
	jobs   map[string]api.Job
	byName map[string][]*epoch
}

// Check checks the evidence of a run for violations.
func Check(evidence *Evidence) *Report {
	c := &check{Evidence: evidence, Report: &Report{}, jobs: map[string]api.Job{}, byName: map[string][]*epoch{}}
	c.Report.Runs = len(evidence.Runs)
	for _, job := range evidence.Jobs {
		c.jobs[job.ID] = job
	}
	for _, e := range evidence.epochs() {
		c.Report.Epochs++
		c.checkEpochsDisjoint(e)
		c.checkReservedBeforeStart(e)
		c.checkPartialRuns(e)
		c.byName[e.job] = append(c.byName[e.job], e)
	}
	c.checkAccelerators()
	for _, job := range evidence.Jobs {
		c.checkJob(job)
	}
	for _, submitted := range evidence.Submitted {
		c.checkSubmitted(submitted)
	}
	c.checkOccurrences()
	return c.Report
}

// checkAccelerators reports accelerators that were given to two runs at once. A worker
// refuses the second, so its refusal counts as much as an overlap.
func (c *check) checkAccelerators() {
	type accelerator struct {
		worker string
		number uint32
	}
	held := map[accelerator][]tasks.Run{}
	for _, run := range c.Evidence.Runs {
		if run.Ending == tasks.Refused {
			c.add(AcceleratorShared, "%s refused task %d of %s epoch %d at %s on %v", run.Worker, run.Task, run.Job, run.Epoch, clock(run.Reserved), run.Accelerators)
			continue
		}
		for _, number := range run.Accelerators {
			at := accelerator{run.Worker, number}
			held[at] = append(held[at], run)
		}
	}
	for at, runs := range held {
		slices.SortFunc(runs, func(a, b tasks.Run) int { return a.Reserved.Compare(b.Reserved) })
		for i := 1; i < len(runs); i++ {
			if before := runs[i-1]; before.Ended.IsZero() || before.Ended.After(runs[i].Reserved) {
				c.add(AcceleratorShared, "%s/%d: %s epoch %d and %s epoch %d", at.worker, at.number, before.Job, before.Epoch, runs[i].Job, runs[i].Epoch)
			}
		}
	}
}

// checkReservedBeforeStart requires that every task was reserved before the first started.
func (c *check) checkReservedBeforeStart(e *epoch) {
	first, _, _ := e.startTimes(len(e.runs))
	if first.IsZero() {
		return
	}
	reserved := 0
	for _, run := range e.runs {
		if !run.Reserved.After(first) {
			reserved++
		}
	}
	if size := c.size(e.job); reserved < size {
		c.add(StartedBeforeReserved, "%d of %d reserved: %s", reserved, size, e)
	}
}

// checkEpochsDisjoint requires that all runs of earlier epochs ended before the next one
// started.
func (c *check) checkEpochsDisjoint(e *epoch) {
	first, _, _ := e.startTimes(len(e.runs))
	if first.IsZero() {
		return
	}
	for _, before := range c.byName[e.job] {
		for task, run := range before.runs {
			if run.Ended.IsZero() || run.Ended.After(first) {
				c.add(EpochsOverlap, "task %d still ran: %s; then %s", task, before, e)
			}
		}
	}
}

// checkPartialRuns measures how long tasks of a gang ran while another one no longer could:
// it had failed, was stopped, or had never started.
func (c *check) checkPartialRuns(e *epoch) {
	var broken time.Time
	first, last, all := e.startTimes(c.size(e.job))
	c.LongestStart = max(c.LongestStart, last.Sub(first))
	if skew := last.Sub(first); skew > c.Bounds.Alone {
		c.add(PartialRun, "%s apart, bound %s: %s", skew, c.Bounds.Alone, e)
	}
	for _, run := range e.runs {
		if run.Ending != tasks.Completed && !run.Ended.IsZero() && (broken.IsZero() || run.Ended.Before(broken)) {
			broken = run.Ended
		}
	}
	if !all {
		broken = first
	}
	if broken.IsZero() || first.IsZero() {
		return
	}
	c.Broken++
	broken = later(broken, first)
	var end time.Time
	for _, run := range e.runs {
		if !run.Began.IsZero() {
			end = later(end, run.Ended)
		}
	}
	took := later(end, last).Sub(broken)
	c.LongestPartialRun = max(c.LongestPartialRun, took)
	if took > c.Bounds.Alone {
		c.add(PartialRun, "%s, bound %s: %s", took, c.Bounds.Alone, e)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *check) size(job string) int { return c.Classes[c.jobs[job].WorkClass].Tasks }
