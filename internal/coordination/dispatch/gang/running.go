package gang

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// running handles a job in state RUNNING: it records completed tasks and stops the gang
// when a member has failed, was stopped, has stalled or has vanished. The members are
// examined only after one of them changed, and in the periodic scans.
func (s *step) running(job *controlpb.Job, r *run) {
	if !r.changed && !s.scan {
		return
	}
	r.changed = false
	if job.EndsTogether && r.anyCompleted() {
		s.recordCompletions(job, r)
		r.changed = true
		return
	}
	if failed := s.runFailure(job, r); failed != nil {
		// changed stays set, so that the move is repeated if it is not committed.
		r.changed = true
		s.recordCompletions(job, r)
		s.stopOnFailure(job, r, failed)
		return
	}
	s.recordCompletions(job, r)
	r.changed = r.hasUnrecordedCompletion(job)
}

// hasUnrecordedCompletion reports whether a member has completed and the log does not
// record it yet.
func (r *run) hasUnrecordedCompletion(job *controlpb.Job) bool {
	for _, m := range r.members {
		if m.phase == phaseCompleted && !completionRecorded(job, m) {
			return true
		}
	}
	return false
}

func (s *step) runFailure(job *controlpb.Job, r *run) *controlpb.TaskFailure {
	if m := r.failedMember(job); m != nil {
		return s.memberFailure(m)
	}
	for _, m := range r.members {
		if m.phase == phaseCompleted || completionRecorded(job, m) {
			continue
		}
		if failed := s.memberFailure(m); failed != nil {
			return failed
		}
		if s.scan {
			if detail := s.vanished(job, r, m); detail != "" {
				return s.infrastructureFailure(m, failure.WorkerVanished, detail)
			}
		}
		if s.scan && s.stalled(job, r, m) {
			return s.infrastructureFailure(m, failure.Stalled, "the task's work stands still")
		}
	}
	return nil
}

// hasRestarted reports whether the worker has another incarnation than the one that the
// member is placed on. Where workers renew leases by announcements, one of an earlier
// incarnation may be the newest that is known here; elsewhere the worker itself was asked, and
// the numbers of incarnations have no order.
func (s *step) hasRestarted(w *worker, m *member) bool {
	if s.in.LeaseExpired == nil {
		return w.upstream.Incarnation > m.placement.Incarnation
	}
	return !w.upstream.Leaving && w.upstream.Incarnation != m.placement.Incarnation
}

// lostWithItsLease returns how a member was lost whose worker has told this leader nothing, or "". It may run until its
// lease is over, and could be started nowhere else before. If it counted as lost when a new leader is
// elected that can't reach its worker, a gang that works would be stopped and then wait for that lease.
func (s *step) lostWithItsLease(job *controlpb.Job, m *member) string {
	if s.unheard(m) && s.hasLedFor(firstAnswers) && s.in.LeaseExpired(job, m.placement) {
		return "the worker is silent and its lease is over"
	}
	return ""
}

// unheard reports whether the member's worker has told this leader nothing.
func (s *step) unheard(m *member) bool {
	return s.in.Unheard != nil && s.in.Unheard(m.placement.Worker)
}

// vanished returns how a member was lost, or "" if it was not: its worker announces itself
// to no instance, or announces itself without the task. The registry merges the
// announcements received by all instances, so a worker that only the leader cannot reach
// has not vanished. A restarted worker is recognized by its incarnation. A worker that has
// not restarted may have sent its announcement before it accepted the task, so the task
// must be missing for announcementTTL, unless the worker was asked after the start of the run was in the log.
func (s *step) vanished(job *controlpb.Job, r *run, m *member) string {
	w := s.workers[m.placement.Worker]
	if s.unheard(m) {
		return s.lostWithItsLease(job, m)
	}
	if w == nil {
		if s.announcementsComplete() {
			return "the worker is silent or has ended"
		}
		return ""
	}
	if m.reportedIn == w.upstream {
		return ""
	}
	if s.hasRestarted(w, m) {
		return "the worker has started again"
	}
	if m.absentSince.IsZero() {
		m.absentSince = s.in.Now
	}
	askedAfterStart := s.in.LeaseExpired != nil && r.startedBefore && s.hasLedFor(firstAnswers)
	if !askedAfterStart && s.in.Now.Sub(m.absentSince) < s.config.announcementTTL() {
		return ""
	}
	return "the worker no longer reports the task"
}
