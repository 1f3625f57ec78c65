package gang

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// starting reserves every member and only then starts any: a gang of which one
// member refuses has run nowhere. A member that refuses a start, or is silent,
// stops all. Commands repeated by a new leader change nothing at the workers.
// Workers that know no reservations are only asked whether they answer.
func (s *step) starting(job *controlpb.Job, r *run) {
	if job.EndsTogether && r.anyCompleted() {
		s.finish(job, r)
		return
	}
	if failed := s.startFailure(job, r); failed != nil {
		s.fail(job, r, failed)
		return
	}
	if r.reached(phaseRunning) {
		s.move(&controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_RUNNING})
		return
	}
	if r.reached(phaseReserved) {
		if !s.mayStart(r) {
			return
		}
		r.mayHaveStarted = true
		s.sendEach(Start, phaseReserved, job, r)
		return
	}
	s.sendEach(Reserve, phaseIdle, job, r)
}

// mayStart tells whether every member can be started now, or one has been. A start
// held back from one member alone would leave the others to run without it until the
// gang's start times out; sent and refused, it ends the gang at once.
func (s *step) mayStart(r *run) bool {
	all := true
	for _, m := range r.members {
		if m.phase >= phaseRunning || m.awaiting == Start {
			return true
		}
		w := s.workers[m.placement.Worker]
		all = all && w != nil && s.mayLease(w)
	}
	return all
}

func (s *step) sendEach(kind Kind, from phase, job *controlpb.Job, r *run) {
	for _, m := range r.members {
		w := s.workers[m.placement.Worker]
		if m.phase == from && m.awaiting == 0 && w != nil && w.upstream.Incarnation == m.placement.Incarnation && (kind != Reserve || s.mayLease(w)) {
			s.send(kind, job, m, w)
		}
	}
}

func (s *step) startFailure(job *controlpb.Job, r *run) *controlpb.TaskFailure {
	if m := r.failedMember(job); m != nil {
		return s.memberFailure(m)
	}
	for _, m := range r.members {
		if failed := s.memberFailure(m); failed != nil {
			return failed
		}
		w := s.workers[m.placement.Worker]
		if w == nil && s.knowsWorkers() {
			return s.infrastructure(m, failure.Unreachable, "the worker does not announce itself")
		}
		if w != nil && w.upstream.Incarnation > m.placement.Incarnation {
			return s.infrastructure(m, failure.WorkerVanished, "the worker has started again")
		}
	}
	if s.in.Now.Sub(r.since) > s.config.startTimeout() {
		return s.infrastructure(slowest(r), failure.StartTimeout, "the gang did not start in time")
	}
	return nil
}

// knowsWorkers tells whether this instance has led for long enough that every
// live worker has been heard: until then an unknown worker is no dead one.
func (s *step) knowsWorkers() bool { return s.in.Now.Sub(s.leading) >= s.config.grace() }

// memberFailure is what ended the member, or refused its start, if anything did.
func (s *step) memberFailure(m *member) *controlpb.TaskFailure {
	switch {
	case m.phase == phaseFailed && m.report != nil:
		return s.taskFailure(m, m.report.Code, m.report.Detail)
	case m.phase == phaseFailed:
		return s.taskFailure(m, string(failure.TaskFailed), "the task ended while it was started")
	case m.phase == phaseStopped:
		return s.infrastructure(m, failure.LeaseLost, "the worker ended the task")
	case m.refused != nil && m.phase < phaseRunning:
		// Of a run that shows at its worker a refused start says nothing: it had waited
		// at the leader while an earlier one of the same run was obeyed.
		return s.taskFailure(m, string(m.refused.Code), m.refused.Message)
	}
	return nil
}

func (s *step) infrastructure(m *member, code failure.Code, detail string) *controlpb.TaskFailure {
	return s.taskFailure(m, string(code), detail)
}

func (s *step) taskFailure(m *member, code, detail string) *controlpb.TaskFailure {
	return &controlpb.TaskFailure{
		Worker: m.placement.Worker,
		Task:   m.placement.Task,
		Code:   code,
		Detail: detail,
		TimeMs: s.in.Now.UnixMilli(),
	}
}

func slowest(r *run) *member {
	slow := r.members[0]
	for _, m := range r.members {
		if m.phase < slow.phase {
			slow = m
		}
	}
	return slow
}

// fail stops the whole gang because of one member. Only the first failure of an
// epoch is recorded: the others follow from it, or from the same bad job, and
// would count one attempt as several.
func (s *step) fail(job *controlpb.Job, r *run, failed *controlpb.TaskFailure) {
	move := &controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_STOPPING, Failure: failed}
	if failed.Code == string(failure.MemoryExceeded) {
		move.ObservedMemoryMb = r.observedMemory()
	}
	s.move(move)
}

// observedMemory is the most that any member was seen to use: the others of the
// gang do the same work.
func (r *run) observedMemory() uint64 {
	var most uint64
	for _, m := range r.members {
		if m.report != nil {
			most = max(most, m.report.MemoryMb)
		}
	}
	return most
}
