package gangs

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// clockGrain is what a time in whole milliseconds may be off.
const clockGrain = 2 * time.Millisecond

// ended compares the end that callers are told of with what ran.
func (c *check) ended(job api.Job) {
	c.Report.Jobs++
	epochs := c.byName[job.ID]
	switch job.State {
	case api.JobCompleted:
		c.Completed++
	case api.JobCancelled:
		c.Cancelled++
	case api.JobParked:
		c.Parked++
		if len(job.Failures) == 0 {
			c.add(NoEvidence, "%s", job.ID)
		}
	default:
		c.add(Forgotten, "%s is %s after %d attempts: %v", job.ID, job.State, job.Attempts, job.Failures)
		return
	}
	c.wholeOnce(job, epochs)
	c.doneTwice(job, epochs)
	c.checkpoints(job, epochs)
	c.quiet(job, epochs)
}

// wholeOnce wants a whole run of a completed job, and nothing after it. Idempotent
// work may run again when something failed before the news of its end came
// through: its worker may have been cut off, and nobody could know. That is
// counted as repeated.
func (c *check) wholeOnce(job api.Job, epochs []*epoch) {
	var whole *epoch
	for _, e := range epochs {
		if whole != nil {
			c.again(job, whole, e)
		}
		if whole == nil && e.whole(c.size(job.ID)) {
			whole = e
		}
	}
	if job.State == api.JobCompleted && whole == nil {
		c.add(NotWhole, "%s after %d epochs: %v", job.ID, len(epochs), epochs)
	}
}

func (c *check) again(job api.Job, whole, next *epoch) {
	if c.Classes[job.WorkClass].Idempotent && c.failing(whole.lastEnd(), next.firstReserved()) > 0 {
		c.Repeated++
		return
	}
	c.add(RunAgain, "%s; then %s", whole, next)
}

// doneTwice wants no task of work that is not idempotent to end well twice, or
// to begin again after it has.
func (c *check) doneTwice(job api.Job, epochs []*epoch) {
	if c.Classes[job.WorkClass].Idempotent {
		return
	}
	done := map[uint32]bool{}
	for _, e := range epochs {
		for task, run := range e.runs {
			if done[task] && !run.Began.IsZero() {
				c.add(DoneTwice, "task %d again: %s", task, e)
			}
		}
		for task, run := range e.runs {
			done[task] = done[task] || run.Ending == tasks.Completed
		}
	}
}

// checkpoints wants each run to go on from work that its own task had kept.
func (c *check) checkpoints(job api.Job, epochs []*epoch) {
	kept := map[uint32]int64{}
	for _, e := range epochs {
		for task, run := range e.runs {
			if run.From > kept[task] {
				c.add(WorkInvented, "task %d of %s epoch %d goes on from %d ms; %d ms were kept", task, job.ID, e.number, run.From, kept[task])
			}
		}
		for task, run := range e.runs {
			if run.Ending == tasks.Completed {
				// It has all the work there is, and repeats what the others need.
				run.Kept = maxWork
			}
			kept[task] = max(kept[task], run.Kept)
		}
	}
}

const maxWork = int64(1 << 62)

// quiet wants nothing of a job to run when callers have been told of its end.
func (c *check) quiet(job api.Job, epochs []*epoch) {
	over := time.UnixMilli(job.EndedMs).Add(clockGrain)
	for _, e := range epochs {
		for task, run := range e.runs {
			if run.Ended.IsZero() || run.Ended.After(over) {
				c.add(RunsAfterEnded, "task %d of %s, which was %s at %s: %s", task, job.ID, job.State, clock(over), e)
			}
		}
	}
}

// submitted looks for what callers were promised on acceptance.
func (c *check) submitted(s Submitted) {
	job, ok := c.jobs[s.ID]
	if !ok {
		c.add(Forgotten, "%s was accepted and is unknown", s.ID)
		return
	}
	if s.Cancelled && !job.Ended() {
		c.add(CancelIgnored, "%s is %s", s.ID, job.State)
	}
	if s.Guaranteed {
		c.takenBack(s)
	}
}

