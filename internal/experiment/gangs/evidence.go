// Package gangs generates load of gang jobs and checks, after a run in which instances and
// workers failed, what callers were told against the workers' own records of what ran.
package gangs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// Class describes a class of work as far as the checks need it.
type Class struct {
	Name       string
	Tasks      int
	Idempotent bool
}

// Submitted is a job that an instance accepted.
type Submitted struct {
	ID    string
	Class string
	// SubmittedAt is when it was first sent. Cancelled is set if its cancellation was
	// accepted, and CancelRequestedAt is when that was first sent, zero for never.
	SubmittedAt       time.Time
	Cancelled         bool
	CancelRequestedAt time.Time
	// Guaranteed is set for work within its customer's guarantee: other work is preempted
	// for it, and it starts within Bounds.TakeBack.
	Guaranteed bool
}

// Span is a period in which some part of the system was failing.
type Span struct{ From, To time.Time }

// Bounds are the promised limits, all derived from the settings.
type Bounds struct {
	// Alone is how long only part of a gang may run in the worst case.
	Alone time.Duration
	// TakeBack limits the time from the submission of guaranteed work to its start, not
	// counting the time in which something was failing. Quiet is the limit if nothing
	// fails within QuietWindow; 0 for no such check.
	TakeBack time.Duration
	Quiet    time.Duration
	// QuietWindow is the time after the submission that must be free of failures for
	// Quiet to apply; a later failure does not extend that limit.
	QuietWindow time.Duration
	// Recovery is the time that the instances may need after the end of a failure.
	Recovery time.Duration
}

// Evidence is everything recorded in a run.
type Evidence struct {
	Bounds    Bounds
	Classes   map[string]Class
	Submitted []Submitted
	// Occurrences are the ids of the jobs that the declared entries must have created.
	Occurrences []string
	// Jobs are the jobs that an instance lists at the end.
	Jobs []api.Job
	// Runs are the records of all workers, including those that crashed.
	Runs     []tasks.Run
	Failures []Span
}

// epoch is one attempt to run a gang.
type epoch struct {
	job    string
	number uint64
	// runs holds the runs by task, without those that a worker refused.
	runs map[uint32]tasks.Run
}

// epochs groups the runs by job and epoch, sorted by job and then by epoch.
func (e *Evidence) epochs() []*epoch {
	type key struct {
		job    string
		number uint64
	}
	known := map[key]*epoch{}
	var all []*epoch
	for _, run := range e.Runs {
		if run.Ending == tasks.Refused {
			continue
		}
		k := key{run.Job, run.Epoch}
		if known[k] == nil {
			known[k] = &epoch{job: run.Job, number: run.Epoch, runs: map[uint32]tasks.Run{}}
			all = append(all, known[k])
		}
		known[k].runs[run.Task] = run
	}
	slices.SortFunc(all, func(a, b *epoch) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.number, b.number))
	})
	return all
}

// completed reports whether every task of the gang completed.
func (e *epoch) completed(size int) bool {
	count := 0
	for _, run := range e.runs {
		if run.Ending == tasks.Completed {
			count++
		}
	}
	return count == size
}

// startTimes returns when the first and the last task started; ok is false if not all did.
func (e *epoch) startTimes(size int) (first, last time.Time, ok bool) {
	count := 0
	for _, run := range e.runs {
		if run.Began.IsZero() {
			continue
		}
		count++
		if first.IsZero() || run.Began.Before(first) {
			first = run.Began
		}
		if run.Began.After(last) {
			last = run.Began
		}
	}
	return first, last, count == size
}

func (e *epoch) lastEnd() time.Time {
	var last time.Time
	for _, run := range e.runs {
		last = later(last, run.Ended)
	}
	return last
}

func (e *epoch) firstReserved() time.Time {
	var first time.Time
	for _, run := range e.runs {
		if first.IsZero() || run.Reserved.Before(first) {
			first = run.Reserved
		}
	}
	return first
}

func (e *epoch) String() string {
	text := fmt.Sprintf("%s epoch %d:", e.job, e.number)
	for _, task := range sortedTasks(e.runs) {
		run := e.runs[task]
		text += fmt.Sprintf(" [%d on %s %v %s %s-%s %s]", task, run.Worker, run.Accelerators,
			clock(run.Reserved), clock(run.Began), clock(run.Ended), run.Ending)
	}
	return text
}

func sortedTasks(runs map[uint32]tasks.Run) []uint32 {
	var numbers []uint32
	for number := range runs {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

func clock(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Format("05.000")
}
