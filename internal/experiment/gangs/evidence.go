// Package gangs checks what became of gang jobs while instances and workers were
// failing: the workers' own records of what ran against what callers were told.
package gangs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// Class is what the checks need to know of a class of work.
type Class struct {
	Name       string
	Tasks      int
	Idempotent bool
}

// Submitted is a job that an instance accepted.
type Submitted struct {
	ID    string
	Class string
	// Asked is when it was first sent; Cancelled is that its cancellation was
	// accepted, and CancelAsked when that was first sent: zero for never.
	Asked       time.Time
	Cancelled   bool
	CancelAsked time.Time
	// Guaranteed work can be taken back for, within Bounds.TakeBack.
	Guaranteed bool
}

// Span is a time during which something of the system was failing.
type Span struct{ From, To time.Time }

// Bounds are the promised times, all from the settings.
type Bounds struct {
	// Alone is how long a part of a gang may run in the worst case.
	Alone time.Duration
	// TakeBack is from the submission of guaranteed work to its start, without the
	// time in which something was failing. Quiet is the same where nothing fails
	// within QuietWindow; 0 for no such check.
	TakeBack time.Duration
	Quiet    time.Duration
	// QuietWindow after its submission must be free of failures for a take-back
	// to count as quiet; what fails later does not excuse it.
	QuietWindow time.Duration
	// Recovery is how long after the end of a failure the instances may need.
	Recovery time.Duration
}

// Evidence is everything that is known after a run.
type Evidence struct {
	Bounds    Bounds
	Classes   map[string]Class
	Submitted []Submitted
	// Occurrences are the ids of the jobs that declared entries must have made.
	Occurrences []string
	// Jobs are all that an instance lists in the end.
	Jobs []api.Job
	// Runs are the records of all workers, also of those that crashed.
	Runs     []tasks.Run
	Failures []Span
}

// epoch is one try of a gang.
type epoch struct {
	job    string
	number uint64
	// runs are the runs of its tasks, without those that were refused.
	runs map[uint32]tasks.Run
}

// epochs sorts the runs by job and epoch, oldest first.
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

// whole tells that every task of the gang ran to its end.
func (e *epoch) whole(size int) bool {
	completed := 0
	for _, run := range e.runs {
		if run.Ending == tasks.Completed {
			completed++
		}
	}
	return completed == size
}

// began is when the first and the last task began; ok is false if not all did.
func (e *epoch) began(size int) (first, last time.Time, ok bool) {
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
