package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// stops are the jobs that are being stopped, with since when this instance has known
// that the stop is committed. They outlive a term: a leader that counted StopWait from
// its election would never end a stop where leaders are lost more often than that, and
// the job would wait for as long.
type stops map[string]stop

type stop struct {
	epoch uint64
	known time.Time
}

// upTo gives the stops of a newer state. An epoch is stopped once at most.
func (s stops) upTo(now time.Time, jobs []*controlpb.Job) stops {
	next := stops{}
	for _, job := range jobs {
		if job.State != controlpb.JobState_JOB_STATE_STOPPING {
			continue
		}
		known := stop{epoch: job.Epoch, known: now}
		if earlier, ok := s[job.Id]; ok && earlier.epoch == job.Epoch {
			known = earlier
		}
		next[job.Id] = known
	}
	return next
}

// since is from when the job's state counts: from now but for a stop that is known.
func (s stops) since(job *controlpb.Job, now time.Time) time.Time {
	if known, ok := s[job.Id]; ok && known.epoch == job.Epoch && job.State == controlpb.JobState_JOB_STATE_STOPPING {
		return known.known
	}
	return now
}
