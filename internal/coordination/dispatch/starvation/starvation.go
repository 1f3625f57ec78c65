// Package starvation tracks waiting jobs: since when each could run, why it doesn't, and
// whether it is starved, that is, has nothing running although free capacity would hold it.
// It is free of side effects: from jobs, a plan and the time it derives the waits that
// should be logged. Its state is not in the replicated log, so a new leader starts anew.
package starvation

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// logAfter is the waiting time from which a job is logged.
	logAfter = time.Second
	// warnAfter is the starvation time from which a job causes a warning.
	warnAfter = 2 * time.Second
)

// Cause is the reason why a job has nothing running.
type Cause struct {
	// Code is the reason given by the pass, or "starting" or "stopping".
	Code string
	// Locality is the rack of the job's data, or scheduling.OneRack, if the pass delays the
	// job until it can run there; empty otherwise.
	Locality string
	// Starved is set if the plan reports the job as starved.
	Starved bool
}

// Wait describes a job that has nothing running.
type Wait struct {
	Job   *controlpb.Job
	Cause Cause
	// Waited is the time for which the job could have run, StarvedFor the time for which it
	// has been starved.
	Waited, StarvedFor time.Duration
	// Free and Total are the free and the total capacity of the job's service; set only if
	// the job is starved.
	Free, Total scheduling.Resources
	// Others is the number of other jobs that wait for the same cause.
	Others int
}

// Summary describes all starved jobs.
type Summary struct {
	Jobs    int
	Longest time.Duration
	// Total is the sum over all jobs of the time starved since the previous Observe.
	Total time.Duration
}

// Tracker keeps the waits from one Observe to the next. Its zero value is ready to use.
type Tracker struct {
	waits    map[string]*wait
	observed time.Time
}

// wait is what a Tracker keeps of a job with nothing running.
type wait struct {
	// since is when the job was first observed to be able to run.
	since  time.Time
	logged Cause
	warned bool
}

// Observe processes a plan with the jobs and the time that it was made from. It returns the
// waits to log, those to warn of, and a summary of the starved jobs.
func (t *Tracker) Observe(now time.Time, jobs []*controlpb.Job, plan *scheduling.Plan) (toLog, toWarn []Wait, summary Summary) {
	causes := causesOf(jobs, plan, now)
	starvedJobs := map[string]scheduling.StarvedJob{}
	for _, starved := range plan.Starved {
		starvedJobs[starved.Job] = starved
	}
	others := map[Cause]int{}
	for _, cause := range causes {
		others[cause]++
	}
	waits := make(map[string]*wait, len(causes))
	for _, job := range jobs {
		cause, waiting := causes[job.Id]
		tracked := t.waits[job.Id]
		if !waiting {
			if tracked != nil && job.State == controlpb.JobState_JOB_STATE_WAITING && job.NotBeforeMs <= now.UnixMilli() {
				// The plan starts the job; keep the wait for Waited.
				waits[job.Id] = tracked
			}
			continue
		}
		if tracked == nil {
			tracked = &wait{since: now}
		}
		waits[job.Id] = tracked
		current := Wait{Job: job, Cause: cause, Waited: now.Sub(tracked.since), Others: others[cause] - 1}
		if starved, ok := starvedJobs[job.Id]; ok {
			current.StarvedFor, current.Free, current.Total = now.Sub(starved.Since), starved.Free, starved.Total
		}
		summary.add(current, now.Sub(t.observed))
		if current.Waited >= logAfter && tracked.logged != cause {
			tracked.logged = cause
			toLog = append(toLog, current)
		}
		starvedLong := current.StarvedFor >= warnAfter
		if starvedLong && !tracked.warned {
			toWarn = append(toWarn, current)
		}
		tracked.warned = starvedLong
	}
	t.waits, t.observed = waits, now
	return toLog, toWarn, summary
}

// Waited returns the time for which a job that is placed now could have run.
func (t *Tracker) Waited(job string, now time.Time) time.Duration {
	if tracked := t.waits[job]; tracked != nil {
		return now.Sub(tracked.since)
	}
	return 0
}

func (s *Summary) add(current Wait, since time.Duration) {
	if current.StarvedFor == 0 {
		return
	}
	s.Jobs++
	s.Longest = max(s.Longest, current.StarvedFor)
	s.Total += min(current.StarvedFor, since)
}

// causesOf returns the cause of each job that has nothing running, except for those that
// the plan starts and those in a retry backoff.
func causesOf(jobs []*controlpb.Job, plan *scheduling.Plan, now time.Time) map[string]Cause {
	causes := map[string]Cause{}
	for _, reason := range plan.Waiting {
		causes[reason.Job] = Cause{Code: string(reason.Code)}
	}
	for _, job := range jobs {
		switch {
		case job.State == controlpb.JobState_JOB_STATE_STARTING:
			causes[job.Id] = Cause{Code: "starting"}
		case job.State == controlpb.JobState_JOB_STATE_STOPPING && job.NextState == controlpb.JobState_JOB_STATE_WAITING:
			causes[job.Id] = Cause{Code: "stopping"}
		case job.NotBeforeMs > now.UnixMilli():
			delete(causes, job.Id)
		}
	}
	for _, localityWait := range plan.LocalityWaits {
		if cause, ok := causes[localityWait.Job]; ok {
			cause.Locality = localityWait.Locality
			causes[localityWait.Job] = cause
		}
	}
	for _, starved := range plan.Starved {
		if cause, ok := causes[starved.Job]; ok {
			cause.Starved = true
			causes[starved.Job] = cause
		}
	}
	return causes
}
