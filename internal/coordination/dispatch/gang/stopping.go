package gang

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	minStopRetryDelay = 200 * time.Millisecond
	maxStopRetryDelay = 2 * time.Second
	// slowStop is how long a stop may take under one leader before it is reported.
	slowStop = time.Second
)

// SlowStop is a stop that has lasted for long under this leader.
type SlowStop struct {
	Job   *controlpb.Job
	Since time.Time
	// Waiting are the members of which no end is known.
	Waiting []*controlpb.Placement
}

// stopRetryDelay returns the delay before a stop is sent again after that many failures:
// exponential, up to maxStopRetryDelay.
func stopRetryDelay(failedStops int) time.Duration {
	return min(minStopRetryDelay<<min(failedStops-1, 8), maxStopRetryDelay)
}

// stopping handles a job in state STOPPING. It stops every member, and releases the
// accelerators only when each member has acknowledged that it no longer runs or its
// lease has certainly expired, after StopWait. Acknowledgements are recorded in the log,
// so that a lost answer or a new leader does not make it stop these members again. A new
// leader counts StopWait from when its own replica had the stop, whichever instance led
// then: times on the previous leader's clock cannot be compared with its own.
func (s *step) stopping(job *controlpb.Job, r *run) {
	if s.in.LeaseExpired != nil && !r.mayHaveStarted {
		// No start command was sent, so there is nothing to stop and no lease to wait
		// for. Without this case, a gang with a member on a partitioned worker was
		// released only after 6 s.
		s.release(job, r, 0)
		return
	}
	s.recordCompletions(job, r)
	unacknowledged, leasesExpired := 0, true
	for _, m := range r.members {
		if endKnown(job, m) {
			continue
		}
		unacknowledged++
		leasesExpired = leasesExpired && s.leaseExpired(job, m, r)
		w := s.workers[m.placement.Worker]
		if m.awaiting == 0 && w != nil && !s.in.Now.Before(m.retryAt) {
			s.send(Stop, job, m, w)
		}
	}
	if unacknowledged > 0 && !leasesExpired && !s.endProvenByGang(job, r) {
		s.recordStops(job, r)
		s.reportSlowStop(job, r)
		return
	}
	if s.startUnderWay(job, r) {
		s.recordStops(job, r)
		s.reportSlowStop(job, r)
		return
	}
	s.release(job, r, unacknowledged)
}

// startUnderWay reports whether a start of the run may still be carried out, so that the job can't run again yet: the run
// would go on beside the next one. The worker's present incarnation may have refused the run, or ended it; a later one
// would not.
func (s *step) startUnderWay(job *controlpb.Job, r *run) bool {
	return job.NextState == controlpb.JobState_JOB_STATE_WAITING && !s.completedLate(job) && s.startUnanswered(job, r, r.since)
}

// startUnanswered reports whether a start of any member may still be carried out, where the job is being stopped since a
// time; zero if it isn't.
func (s *step) startUnanswered(job *controlpb.Job, r *run, stoppedSince time.Time) bool {
	return s.in.StartUnderWay != nil && slices.ContainsFunc(r.members, func(m *member) bool { return s.in.StartUnderWay(job, m.placement, stoppedSince) })
}

// endProvenByGang reports whether the last member without a known end has ended, because all others report that
// they ended after another member: that can only be this one. The wait for its lease, seconds in which
// nothing of the job runs, isn't needed then. How it ended is not known. It may have failed by itself, so
// this counts only while the job has attempts left whatever the lost members did.
func (s *step) endProvenByGang(job *controlpb.Job, r *run) bool {
	if s.in.LeaseExpired == nil || !job.EndsTogether || !hasSpareAttempt(job) {
		return false
	}
	var lost *member
	for _, m := range r.members {
		switch {
		case endedWithGang(job, m):
		case lost != nil || endKnown(job, m):
			return false
		default:
			lost = m
		}
	}
	return lost != nil && len(r.members) > 1 && s.notAnswering(job, r, lost)
}

