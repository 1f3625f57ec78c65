package gangs

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

// clockResolution is the tolerance for comparing with times in whole milliseconds.
const clockResolution = 2 * time.Millisecond

// checkJob compares the final state of a job that callers were told with what ran.
func (c *check) checkJob(job api.Job) {
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
			c.add(ParkedWithoutFailure, "%s", job.ID)
		}
	default:
		c.add(JobLost, "%s is %s after %d attempts: %v", job.ID, job.State, job.Attempts, job.Failures)
		return
	}
	c.checkCompletedOnce(job, epochs)
	c.checkTasksCompletedOnce(job, epochs)
	c.checkCheckpoints(job, epochs)
	c.checkStopped(job, epochs)
}

// checkCompletedOnce requires a complete run of a completed job, and none after it.
// Idempotent work may run again if something failed before its end was reported, since its
// worker may have been unreachable. That is counted as repeated.
func (c *check) checkCompletedOnce(job api.Job, epochs []*epoch) {
	var full *epoch
	for _, e := range epochs {
		if full != nil {
			c.checkRepeat(job, full, e)
		}
		if full == nil && e.completed(c.size(job.ID)) {
			full = e
		}
	}
	if job.State == api.JobCompleted && full == nil {
		c.add(CompletedWithoutFullRun, "%s after %d epochs: %v", job.ID, len(epochs), epochs)
	}
}

func (c *check) checkRepeat(job api.Job, full, next *epoch) {
	if c.Classes[job.WorkClass].Idempotent && c.faultTime(full.lastEnd(), next.firstReserved()) > 0 {
		c.Repeated++
		return
	}
	c.add(RanAfterCompletion, "%s; then %s", full, next)
}

// checkTasksCompletedOnce requires that no task of non-idempotent work completed twice, or
// started again after it had completed.
func (c *check) checkTasksCompletedOnce(job api.Job, epochs []*epoch) {
	if c.Classes[job.WorkClass].Idempotent {
		return
	}
	done := map[uint32]bool{}
	for _, e := range epochs {
		for task, run := range e.runs {
			if done[task] && !run.Began.IsZero() {
				c.add(TaskCompletedTwice, "task %d again: %s", task, e)
			}
		}
		for task, run := range e.runs {
			done[task] = done[task] || run.Ending == tasks.Completed
		}
	}
}

// checkCheckpoints requires that each run resumed from a checkpoint of its own task.
func (c *check) checkCheckpoints(job api.Job, epochs []*epoch) {
	kept := map[uint32]int64{}
	for _, e := range epochs {
		for task, run := range e.runs {
			if run.From > kept[task] {
				c.add(UnknownCheckpoint, "task %d of %s epoch %d goes on from %d ms; %d ms were kept", task, job.ID, e.number, run.From, kept[task])
			}
		}
		for task, run := range e.runs {
			if run.Ending == tasks.Completed {
				// A completed task has done all its work; a later run may resume anywhere.
				run.Kept = maxWork
			}
			kept[task] = max(kept[task], run.Kept)
		}
	}
}

const maxWork = int64(1 << 62)

// checkStopped requires that no run of a job is alive once callers were told of its end.
func (c *check) checkStopped(job api.Job, epochs []*epoch) {
	over := time.UnixMilli(job.EndedMs).Add(clockResolution)
	for _, e := range epochs {
		for task, run := range e.runs {
			if run.Ended.IsZero() || run.Ended.After(over) {
				c.add(RunningAfterEnd, "task %d of %s, which was %s at %s: %s", task, job.ID, job.State, clock(over), e)
			}
		}
	}
}

// checkSubmitted checks what the acceptance of a job promised its caller.
func (c *check) checkSubmitted(s Submitted) {
	job, ok := c.jobs[s.ID]
	if !ok {
		c.add(JobLost, "%s was accepted and is unknown", s.ID)
		return
	}
	if s.Cancelled && !job.Ended() {
		c.add(CancelIgnored, "%s is %s", s.ID, job.State)
	}
	if s.Guaranteed {
		c.checkPreemption(s)
	}
}

