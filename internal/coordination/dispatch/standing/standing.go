// Package standing watches for work that waits: since when each job could run, what keeps
// it back, and whether it stands, that is, has nothing running although there is room for
// it beside. It is pure: jobs, a plan and the time go in, what is worth a line comes out.
// Nothing of it is in the log: a new leader counts anew.
package standing

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// toldAfter is the wait from which a job is worth a line.
	toldAfter = time.Second
	// tooLong is how long a job may stand before it is worth a warning.
	tooLong = 2 * time.Second
)

// Cause is what keeps a job with nothing running back.
type Cause struct {
	// Code is the reason of the pass, or the state of a job that is started or stopped.
	Code string
	// Near is where the job is kept to, if anywhere.
	Near string
	// Stands tells that the job stands.
	Stands bool
}

// Wait is that of one job with nothing running.
type Wait struct {
	Job   *controlpb.Job
	Cause Cause
	// Waited is for how long it could have run; Stood is for how long it has stood.
	Waited, Stood time.Duration
	// Free and All are the room of its service, where it has room beside.
	Free, All scheduling.Room
	// Others wait for the same cause.
	Others int
}

// Summary is the state of all work that stands.
type Summary struct {
	Jobs    int
	Longest time.Duration
	// Total is the time that jobs have stood since the look before, all together.
	Total time.Duration
}

// Watch remembers the waits between looks. The zero Watch remembers nothing.
type Watch struct {
	waits  map[string]*wait
	looked time.Time
}

// wait is what is remembered of a job with nothing running.
type wait struct {
	// since is when it was first seen able to run.
	since  time.Time
	told   Cause
	warned bool
}

// Look takes in a plan and what it was made from. It gives the waits that are worth a
// line, those that are worth a warning, and the summary.
func (w *Watch) Look(now time.Time, jobs []*controlpb.Job, plan *scheduling.Plan) (told, warned []Wait, summary Summary) {
	causes := causesOf(jobs, plan, now)
	standing := map[string]scheduling.Standing{}
	for _, stands := range plan.Standing {
		standing[stands.Job] = stands
	}
	others := map[Cause]int{}
	for _, cause := range causes {
		others[cause]++
	}
	waits := make(map[string]*wait, len(causes))
	for _, job := range jobs {
		cause, waiting := causes[job.Id]
		known := w.waits[job.Id]
		if !waiting {
			if known != nil && job.State == controlpb.JobState_JOB_STATE_WAITING && job.NotBeforeMs <= now.UnixMilli() {
				// The plan starts it.
				waits[job.Id] = known
			}
			continue
		}
		if known == nil {
			known = &wait{since: now}
		}
		waits[job.Id] = known
		found := Wait{Job: job, Cause: cause, Waited: now.Sub(known.since), Others: others[cause] - 1}
		if stands, ok := standing[job.Id]; ok {
			found.Stood, found.Free, found.All = now.Sub(stands.Since), stands.Free, stands.All
		}
		summary.add(found, now.Sub(w.looked))
		if found.Waited >= toldAfter && known.told != cause {
			known.told = cause
			told = append(told, found)
		}
		stoodLong := found.Stood >= tooLong
		if stoodLong && !known.warned {
			warned = append(warned, found)
		}
		known.warned = stoodLong
	}
	w.waits, w.looked = waits, now
	return told, warned, summary
}

// Waited is for how long a job that is placed now could have run before.
func (w *Watch) Waited(job string, now time.Time) time.Duration {
	if known := w.waits[job]; known != nil {
		return now.Sub(known.since)
	}
	return 0
}

func (s *Summary) add(found Wait, since time.Duration) {
	if found.Stood == 0 {
		return
	}
	s.Jobs++
	s.Longest = max(s.Longest, found.Stood)
	s.Total += min(found.Stood, since)
}

// causesOf tells what keeps each job with nothing running back, but for those that the
// plan starts and those that wait out a pause of their own.
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
	for _, kept := range plan.Kept {
		if cause, ok := causes[kept.Job]; ok {
			cause.Near = kept.Near
			causes[kept.Job] = cause
		}
	}
	for _, stands := range plan.Standing {
		if cause, ok := causes[stands.Job]; ok {
			cause.Stands = true
			causes[stands.Job] = cause
		}
	}
	return causes
}
