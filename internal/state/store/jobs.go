package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// submit accepts a job once: the same id again gets the job as it stands, which
// keeps an inventory entry's occurrence from running twice.
func (s *State) submit(op *controlpb.SubmitJob) *controlpb.Result {
	if job, ok := s.Job(op.Job.Id); ok {
		return &controlpb.Result{Job: job}
	}
	job := proto.CloneOf(op.Job)
	job.State = controlpb.JobState_JOB_STATE_WAITING
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

func (s *State) cancel(op *controlpb.CancelJob) *controlpb.Result {
	job, ok := s.Job(op.Id)
	if !ok || (op.Customer != "" && op.Customer != job.Customer) {
		return refusal(0, failure.NotFound, "no such job")
	}
	if Ended(job.State) {
		return &controlpb.Result{Job: job}
	}
	job = proto.CloneOf(job)
	s.stop(job, controlpb.JobState_JOB_STATE_CANCELLED)
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

// stop sends a job towards its next state: at once if it holds nothing, else
// through STOPPING, which holds its accelerators until every member is stopped.
func (s *State) stop(job *controlpb.Job, next controlpb.JobState) {
	if job.State == controlpb.JobState_JOB_STATE_WAITING {
		s.enter(job, next)
		return
	}
	job.NextState = next
	job.State = controlpb.JobState_JOB_STATE_STOPPING
}

// enter puts a job into a state in which it holds no accelerators, or starts one.
func (s *State) enter(job *controlpb.Job, state controlpb.JobState) {
	job.State = state
	if state == controlpb.JobState_JOB_STATE_WAITING || Ended(state) {
		job.Placements = nil
		job.DoneTasks = nil
		job.NextState = controlpb.JobState_JOB_STATE_UNSPECIFIED
	}
	if Ended(state) {
		job.EndedMs = s.timeMs
	}
}

// commitPlan checks each part of a plan against the state as it is now: the
// plan was made from an older one. Parts are independent; what is stale is
// refused by name and the rest stands.
func (s *State) commitPlan(plan *controlpb.CommitPlan) *controlpb.Result {
	result := &controlpb.Result{}
	for _, preemption := range plan.Preemptions {
		job, ok := s.Job(preemption.Job)
		if !ok || job.Epoch != preemption.Epoch || !holdsUpstreams(job.State) {
			result.Refused = append(result.Refused, preemption.Job)
			continue
		}
		job = proto.CloneOf(job)
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
		s.putJob(job)
	}
	taken := s.takenAccelerators()
	for _, assignment := range plan.Assignments {
		if !s.assign(assignment, taken) {
			result.Refused = append(result.Refused, assignment.Job)
		}
	}
	return result
}

// Accelerator is one accelerator of one worker.
type Accelerator struct {
	Worker string
	Number uint32
}

func (s *State) takenAccelerators() map[Accelerator]bool {
	taken := map[Accelerator]bool{}
	walk(s.active, func(_ string, job *controlpb.Job) {
		markTaken(taken, job.Placements)
	})
	return taken
}

func markTaken(taken map[Accelerator]bool, placements []*controlpb.Placement) {
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			taken[Accelerator{placement.Worker, number}] = true
		}
	}
}

// assign places a waiting job, all of its gang or none. No accelerator is
// given twice: a second plan from a deposed leader would find it taken here.
func (s *State) assign(assignment *controlpb.Assignment, taken map[Accelerator]bool) bool {
	job, ok := s.Job(assignment.Job)
	if !ok || job.Epoch != assignment.Epoch || job.State != controlpb.JobState_JOB_STATE_WAITING {
		return false
	}
	if len(assignment.Placements) != int(job.Tasks) || anyTaken(taken, assignment.Placements) {
		return false
	}
	job = proto.CloneOf(job)
	job.Epoch++
	job.Attempts++
	job.Placements = assignment.Placements
	job.State = controlpb.JobState_JOB_STATE_STARTING
	s.putJob(job)
	markTaken(taken, job.Placements)
	return true
}

func anyTaken(taken map[Accelerator]bool, placements []*controlpb.Placement) bool {
	own := map[Accelerator]bool{}
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			accelerator := Accelerator{placement.Worker, number}
			if taken[accelerator] || own[accelerator] {
				return true
			}
			own[accelerator] = true
		}
	}
	return false
}

func holdsUpstreams(state controlpb.JobState) bool {
	return state == controlpb.JobState_JOB_STATE_STARTING || state == controlpb.JobState_JOB_STATE_RUNNING
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
	if op.Failure != nil {
		job.Failures = append(job.Failures, op.Failure)
	}
	job.CheckpointedMs = max(job.CheckpointedMs, op.CheckpointedMs)
	job.NotBeforeMs = max(job.NotBeforeMs, op.NotBeforeMs)
	switch op.State {
	case controlpb.JobState_JOB_STATE_RUNNING:
		job.StartedMs = s.timeMs
		s.enter(job, op.State)
	case controlpb.JobState_JOB_STATE_STOPPING:
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
	default:
		s.enter(job, op.State)
	}
	s.putJob(job)
	return &controlpb.Result{Job: job}
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

// finishTasks counts tasks that ended well; a gang is complete with its last.
func (s *State) finishTasks(op *controlpb.FinishTasks) *controlpb.Result {
	for _, finished := range op.Tasks {
		job, ok := s.Job(finished.Job)
		if !ok || job.Epoch != finished.Epoch || !holdsUpstreams(job.State) {
			continue
		}
		if slices.Contains(job.DoneTasks, finished.Task) {
			continue
		}
		job = proto.CloneOf(job)
		job.DoneTasks = append(job.DoneTasks, finished.Task)
		if len(job.DoneTasks) == int(job.Tasks) {
			s.enter(job, controlpb.JobState_JOB_STATE_COMPLETED)
		}
		s.putJob(job)
	}
	return &controlpb.Result{}
}

func (s *State) putJob(job *controlpb.Job) {
	key := []byte(job.Id)
	s.jobs, _, _ = s.jobs.Insert(key, job)
	if Ended(job.State) {
		s.active, _, _ = s.active.Delete(key)
		return
	}
	s.active, _, _ = s.active.Insert(key, job)
}