// occurrences wants one job for each occurrence of an entry, and no other job
// of an entry.
func (c *check) occurrences() {
	wanted := map[string]bool{}
	for _, id := range c.Occurrences {
		wanted[id] = true
	}
	for _, job := range c.Evidence.Jobs {
		if job.Entry != "" && !wanted[job.ID] {
			c.add(EntryNotOnce, "%s was never due", job.ID)
		}
		delete(wanted, job.ID)
	}
	for id := range wanted {
		c.add(EntryNotOnce, "%s is missing", id)
	}
}

// takenBack wants guaranteed work started within the bound, and what failed
// meanwhile on top of it.
func (c *check) takenBack(s Submitted) {
	for _, e := range c.byName[s.ID] {
		_, last, ok := e.began(c.size(s.ID))
		if !ok {
			continue
		}
		lasted := last.Sub(s.Asked)
		c.LongestTakeBack = max(c.LongestTakeBack, lasted)
		bound := c.Bounds.TakeBack + c.failing(s.Asked, last)
		if quiet := c.Bounds.Quiet; quiet > 0 && c.failing(s.Asked, s.Asked.Add(c.Bounds.QuietWindow)) == 0 {
			c.QuietTakeBacks++
			c.stops(s.ID, s.Asked, c.untilFailure(s.Asked, last))
			bound = quiet
		}
		if lasted > bound {
			c.add(TakeBackLate, "%s after %s, bound %s", s.ID, lasted, bound)
		}
		return
	}
	c.add(TakeBackLate, "%s never started", s.ID)
}

// untilFailure gives the first failure between two moments, or else the second.
func (c *check) untilFailure(from, to time.Time) time.Time {
	for _, span := range c.Failures {
		if span.From.After(from) && span.From.Before(to) {
			to = span.From
		}
	}
	return to
}

// stops counts the runs that were taken back for a job between two moments. A
// gang of which a member failed or lost its lease was stopped for that, and one
// whose cancellation was sent may have been stopped for it; a gang that is cancelled
// later, as those that run until the load is over, was not. A gang may also be stopped
// for a worker that was not heard for a moment; it has a failure then.
func (c *check) stops(whom string, from, to time.Time) {
	for job, epochs := range c.byName {
		cancelled := c.cancelAsked(job)
		for _, e := range epochs {
			if job == whom || !e.takenBack() {
				continue
			}
			for _, run := range e.runs {
				between := run.Ended.After(from) && !run.Ended.After(to)
				if run.Ending != tasks.Stopped || !between || !cancelled.IsZero() && !run.Ended.Before(cancelled) {
					continue
				}
				c.QuietStops++
				if c.stoppedEpochs(job) > len(c.jobs[job].Failures) {
					c.SurelyTakenBack++
				}
			}
		}
	}
}

// stoppedEpochs counts the epochs of a job that were stopped as a whole, before its
// cancellation was sent.
func (c *check) stoppedEpochs(job string) int {
	count := 0
	cancelled := c.cancelAsked(job)
	for _, e := range c.byName[job] {
		stopped := true
		for _, run := range e.runs {
			stopped = stopped && run.Ending == tasks.Stopped && (cancelled.IsZero() || run.Ended.Before(cancelled))
		}
		if stopped {
			count++
		}
	}
	return count
}

// takenBack tells whether each run of the epoch was stopped, or had ended well: none
// failed or lost its lease.
func (e *epoch) takenBack() bool {
	for _, run := range e.runs {
		if run.Ending != tasks.Stopped && run.Ending != tasks.Completed {
			return false
		}
	}
	return true
}

// cancelAsked is when the job's cancellation was first sent; zero for never.
func (c *check) cancelAsked(job string) time.Time {
	for _, s := range c.Submitted {
		if s.ID == job {
			return s.CancelAsked
		}
	}
	return time.Time{}
}

// failing sums the time between two moments in which something was failing or
// recovering from it.
func (c *check) failing(from, to time.Time) time.Duration {
	var sum time.Duration
	at := from
	inOrder := slices.SortedFunc(slices.Values(c.Failures), func(a, b Span) int { return a.From.Compare(b.From) })
	for _, span := range inOrder {
		begin, end := later(span.From, at), span.To.Add(c.Bounds.Recovery)
		if end.After(to) {
			end = to
		}
		if end.After(begin) {
			sum += end.Sub(begin)
			at = end
		}
	}
	return sum
}