// notAnswering reports whether a member's worker has left its stop unanswered or is not listed any more. One that
// answers tells itself how the member ended. A worker that may start again under its id might still carry
// out a late start of the run, unless the only leader that has sent one knows that it has begun.
func (s *step) notAnswering(job *controlpb.Job, r *run, m *member) bool {
	begun := job.StartedByPlacer || !r.inherited && m.phase >= phaseRunning
	if m.placement.Incarnation > unnamedIncarnation && !begun {
		return false
	}
	return m.failedStops > 0 || s.workers[m.placement.Worker] == nil && s.hasLedFor(firstAnswers)
}

// firstAnswers is the time in which the workers that can be reached answer a new leader.
const firstAnswers = 500 * time.Millisecond

// hasLedFor reports whether this instance has led for at least the duration.
func (s *step) hasLedFor(duration time.Duration) bool {
	return s.in.Now.Sub(s.leadingSince) >= duration
}

// unnamedIncarnation is the incarnation of workers of which each start has an id of its own.
const unnamedIncarnation = 1

// hasSpareAttempt reports whether another run may begin even if each run that lost a member had failed by itself.
func hasSpareAttempt(job *controlpb.Job) bool {
	_, infrastructure := countFailures(job)
	return job.MaxAttempts > 0 && store.FailedAttempts(job)+uint32(infrastructure) < job.MaxAttempts
}

// reportSlowStop reports, once under each leader, a stop that lasts.
func (s *step) reportSlowStop(job *controlpb.Job, r *run) {
	if r.slowStopReported || s.in.Now.Sub(r.since) < slowStop {
		return
	}
	r.slowStopReported = true
	slow := SlowStop{Job: job, Since: r.since}
	for _, m := range r.members {
		if !endKnown(job, m) {
			slow.Waiting = append(slow.Waiting, m.placement)
		}
	}
	s.out.SlowStops = append(s.out.SlowStops, slow)
}

// leaseExpired reports whether the lease of a member that did not acknowledge the stop
// has certainly expired.
func (s *step) leaseExpired(job *controlpb.Job, m *member, r *run) bool {
	if s.in.LeaseExpired != nil {
		return s.in.LeaseExpired(job, m.placement)
	}
	return s.in.Now.Sub(r.since) >= s.config.StopWait()
}

// recordStops records the stops that were acknowledged while others are outstanding.
func (s *step) recordStops(job *controlpb.Job, r *run) {
	for _, m := range r.members {
		if !m.phase.ended() || m.phase == phaseCompleted || store.StopAcknowledged(job, m.placement.Task) {
			continue
		}
		s.batch().Stopped = append(s.batch().Stopped, &controlpb.StopAcknowledged{
			Job: job.Id, Epoch: job.Epoch, StartUnanswered: s.in.StartUnderWay != nil && s.in.StartUnderWay(job, m.placement, r.since),
			Stopped: &controlpb.StoppedTask{
				Task: m.placement.Task, CheckpointedMs: m.checkpointedMs, OutcomeUnknown: m.outcomeUnknown,
				Checkpoint: m.checkpoint, EndedWithGang: endedWithGang(job, m),
			},
		})
	}
}

// release frees the accelerators and decides the job's next state.
func (s *step) release(job *controlpb.Job, r *run, unacknowledged int) {
	if s.completedLate(job) {
		s.finish(job)
		return
	}
	move := &controlpb.MoveJob{
		Job: job.Id, Epoch: job.Epoch,
		State:          job.NextState,
		CheckpointedMs: commonCheckpoint(job, r),
		Checkpoint:     r.selectCheckpoint(),
		Failure:        s.failureDuringStop(job, r),
		LostTasks:      s.lostTasks(job, r, unacknowledged),
	}
	if job.NextState == controlpb.JobState_JOB_STATE_WAITING {
		s.decideRetry(job, r, unacknowledged, move)
	}
	s.move(move)
}

