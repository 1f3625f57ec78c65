package gang

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	firstStopRetry = 200 * time.Millisecond
	lastStopRetry  = 2 * time.Second
)

// stopRetry is the pause before a stop that failed is sent again.
func stopRetry(tries int) time.Duration {
	return min(firstStopRetry<<min(tries-1, 8), lastStopRetry)
}

// stopping ends every member and frees the accelerators only when each has said
// that it runs no more, or StopWait is over and its lease has surely run out.
// Only members that did not acknowledge are waited for, and what others said is
// in the log, so neither a lost answer nor a new leader asks them again. A new
// leader counts the wait from when its own replica had the stop, whoever led then:
// the clock of the leader before it says nothing.
func (s *step) stopping(job *controlpb.Job, r *run) {
	if s.in.LeaseOver != nil && !r.mayHaveStarted {
		// No start has left, so there is nothing to stop and no lease to wait for. A
		// gang with a member on a worker that was cut off waited for 6 s here.
		s.release(job, r, 0)
		return
	}
	s.finish(job, r)
	silent, overdue := 0, true
	for _, m := range r.members {
		if stopped(job, m) {
			continue
		}
		silent++
		overdue = overdue && s.leaseOver(m, r)
		w := s.workers[m.placement.Worker]
		if m.awaiting == 0 && w != nil && !s.in.Now.Before(m.retry) {
			s.send(Stop, job, m, w)
		}
	}
	if silent > 0 && !overdue {
		s.acknowledge(job, r)
		return
	}
	s.release(job, r, silent)
}

// leaseOver tells that a member that did not acknowledge surely runs no more.
func (s *step) leaseOver(m *member, r *run) bool {
	if s.in.LeaseOver != nil {
		return s.in.LeaseOver(m.placement.Worker)
	}
	return s.in.Now.Sub(r.since) >= s.config.StopWait()
}

// acknowledge records who has stopped while others have not.
func (s *step) acknowledge(job *controlpb.Job, r *run) {
	for _, m := range r.members {
		if !m.phase.ended() || m.phase == phaseCompleted || store.StopAcknowledged(job, m.placement.Task) {
			continue
		}
		s.batch().Stopped = append(s.batch().Stopped, &controlpb.StopAcknowledged{
			Job: job.Id, Epoch: job.Epoch,
			Stopped: &controlpb.StoppedTask{Task: m.placement.Task, CheckpointedMs: m.checkpointedMs, OutcomeUnknown: m.unknown, Checkpoint: m.checkpoint},
		})
	}
}

// release gives the accelerators back and says where the job goes.
func (s *step) release(job *controlpb.Job, r *run, silent int) {
	move := &controlpb.MoveJob{
		Job: job.Id, Epoch: job.Epoch,
		State:          job.NextState,
		CheckpointedMs: checkpoint(job, r),
		Checkpoint:     r.namedCheckpoint(),
		Failure:        s.lateFailure(job, r),
	}
	if job.NextState == controlpb.JobState_JOB_STATE_WAITING {
		s.decideRetry(job, r, silent, move)
	}
	s.move(move)
}

// checkpoint is what every member has kept: a gang goes on from the least.
func checkpoint(job *controlpb.Job, r *run) int64 {
	if !job.Checkpointable {
		return job.CheckpointedMs
	}
	recorded := map[uint32]int64{}
	for _, t := range job.StoppedTasks {
		recorded[t.Task] = t.CheckpointedMs
	}
	least := int64(-1)
	for _, m := range r.members {
		if m.phase == phaseCompleted || done(job, m) {
			continue
		}
		kept := max(recorded[m.placement.Task], m.checkpointedMs)
		if least < 0 || kept < least {
			least = kept
		}
	}
	return max(least, job.CheckpointedMs)
}

// namedCheckpoint is one that a member's worker named: one that was written at
// the stop, or else the newest seen. Any member's is good for the whole gang.
func (r *run) namedCheckpoint() string {
	newest := ""
	for _, m := range r.members {
		if m.checkpoint != "" && (newest == "" || m.phase == phaseStopped) {
			newest = m.checkpoint
		}
	}
	return newest
}

// lateFailure is a member's own failure that came after the stop had another
// reason, as when its companions' ends were heard first. Left out, the gang would
// be tried once more than its attempts allow.
func (s *step) lateFailure(job *controlpb.Job, r *run) *controlpb.TaskFailure {
	if job.MaxAttempts == 0 || job.FailedEpoch == job.Epoch {
		return nil
	}
	if m := r.failedMember(job); m != nil {
		return s.memberFailure(m)
	}
	return nil
}

// decideRetry sends the job back to waiting with a pause, or parks it.
func (s *step) decideRetry(job *controlpb.Job, r *run, silent int, move *controlpb.MoveJob) {
	if why := s.notRepeatable(job, r, silent); why != "" {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		move.Failure = &controlpb.TaskFailure{Code: string(failure.OutcomeUnknown), Detail: why, TimeMs: s.in.Now.UnixMilli()}
		return
	}
	if job.MaxAttempts > 0 {
		decideBounded(job, s.in.Now, move)
		return
	}
	if job.Preempted {
		return
	}
	if atFault(job, s.in.Quarantined) {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		return
	}
	move.NotBeforeMs = s.in.Now.Add(backoff(job)).UnixMilli()
}

// notRepeatable says why work that is not idempotent must not run again: a
// member that never said how it ended may have done its work, and one that ended
// well has. A person has to look; running it again could do it twice.
func (s *step) notRepeatable(job *controlpb.Job, r *run, silent int) string {
	if job.Idempotent {
		return ""
	}
	for _, m := range r.members {
		if m.phase == phaseCompleted || done(job, m) {
			return "a part of work that is not idempotent was done before the gang was stopped"
		}
	}
	if r.mayHaveStarted && (silent > 0 || r.outcomeUnknown(job)) {
		return "work that is not idempotent ran on a worker that cannot say how it ended"
	}
	return ""
}

func (r *run) outcomeUnknown(job *controlpb.Job) bool {
	return slices.ContainsFunc(r.members, func(m *member) bool { return m.unknown }) ||
		slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool { return t.OutcomeUnknown })
}
