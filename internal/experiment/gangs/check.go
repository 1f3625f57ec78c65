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

// The kinds: what must not have happened.
const (
	TwoRuns        Kind = "an accelerator in two runs"
	PartAlone      Kind = "a part of a gang ran alone for too long"
	TwoEpochs      Kind = "two epochs of a gang at once"
	PartStarted    Kind = "a gang started before all was reserved"
	Forgotten      Kind = "a job forgotten or without an end"
	NoEvidence     Kind = "a job parked without evidence"
	NotWhole       Kind = "completed without a whole run"
	RunAgain       Kind = "run again after its end"
	DoneTwice      Kind = "done twice"
	WorkInvented   Kind = "a checkpoint that no run made"
	TakeBackLate   Kind = "guaranteed work started too late"
	CancelIgnored  Kind = "a cancellation without effect"
	EntryNotOnce   Kind = "an occurrence of an entry without one job"
	RunsAfterEnded Kind = "still running when its job had ended"
)

// Violation is one thing that must not have happened.
type Violation struct {
	Kind   Kind
	Detail string
}

// Report counts what happened and lists what must not have.
type Report struct {
	Jobs, Completed, Cancelled, Parked int
	Runs, Epochs, Broken               int
	// Repeated counts idempotent gangs that ran again after a whole run whose end
	// a failure hid.
	Repeated int
	// LongestAlone is the longest time that a part of a gang ran alone, and
	// LongestTakeBack the longest from asking to the start of guaranteed work.
	LongestAlone, LongestTakeBack time.Duration
	// QuietTakeBacks counts those during which nothing failed.
	QuietTakeBacks int
	// QuietStops counts the runs that were stopped for them, and SurelyTakenBack those of
	// jobs that were stopped more often than they failed: a take-back was among the stops.
	QuietStops, SurelyTakenBack int
	// LongestStart is the longest time between the first and the last task's start.
	LongestStart time.Duration
	Violations   []Violation
}

// String gives the report on one line.
func (r *Report) String() string {
	return fmt.Sprintf("%d jobs: %d completed, %d cancelled, %d parked; %d runs in %d epochs, %d of them broken, %d repeated; longest start %s, longest part alone %s, longest take-back %s, %d quiet; %d violations",
		r.Jobs, r.Completed, r.Cancelled, r.Parked, r.Runs, r.Epochs, r.Broken, r.Repeated,
		r.LongestStart.Round(time.Millisecond), r.LongestAlone.Round(time.Millisecond), r.LongestTakeBack.Round(time.Millisecond), r.QuietTakeBacks, len(r.Violations))
}

func (r *Report) add(kind Kind, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{kind, fmt.Sprintf(format, args...)})
}

// check carries one evidence through the checks.
type check struct {
	*Evidence
	*Report
	jobs   map[string]api.Job
	byName map[string][]*epoch
}

// Check judges a run.
func Check(evidence *Evidence) *Report {
	c := &check{Evidence: evidence, Report: &Report{}, jobs: map[string]api.Job{}, byName: map[string][]*epoch{}}
	c.Report.Runs = len(evidence.Runs)
	for _, job := range evidence.Jobs {
		c.jobs[job.ID] = job
	}
	for _, e := range evidence.epochs() {
		c.Report.Epochs++
		c.oneAtATime(e)
		c.started(e)
		c.alone(e)
		c.byName[e.job] = append(c.byName[e.job], e)
	}
	c.accelerators()
	for _, job := range evidence.Jobs {
		c.ended(job)
	}
	for _, submitted := range evidence.Submitted {
		c.submitted(submitted)
	}
	c.occurrences()
	return c.Report
}

// accelerators looks for two runs on one accelerator. A worker refuses the
// second, so its refusal says as much as an overlap.
func (c *check) accelerators() {
	type accelerator struct {
		worker string
		number uint32
	}
	held := map[accelerator][]tasks.Run{}
	for _, run := range c.Evidence.Runs {
		if run.Ending == tasks.Refused {
			c.add(TwoRuns, "%s refused task %d of %s epoch %d at %s on %v", run.Worker, run.Task, run.Job, run.Epoch, clock(run.Reserved), run.Accelerators)
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
				c.add(TwoRuns, "%s/%d: %s epoch %d and %s epoch %d", at.worker, at.number, before.Job, before.Epoch, runs[i].Job, runs[i].Epoch)
			}
		}
	}
}

// started wants every task reserved before the first began.
func (c *check) started(e *epoch) {
	first, _, _ := e.began(len(e.runs))
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
		c.add(PartStarted, "%d of %d reserved: %s", reserved, size, e)
	}
}

// oneAtATime wants every run of an earlier epoch over before the next one starts.
func (c *check) oneAtATime(e *epoch) {
	first, _, _ := e.began(len(e.runs))
	if first.IsZero() {
		return
	}
	for _, before := range c.byName[e.job] {
		for task, run := range before.runs {
			if run.Ended.IsZero() || run.Ended.After(first) {
				c.add(TwoEpochs, "task %d still ran: %s; then %s", task, before, e)
			}
		}
	}
}

// alone measures how long some tasks ran on while another of the gang did not
// and never would: it had failed, was stopped, or had never begun.
func (c *check) alone(e *epoch) {
	var broken time.Time
	first, last, all := e.began(c.size(e.job))
	c.LongestStart = max(c.LongestStart, last.Sub(first))
	if skew := last.Sub(first); skew > c.Bounds.Alone {
		c.add(PartAlone, "%s apart, bound %s: %s", skew, c.Bounds.Alone, e)
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
	lasted := later(end, last).Sub(broken)
	c.LongestAlone = max(c.LongestAlone, lasted)
	if lasted > c.Bounds.Alone {
		c.add(PartAlone, "%s, bound %s: %s", lasted, c.Bounds.Alone, e)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *check) size(job string) int { return c.Classes[c.jobs[job].WorkClass].Tasks }
