package store

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// submit accepts a job once: a second submission with the same id returns the existing
// job. A job for an occurrence of an inventory entry that was already submitted is
// refused, even if that job has expired since.
func (s *State) submit(op *controlpb.SubmitJob) *controlpb.Result {
	if job, ok := s.Job(op.Job.Id); ok {
		return &controlpb.Result{Job: job}
	}
	if op.Job.Entry != "" && !s.recordOccurrence(op.Job) {
		return refusal(0, failure.Conflict, "this work of the entry was due before")
	}
	job := proto.CloneOf(op.Job)
	job.State = controlpb.JobState_JOB_STATE_WAITING
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

func (s *State) submitJobs(op *controlpb.SubmitJobs) *controlpb.Result {
	result := &controlpb.Result{}
	for _, job := range op.Jobs {
		if refused := s.submit(&controlpb.SubmitJob{Job: job}); refused.Code != "" {
			result.Refused = append(result.Refused, job.Id)
		}
	}
	return result
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

// commitPlan checks each part of a plan against the current state, because the plan was
// computed from an older one. The parts are independent: the jobs of stale parts are
// listed as refused, and the other parts take effect.
func (s *State) commitPlan(plan *controlpb.CommitPlan) *controlpb.Result {
	result := &controlpb.Result{}
	for _, preemption := range plan.Preemptions {
		job, ok := s.Job(preemption.Job)
		if !ok || job.Epoch != preemption.Epoch || !holdsAccelerators(job.State) {
			result.Refused = append(result.Refused, preemption.Job)
			continue
		}
		job = proto.CloneOf(job)
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
		job.Preempted = true
		s.putJob(job)
	}
	for _, assignment := range plan.Assignments {
		if !s.assign(assignment) {
			result.Refused = append(result.Refused, assignment.Job)
		}
	}
	return result
}

// assign places all tasks of a waiting job or none. It never assigns an accelerator
// twice: a conflicting plan of a deposed leader is refused here.
func (s *State) assign(assignment *controlpb.Assignment) bool {
	job, ok := s.Job(assignment.Job)
	if !ok || job.Epoch != assignment.Epoch || job.State != controlpb.JobState_JOB_STATE_WAITING {
		return false
	}
	if len(assignment.Placements) != int(job.Tasks) || s.anyHeld(assignment.Placements) {
		return false
	}
	job = proto.CloneOf(job)
	job.Epoch++
	job.Attempts++
	job.Placements = assignment.Placements
	job.PlacedMs = s.timeMs
	job.StartedMs = 0
	job.PlacedIn, job.StartedByPlacer, job.StartUnanswered = s.suspensions.LogTerm, false, false
	job.State = controlpb.JobState_JOB_STATE_STARTING
	s.putJob(job)
	s.recordPlaced(assignment.Placements)
	return true
}

// anyHeld reports whether an open job holds one of the accelerators, or two of the
// placements name the same one.
func (s *State) anyHeld(placements []*controlpb.Placement) bool {
	own := map[Accelerator]bool{}
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			accelerator := Accelerator{placement.Worker, number}
			if own[accelerator] || s.isHeld(accelerator) {
				return true
			}
			own[accelerator] = true
		}
	}
	return false
}

func holdsAccelerators(state controlpb.JobState) bool {
	return state == controlpb.JobState_JOB_STATE_STARTING || state == controlpb.JobState_JOB_STATE_RUNNING
}

func (s *State) putJob(job *controlpb.Job) {
	key := []byte(job.Id)
	before, _ := s.jobs.Get(key)
	s.updateHeld(before, job)
	s.jobs, _, _ = s.jobs.Insert(key, job)
	if !Ended(job.State) {
		s.active, _, _ = s.active.Insert(key, job)
		return
	}
	s.active, _, _ = s.active.Delete(key)
	if job.Workflow != "" {
		s.workflowJobEnded(job)
	}
}