// checkOccurrences requires exactly one job for each occurrence of an entry, and no other
// job of an entry.
func (c *check) checkOccurrences() {
	wanted := map[string]bool{}
	for _, id := range c.Occurrences {
		wanted[id] = true
	}
	for _, job := range c.Evidence.Jobs {
		if job.Entry != "" && !wanted[job.ID] {
			c.add(OccurrenceMismatch, "%s was never due", job.ID)
		}
		delete(wanted, job.ID)
	}
	for id := range wanted {
		c.add(OccurrenceMismatch, "%s is missing", id)
	}
}

// checkPreemption requires that guaranteed work started within the limit, extended by the
// time in which something failed meanwhile.
func (c *check) checkPreemption(s Submitted) {
	for _, e := range c.byName[s.ID] {
		_, last, ok := e.startTimes(c.size(s.ID))
		if !ok {
			continue
		}
		took := last.Sub(s.SubmittedAt)
		c.LongestPreemption = max(c.LongestPreemption, took)
		limit := c.Bounds.TakeBack + c.faultTime(s.SubmittedAt, last)
		if faultFree := c.Bounds.Quiet; faultFree > 0 && c.faultTime(s.SubmittedAt, s.SubmittedAt.Add(c.Bounds.QuietWindow)) == 0 {
			c.QuietTakeBacks++
			c.countPreemptedRuns(s.ID, s.SubmittedAt, c.firstFailure(s.SubmittedAt, last))
			limit = faultFree
		}
		if took > limit {
			c.add(PreemptionLate, "%s after %s, bound %s", s.ID, took, limit)
		}
		return
	}
	c.add(PreemptionLate, "%s never started", s.ID)
}

// firstFailure returns the time of the first failure between from and to, or to if there
// is none.
func (c *check) firstFailure(from, to time.Time) time.Time {
	for _, span := range c.Failures {
		if span.From.After(from) && span.From.Before(to) {
			to = span.From
		}
	}
	return to
}

// countPreemptedRuns counts the runs that were preempted for a job between two times. A
// gang of which a member failed or lost its lease was stopped for that reason, and one
// whose cancellation had been sent may have been stopped for it; a gang that is cancelled
// later, as those that run until the end of the load, was not. A gang may also be stopped
// because a worker did not answer for a moment; its job then has a failure.
func (c *check) countPreemptedRuns(beneficiary string, from, to time.Time) {
	for job, epochs := range c.byName {
		cancelled := c.cancelRequestedAt(job)
		for _, e := range epochs {
			if job == beneficiary || !e.preempted() {
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

// stoppedEpochs counts the epochs of a job of which all runs were stopped before its
// cancellation was sent.
func (c *check) stoppedEpochs(job string) int {
	count := 0
	cancelled := c.cancelRequestedAt(job)
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

// preempted reports whether each run of the epoch was stopped or completed: none failed or
// lost its lease.
func (e *epoch) preempted() bool {
	for _, run := range e.runs {
		if run.Ending != tasks.Stopped && run.Ending != tasks.Completed {
			return false
		}
	}
	return true
}

// cancelRequestedAt is when the job's cancellation was first sent; zero for never.
func (c *check) cancelRequestedAt(job string) time.Time {
	for _, s := range c.Submitted {
		if s.ID == job {
			return s.CancelRequestedAt
		}
	}
	return time.Time{}
}

// faultTime sums the time between from and to in which something was failing or
// recovering from a failure.
func (c *check) faultTime(from, to time.Time) time.Duration {
	var sum time.Duration
	at := from
	byStart := slices.SortedFunc(slices.Values(c.Failures), func(a, b Span) int { return a.From.Compare(b.From) })
	for _, span := range byStart {
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
