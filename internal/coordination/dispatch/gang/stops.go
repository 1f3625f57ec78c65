package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// stops holds, by job ID, when this instance learned that the stop of a job is committed.
// It is kept across leadership terms: if each leader counted StopWait from its election,
// a stop would never end while leaders change more often than that, and the job would
// never be released.
type stops map[string]stop

type stop struct {
	epoch      uint64
	observedAt time.Time
}

// observe returns the stops of a newer state. An epoch is stopped at most once, so the
// time recorded for the same epoch is kept.
func (s stops) observe(now time.Time, jobs []*controlpb.Job) stops {
	next := stops{}
	for _, job := range jobs {
		if job.State != controlpb.JobState_JOB_STATE_STOPPING {
			continue
		}
		entry := stop{epoch: job.Epoch, observedAt: now}
		if previous, ok := s[job.Id]; ok && previous.epoch == job.Epoch {
			entry = previous
		}
		next[job.Id] = entry
	}
	return next
}

// since returns the time from which the job's state counts: the recorded time of a
// known stop, else now.
func (s stops) since(job *controlpb.Job, now time.Time) time.Time {
	if entry, ok := s[job.Id]; ok && entry.epoch == job.Epoch && job.State == controlpb.JobState_JOB_STATE_STOPPING {
		return entry.observedAt
	}
	return now
}
