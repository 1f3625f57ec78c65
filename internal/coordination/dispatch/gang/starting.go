package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// starting handles a job in state STARTING. It starts members only after all are
// reserved, so that a gang with a refused reservation has run nowhere. If a member
// refuses its start or does not answer, the whole gang is stopped. The commands are
// idempotent: those repeated by a new leader have no effect at the workers. At workers
// without reservations, a reserve only checks that the worker answers.
func (s *step) starting(job *controlpb.Job, r *run) {
	if job.EndsTogether && r.anyCompleted() {
		s.recordCompletions(job, r)
		return
	}
	s.repeatUnansweredStarts(job, r)
	if failed := s.startFailure(job, r); failed != nil {
		s.stopOnFailure(job, r, failed)
		return
	}
	if r.allReached(phaseRunning) {
		s.move(&controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_RUNNING, StartUnanswered: s.startUnanswered(job, r, time.Time{})})
		return
	}
	if r.allReached(phaseReserved) {
		if !s.canStart(r) {
			return
		}
		r.mayHaveStarted = true
		if r.firstStart.IsZero() {
			r.firstStart = s.in.Now
		}
		s.sendEach(Start, phaseReserved, job, r)
		return
	}
	s.sendEach(Reserve, phaseIdle, job, r)
}

// repeatUnansweredStarts lets starts be sent again that their workers left unanswered and may still carry out late. The
// run goes on where it is that way; elsewhere it could begin only once nothing can arrive any more.
func (s *step) repeatUnansweredStarts(job *controlpb.Job, r *run) {
	if s.in.StartUnderWay == nil {
		return
	}
	for _, m := range r.members {
		if m.phase == phaseReserved && m.refusal != nil && m.refusal.Code == failure.OutcomeUnknown && s.in.StartUnderWay(job, m.placement, time.Time{}) {
			m.refusal = nil
		}
	}
}

// canStart reports whether every member can be started now, or one was started already.
// Withholding the start of a single member would let the others run without it until the
// start of the gang times out; a start that is sent and refused ends the gang at once.
func (s *step) canStart(r *run) bool {
	all := true
	for _, m := range r.members {
		if m.phase >= phaseRunning || m.awaiting == Start {
			return true
		}
		w := s.workers[m.placement.Worker]
		all = all && w != nil && s.canGrantLease(w)
	}
	return all
}

func (s *step) sendEach(kind Kind, from phase, job *controlpb.Job, r *run) {
	for _, m := range r.members {
		w := s.workers[m.placement.Worker]
		if m.phase != from || m.awaiting != 0 || w == nil || w.upstream.Incarnation != m.placement.Incarnation {
			continue
		}
		if w.upstream.Version >= m.minAnnounced && (kind != Reserve || s.canReserve(w)) {
			s.send(kind, job, m, w)
		}
	}
}

// canReserve reports whether at least half of the lease is left that a reserve would grant
// now. With less, the reservation may expire before the gang can be started.
func (s *step) canReserve(w *worker) bool {
	return s.in.LeaseExpired != nil || s.canGrantLease(w) && s.in.Now.Sub(w.receivedAt) < s.config.Lease/2
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
		if w == nil && s.announcementsComplete() {
			return s.infrastructureFailure(m, failure.Unreachable, "the worker does not announce itself")
		}
		if detail := s.lostWithItsLease(job, m); detail != "" {
			return s.infrastructureFailure(m, failure.Unreachable, detail)
		}
		if w != nil && s.hasRestarted(w, m) {
			return s.infrastructureFailure(m, failure.WorkerVanished, "the worker has started again")
		}
		if w != nil && s.evacuatedBeforeStart(w, m) {
			return s.infrastructureFailure(m, failure.DataCentreEvacuated, "the data centre "+w.upstream.DataCentre+" is evacuated")
		}
	}
	if s.startTimedOut(job, r) {
		return s.infrastructureFailure(leastAdvanced(r), failure.StartTimeout, "the gang did not start in time")
	}
	return nil
}

// startTimedOut reports whether the start takes too long. It counts from the placement, whichever instance led then, once
// the workers have had time to tell this leader what runs: if each leader gave the start all of its time, the
// gang would stand for as long as leaders are lost sooner.
func (s *step) startTimedOut(job *controlpb.Job, r *run) bool {
	began := r.since
	if placed := time.UnixMilli(job.PlacedMs); job.PlacedMs > 0 && s.hasLedFor(s.config.AnnounceEvery) && placed.Before(began) {
		began = placed
	}
	return s.in.Now.Sub(began) > s.config.startTimeout()
}

// evacuatedBeforeStart reports whether a member that has not been started is on a worker in
// a data centre that is evacuated. A start without an answer yet may have been carried out,
// and its answer decides. A new leader does not know yet which members run: it repeats the
// commands, and a start that is withheld only counts if the worker does not report the run.
func (s *step) evacuatedBeforeStart(w *worker, m *member) bool {
	return s.in.Evacuated != nil && m.phase < phaseRunning && m.awaiting != Start &&
		s.announcementsComplete() && s.in.Evacuated(w.upstream.DataCentre)
}

// announcementsComplete reports whether this instance has led long enough to have received the
// announcement of every live worker. Until then a worker without an announcement does
// not count as dead.
func (s *step) announcementsComplete() bool {
	return s.in.Now.Sub(s.leadingSince) >= s.config.announcementTTL()
}

// memberFailure returns the failure that ended the member or prevented its start, or
// nil.
func (s *step) memberFailure(m *member) *controlpb.TaskFailure {
	switch {
	case m.phase == phaseFailed && m.endReport != nil:
		return s.taskFailure(m, m.endReport.Code, m.endReport.Detail)
	case m.phase == phaseFailed:
		return s.taskFailure(m, string(failure.TaskFailed), "the task ended while it was started")
	case m.phase == phaseStopped:
		return s.infrastructureFailure(m, failure.LeaseLost, "the worker ended the task")
	case m.refusal != nil && m.phase < phaseRunning:
		// A refused start is ignored if the worker reports the run: the refused command
		// was delayed at the leader while an earlier start of the same run succeeded.
		return s.taskFailure(m, string(m.refusal.Code), m.refusal.Message)
	}
	return nil
}

func (s *step) infrastructureFailure(m *member, code failure.Code, detail string) *controlpb.TaskFailure {
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

func leastAdvanced(r *run) *member {
	least := r.members[0]
	for _, m := range r.members {
		if m.phase < least.phase {
			least = m
		}
	}
	return least
}

// stopOnFailure stops the whole gang because of the failure of one member. Only the first
// failure of an epoch is recorded: the others are consequences of it or have the same
// cause, and would count one attempt as several.
func (s *step) stopOnFailure(job *controlpb.Job, r *run, failed *controlpb.TaskFailure) {
	move := &controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_STOPPING, Failure: failed, StartUnanswered: s.startUnanswered(job, r, time.Time{})}
	if failed.Code == string(failure.MemoryExceeded) {
		move.ObservedMemoryMb = r.observedMemory()
	}
	s.move(move)
}

// observedMemory returns the highest memory use that was reported at the end of a member,
// in MB. The members do the same work, so it applies to all of them.
func (r *run) observedMemory() uint64 {
	var peak uint64
	for _, m := range r.members {
		if m.endReport != nil {
			peak = max(peak, m.endReport.MemoryMb)
		}
	}
	return peak
}
