package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// maxFailures limits the failures kept for one job, newest last.
	maxFailures = 16
	// After a task exceeded its memory, the next attempt gets a quarter more than the
	// observed usage, because usage is reported with a delay and is therefore too low.
	memoryMarginNumerator   = 5
	memoryMarginDenominator = 4
)

// batchMove applies the events of one dispatch step. Finished tasks come first, so that a
// gang whose last task succeeded is complete before a stop of it is considered. Crashes
// come before stops and moves, after which the state no longer shows what ran on the workers.
func (s *State) batchMove(op *controlpb.BatchMove, decidedIn uint64) *controlpb.Result {
	result := &controlpb.Result{}
	if op.KeepsSuspensions {
		s.keepSuspensions()
	}
	s.suspendLeases(op.Suspensions, decidedIn)
	s.finishTasks(&controlpb.FinishTasks{Tasks: op.Finished})
	for _, crash := range op.Crashes {
		s.recordCrash(crash)
	}
	for _, late := range op.LateFailures {
		s.recordLateFailure(late)
	}
	for _, acknowledged := range op.Stopped {
		s.acknowledgeStop(acknowledged)
	}
	for _, move := range op.Moves {
		if moved := s.moveJob(move); moved.Code != "" {
			result.Refused = append(result.Refused, move.Job)
		}
	}
	return result
}

// moveJob records a state change that dispatch observed for one epoch of a job. A report
// of an older epoch is a late report of a gang that has been stopped since.
func (s *State) moveJob(op *controlpb.MoveJob) *controlpb.Result {
	job, ok := s.Job(op.Job)
	if !ok {
		return refusal(0, failure.NotFound, "no such job")
	}
	if job.Epoch != op.Epoch || !moveAllowed(job, op.State) {
		return refusal(0, failure.StaleEpoch, "the job has moved on")
	}
	job = proto.CloneOf(job)
	s.recordLostRuns(job, op.LostTasks)
	s.recordFailure(job, op.Failure)
	raiseMemory(job, op.ObservedMemoryMb)
	job.NotBeforeMs = max(job.NotBeforeMs, op.NotBeforeMs)
	if op.Checkpoint != "" {
		job.Checkpoint = op.Checkpoint
	}
	if op.State == controlpb.JobState_JOB_STATE_RUNNING || op.State == controlpb.JobState_JOB_STATE_STOPPING {
		job.StartUnanswered = op.StartUnanswered
	}
	switch {
	case op.State == controlpb.JobState_JOB_STATE_RUNNING:
		s.startRunning(job)
	case op.State == controlpb.JobState_JOB_STATE_STOPPING:
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
	case job.State == controlpb.JobState_JOB_STATE_STOPPING:
		s.finishStop(job, stateAfterStop(job, op.State), op.CheckpointedMs)
	default:
		s.setState(job, op.State)
	}
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

// stateAfterStop returns the state of a job after its stop. A cancellation during the
// stop takes precedence over the state that the leader requested before it observed the
// cancellation; otherwise a cancelled job would run again.
func stateAfterStop(job *controlpb.Job, asked controlpb.JobState) controlpb.JobState {
	if job.NextState == controlpb.JobState_JOB_STATE_CANCELLED {
		return controlpb.JobState_JOB_STATE_CANCELLED
	}
	return asked
}

func moveAllowed(job *controlpb.Job, to controlpb.JobState) bool {
	from := job.State
	switch to {
	case controlpb.JobState_JOB_STATE_RUNNING:
		return from == controlpb.JobState_JOB_STATE_STARTING
	case controlpb.JobState_JOB_STATE_STOPPING:
		return holdsAccelerators(from)
	case controlpb.JobState_JOB_STATE_COMPLETED:
		return from == controlpb.JobState_JOB_STATE_RUNNING
	case controlpb.JobState_JOB_STATE_WAITING,
		controlpb.JobState_JOB_STATE_CANCELLED,
		controlpb.JobState_JOB_STATE_PARKED:
		return from == controlpb.JobState_JOB_STATE_STOPPING || from == controlpb.JobState_JOB_STATE_WAITING
	}
	return false
}

func (s *State) recordFailure(job *controlpb.Job, failed *controlpb.TaskFailure) {
	if failed == nil {
		return
	}
	job.Failures = append(job.Failures, failed)
	if excess := len(job.Failures) - maxFailures; excess > 0 {
		job.Failures = job.Failures[excess:]
	}
	if !failure.Code(failed.Code).Infrastructure() && job.FailedEpoch < job.Epoch {
		job.FailedEpoch = job.Epoch
		job.OwnFailures++
		job.CountedEpochs = append(job.CountedEpochs, job.Epoch)
	}
	s.recordWorkerFailure(job.Id, failed)
}

// raiseMemory raises the memory request of the next attempt to the observed usage plus a
// margin: with the declared size, the memory guard would stop it again.
func raiseMemory(job *controlpb.Job, observedMB uint64) {
	job.MemoryMb = max(job.MemoryMb, observedMB*memoryMarginNumerator/memoryMarginDenominator)
}

func (s *State) startRunning(job *controlpb.Job) {
	job.State = controlpb.JobState_JOB_STATE_RUNNING
	job.StartedMs = s.timeMs
	job.StartedByPlacer = job.PlacedIn > 0 && job.PlacedIn == s.suspensions.LogTerm && !job.StartUnanswered
	job.ReservedMs += s.timeMs - job.PlacedMs
	s.recordStarted(job.Placements)
	if job.Workflow != "" {
		s.workflowJobStarted(job)
	}
}

// stop moves a job to its next state: immediately if it holds no accelerators, otherwise
// through STOPPING, in which it holds its accelerators until every member has stopped.
func (s *State) stop(job *controlpb.Job, next controlpb.JobState) {
	switch job.State {
	case controlpb.JobState_JOB_STATE_WAITING:
		s.setState(job, next)
		return
	case controlpb.JobState_JOB_STATE_RUNNING:
		job.RanMs += s.timeMs - job.StartedMs
		job.StoppingMs = s.timeMs
	case controlpb.JobState_JOB_STATE_STARTING:
		job.ReservedMs += s.timeMs - job.PlacedMs
		job.StoppingMs = s.timeMs
	}
	job.NextState = next
	job.State = controlpb.JobState_JOB_STATE_STOPPING
}

// finishStop ends a stop: every member has stopped or its lease has expired. Run time
// after the last checkpoint is lost and accounted by its cause.
func (s *State) finishStop(job *controlpb.Job, next controlpb.JobState, checkpointedMs int64) {
	kept := max(checkpointedMs-job.CheckpointedMs, 0)
	if job.StartedMs > 0 && next != controlpb.JobState_JOB_STATE_CANCELLED {
		lost := max(job.StoppingMs-job.StartedMs-kept, 0)
		job.LostMs += lost
		if job.Preempted {
			job.LostPreemptedMs += lost
		}
	}
	job.CheckpointedMs += kept
	job.ReservedMs += s.timeMs - job.StoppingMs
	s.setState(job, next)
}

// setState moves a job to a state in which it holds no accelerators.
func (s *State) setState(job *controlpb.Job, state controlpb.JobState) {
	job.State = state
	job.Placements = nil
	job.DoneTasks = nil
	job.StoppedTasks = nil
	job.Preempted = false
	job.NextState = controlpb.JobState_JOB_STATE_UNSPECIFIED
	if Ended(state) {
		job.EndedMs = s.timeMs
	}
	if state == controlpb.JobState_JOB_STATE_PARKED {
		s.clearJobFailures(job)
	}
}

// acknowledgeStop records that a member has stopped, so that neither a retry nor a new
// leader waits for it again.
func (s *State) acknowledgeStop(op *controlpb.StopAcknowledged) {
	job, ok := s.Job(op.Job)
	if !ok || job.Epoch != op.Epoch || job.State != controlpb.JobState_JOB_STATE_STOPPING {
		return
	}
	if StopAcknowledged(job, op.Stopped.Task) {
		return
	}
	job = proto.CloneOf(job)
	job.StoppedTasks = append(job.StoppedTasks, op.Stopped)
	job.StartUnanswered = job.StartUnanswered || op.StartUnanswered
	if op.Stopped.Checkpoint != "" {
		job.Checkpoint = op.Stopped.Checkpoint
	}
	freeAccelerators(job, op.Stopped.Task)
	s.putJob(job)
}

// freeAccelerators frees the accelerators of a member that certainly no longer runs,
// while the other members still hold theirs. Otherwise a gang of 128 with one
// unresponsive worker would keep the other 127 workers idle for up to a full lease.
func freeAccelerators(job *controlpb.Job, task uint32) {
	if placement := PlacementOf(job, task); placement != nil {
		placement.Accelerators = nil
	}
}

// PlacementOf returns the placement of a task, or nil if the task isn't placed.
func PlacementOf(job *controlpb.Job, task uint32) *controlpb.Placement {
	for _, placement := range job.Placements {
		if placement.Task == task {
			return placement
		}
	}
	return nil
}

// StopAcknowledged reports whether the stop of the task is recorded in the log.
func StopAcknowledged(job *controlpb.Job, task uint32) bool {
	return slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool { return t.Task == task })
}