// lostTasks lists the members that may have run and of which no end is known. unacknowledged
// is the number of members without an acknowledged stop; it is 0 where none has started.
func (s *step) lostTasks(job *controlpb.Job, r *run, unacknowledged int) []uint32 {
	if unacknowledged == 0 {
		return nil
	}
	var lost []uint32
	for _, m := range r.members {
		if !endKnown(job, m) && !s.neverStarted(r, m) {
			lost = append(lost, m.placement.Task)
		}
	}
	return lost
}

// commonCheckpoint returns the work covered by the checkpoints of all members, in ms: a
// gang resumes from the smallest one.
func commonCheckpoint(job *controlpb.Job, r *run) int64 {
	if !job.Checkpointable {
		return job.CheckpointedMs
	}
	recorded := map[uint32]int64{}
	for _, t := range job.StoppedTasks {
		recorded[t.Task] = t.CheckpointedMs
	}
	minimum := int64(-1)
	for _, m := range r.members {
		if m.phase == phaseCompleted || completionRecorded(job, m) {
			continue
		}
		checkpointed := max(recorded[m.placement.Task], m.checkpointedMs)
		if minimum < 0 || checkpointed < minimum {
			minimum = checkpointed
		}
	}
	return max(minimum, job.CheckpointedMs)
}

// selectCheckpoint returns the name of a checkpoint reported by a member's worker, or "":
// preferably one written at the stop, else the newest of some member. The checkpoint of
// any member is valid for the whole gang.
func (r *run) selectCheckpoint() string {
	selected := ""
	for _, m := range r.members {
		if m.checkpoint != "" && (selected == "" || m.phase == phaseStopped) {
			selected = m.checkpoint
		}
	}
	return selected
}

// failureDuringStop returns the failure of a member that was reported after the gang was
// stopped for another reason, as happens when the ends of other members are reported
// first. Without it the gang would get one attempt more than MaxAttempts.
func (s *step) failureDuringStop(job *controlpb.Job, r *run) *controlpb.TaskFailure {
	if job.MaxAttempts == 0 || job.FailedEpoch == job.Epoch {
		return nil
	}
	if m := r.failedMember(job); m != nil {
		return s.memberFailure(m)
	}
	return nil
}

// decideRetry returns the job to the queue with a backoff, or parks it.
func (s *step) decideRetry(job *controlpb.Job, r *run, unacknowledged int, move *controlpb.MoveJob) {
	if reason := s.unsafeToRetry(job, r, unacknowledged); reason != "" {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		move.Failure = &controlpb.TaskFailure{Code: string(failure.OutcomeUnknown), Detail: reason, TimeMs: s.in.Now.UnixMilli()}
		return
	}
	if job.MaxAttempts > 0 {
		s.decideBoundedRetry(job, move)
		return
	}
	if job.Preempted {
		return
	}
	if atFault(job, s.in.Quarantined) {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		return
	}
	if !stoppedByEvacuation(job) {
		move.NotBeforeMs = s.in.Now.Add(backoff(job)).UnixMilli()
	}
}

// unsafeToRetry returns why a job that is not idempotent must not run again, or "". A
// member that completed has done its work, and one with an unknown outcome may have. An
// operator has to decide, because a retry could do the work twice.
func (s *step) unsafeToRetry(job *controlpb.Job, r *run, unacknowledged int) string {
	if job.Idempotent {
		return ""
	}
	for _, m := range r.members {
		if m.phase == phaseCompleted || completionRecorded(job, m) {
			return "a part of work that is not idempotent was done before the gang was stopped"
		}
	}
	if r.mayHaveStarted && (unacknowledged > 0 || r.outcomeUnknown(job)) {
		return "work that is not idempotent ran on a worker that cannot say how it ended"
	}
	return ""
}

func (r *run) outcomeUnknown(job *controlpb.Job) bool {
	return slices.ContainsFunc(r.members, func(m *member) bool { return m.outcomeUnknown }) ||
		slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool { return t.OutcomeUnknown })
}
