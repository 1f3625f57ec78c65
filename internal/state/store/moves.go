package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// maxFailures bounds the evidence that a job keeps, newest last.
	maxFailures = 16
	// A task that outgrew its memory gets a quarter more than was seen in use,
	// because usage is reported late and so low.
	memoryMarginNumerator   = 5
	memoryMarginDenominator = 4
)

// batchMove applies what one step of dispatch found: ends first, so that a gang
// whose last task ended well is complete before a stop of it is looked at.
func (s *State) batchMove(op *controlpb.BatchMove) *controlpb.Result {
	result := &controlpb.Result{}
	s.finishTasks(&controlpb.FinishTasks{Tasks: op.Finished})
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

// moveJob records what dispatch saw happen to one epoch of a job. A report of
// an older epoch is late news of a gang that has been stopped since.
func (s *State) moveJob(op *controlpb.MoveJob) *controlpb.Result {
	job, ok := s.Job(op.Job)
	if !ok {
		return refusal(0, failure.NotFound, "no such job")
	}
	if job.Epoch != op.Epoch || !moveAllowed(job, op.State) {
		return refusal(0, failure.StaleEpoch, "the job has moved on")
	}
	job = proto.CloneOf(job)
	s.recordFailure(job, op.Failure)
	resize(job, op.ObservedMemoryMb)
	job.NotBeforeMs = max(job.NotBeforeMs, op.NotBeforeMs)
	if op.Checkpoint != "" {
		job.Checkpoint = op.Checkpoint
	}
	switch {
	case op.State == controlpb.JobState_JOB_STATE_RUNNING:
		s.run(job)
	case op.State == controlpb.JobState_JOB_STATE_STOPPING:
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
	case job.State == controlpb.JobState_JOB_STATE_STOPPING:
		s.release(job, afterStop(job, op.State), op.CheckpointedMs)
	default:
		s.enter(job, op.State)
	}
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

// afterStop lets a cancellation that came while the gang was being stopped win
// over the move that the leader chose before it saw the cancellation; the
// caller would see a cancelled job run again otherwise.
func afterStop(job *controlpb.Job, asked controlpb.JobState) controlpb.JobState {
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
		return holdsUpstreams(from)
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
	}
	s.recordWorkerFailure(job.Id, failed)
}

// resize makes the next attempt ask for what was seen in use, not for what was
// declared: with the declared size it would be stopped by the guard again.
func resize(job *controlpb.Job, observedMB uint64) {
	job.MemoryMb = max(job.MemoryMb, observedMB*memoryMarginNumerator/memoryMarginDenominator)
}

func (s *State) run(job *controlpb.Job) {
	job.State = controlpb.JobState_JOB_STATE_RUNNING
	job.StartedMs = s.timeMs
	job.ReservedMs += s.timeMs - job.PlacedMs
	if job.Workflow != "" {
		s.unitStarted(job)
	}
}

// stop sends a job towards its next state: at once if it holds nothing, else
// through STOPPING, which holds its accelerators until every member is stopped.
func (s *State) stop(job *controlpb.Job, next controlpb.JobState) {
	switch job.State {
	case controlpb.JobState_JOB_STATE_WAITING:
		s.enter(job, next)
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

// release ends a stop: every member is stopped or its lease has run out. What
// no checkpoint kept of the run is lost, and counted by its cause.
func (s *State) release(job *controlpb.Job, next controlpb.JobState, checkpointedMs int64) {
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
	s.enter(job, next)
}

// enter puts a job into a state in which it holds no accelerators.
func (s *State) enter(job *controlpb.Job, state controlpb.JobState) {
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
		s.clearBlame(job)
	}
}

// acknowledgeStop keeps a member's word that it has stopped, so that neither a
// retry nor a new leader waits for it again.
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
	if op.Stopped.Checkpoint != "" {
		job.Checkpoint = op.Stopped.Checkpoint
	}
	giveBack(job, op.Stopped.Task)
	s.putJob(job)
}

// giveBack frees the accelerators of one member that surely runs no more, while
// the rest of its gang still holds theirs: a gang of 128 with one silent worker
// would keep 127 others idle for as long as a lease can last.
func giveBack(job *controlpb.Job, task uint32) {
	if placement := PlacementOf(job, task); placement != nil {
		placement.Accelerators = nil
	}
}

// PlacementOf is where a task of the job is placed; nil where it is not.
func PlacementOf(job *controlpb.Job, task uint32) *controlpb.Placement {
	for _, placement := range job.Placements {
		if placement.Task == task {
			return placement
		}
	}
	return nil
}

// StopAcknowledged tells whether the member's stop is in the log.
func StopAcknowledged(job *controlpb.Job, task uint32) bool {
	return slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool { return t.Task == task })
}

// finishTasks counts tasks that ended well; a gang is complete with its last.
// They count during a stop too: a gang whose every task had ended well before
// the stop came has done its work, and must not do it twice.
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

func (s *State) finishTask(job *controlpb.Job, task uint32) {
	job.DoneTasks = append(job.DoneTasks, task)
	s.recordWorkerSuccess(job, task)
	giveBack(job, task)
	if len(job.DoneTasks) < int(job.Tasks) {
		return
	}
	if job.State == controlpb.JobState_JOB_STATE_RUNNING {
		job.RanMs += s.timeMs - job.StartedMs
	}
	s.enter(job, controlpb.JobState_JOB_STATE_COMPLETED)
}