// finishTasks records tasks that succeeded; a gang is complete when all of its tasks
// have. They count during a stop too: a gang whose tasks all succeeded before the stop
// arrived has done its work and must not repeat it.
func (s *State) finishTasks(op *controlpb.FinishTasks) *controlpb.Result {
	for _, finished := range op.Tasks {
		job, ok := s.Job(finished.Job)
		if !ok || job.Epoch != finished.Epoch || len(job.Placements) == 0 {
			continue
		}
		if slices.Contains(job.DoneTasks, finished.Task) {
			continue
		}
		job = proto.CloneOf(job)
		s.finishTask(job, finished.Task)
		s.putJob(job)
	}
	return &controlpb.Result{}
}

// CompletesLate reports whether the successful end of one task in a run completes the job although the run
// was given up. It does not where the ends of all tasks are needed.
func CompletesLate(job *controlpb.Job, run uint64) bool {
	if Ended(job.State) || Ended(job.NextState) || job.Tasks > 1 && !job.EndsTogether {
		return false
	}
	givenUp := job.State == controlpb.JobState_JOB_STATE_WAITING || job.StartUnanswered && job.State == controlpb.JobState_JOB_STATE_STOPPING
	return run < job.Epoch || run == job.Epoch && givenUp
}

func (s *State) finishTask(job *controlpb.Job, task uint32) {
	job.DoneTasks = append(job.DoneTasks, task)
	s.recordWorkerSuccess(job, task)
	freeAccelerators(job, task)
	if len(job.DoneTasks) < int(job.Tasks) {
		return
	}
	if job.State == controlpb.JobState_JOB_STATE_RUNNING {
		job.RanMs += s.timeMs - job.StartedMs
	}
	s.setState(job, controlpb.JobState_JOB_STATE_COMPLETED)
}
