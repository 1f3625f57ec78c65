package gang

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// running looks after a gang that runs: it records the tasks that ended well,
// and stops the gang when one member has failed, was stopped or has vanished.
// Members are gone through only on news of one, and in the scans for absence.
func (s *step) running(job *controlpb.Job, r *run) {
	if !r.news && !s.scan {
		return
	}
	r.news = false
	if job.EndsTogether && r.anyCompleted() {
		s.finish(job, r)
		r.news = true
		return
	}
	if failed := s.runFailure(job, r); failed != nil {
		// The news is kept: if the move is not committed, it is made again.
		r.news = true
		s.finish(job, r)
		s.fail(job, r, failed)
		return
	}
	s.finish(job, r)
	r.news = r.unrecorded(job)
}

// unrecorded tells whether an end is not in the log yet.
func (r *run) unrecorded(job *controlpb.Job) bool {
	for _, m := range r.members {
		if m.phase == phaseCompleted && !done(job, m) {
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
		if m.phase == phaseCompleted || done(job, m) {
			continue
		}
		if failed := s.memberFailure(m); failed != nil {
			return failed
		}
		if s.scan && s.vanished(m) {
			return s.infrastructure(m, failure.WorkerVanished, "the worker or its task is gone")
		}
		if s.scan && s.stalled(job, r, m) {
			return s.infrastructure(m, failure.Stalled, "the task's work stands still")
		}
	}
	return nil
}

// vanished tells a member whose worker announces itself to no instance, or
// announces itself without the task. The registry merges what every instance
// hears, so a worker that only the leader cannot reach is not vanished. A worker
// that has started again says so by its incarnation; one that has not may have
// sent the announcement before it took the task, so absence has to last.
func (s *step) vanished(m *member) bool {
	w := s.workers[m.placement.Worker]
	if w == nil {
		return s.knowsWorkers()
	}
	if m.heardIn == w.upstream {
		return false
	}
	if w.upstream.Incarnation > m.placement.Incarnation {
		return true
	}
	if m.absent.IsZero() {
		m.absent = s.in.Now
	}
	return s.in.Now.Sub(m.absent) >= s.config.grace()
}
