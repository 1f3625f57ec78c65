package gang

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker that is reached again may report that a run has done its work which was given up. The
// job then counts as completed by the commands that there are for a run that ends well, which all
// versions apply alike: a waiting job is placed where it has been completed, without accelerators,
// and a placed one is stopped first.

// completedRun is a run of which a worker has reported that it completed a task.
type completedRun struct {
	epoch       uint64
	worker      string
	incarnation int64
}

// forgetCompleted drops the reports on jobs that have ended.
func (s *step) forgetCompleted() {
	if len(s.completed) == 0 {
		return
	}
	known := map[string]completedRun{}
	for _, job := range s.in.Jobs {
		if run, ok := s.completed[job.Id]; ok {
			known[job.Id] = run
		}
	}
	s.completed = known
}

// completedLate reports whether a run that was given up has done the job's work.
func (s *step) completedLate(job *controlpb.Job) bool {
	run, ok := s.completed[job.Id]
	return ok && store.CompletesLate(job, run.epoch)
}

// placeCompleted places a waiting job where a run that was given up has done its work.
func (s *step) placeCompleted(job *controlpb.Job) bool {
	if !s.completedLate(job) {
		return false
	}
	run := s.completed[job.Id]
	assignment := &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch}
	for task := range job.Tasks {
		assignment.Placements = append(assignment.Placements, &controlpb.Placement{Task: task, Worker: run.worker, Incarnation: run.incarnation})
	}
	s.out.Completed = append(s.out.Completed, assignment)
	return true
}

// completeLate records the end of a placed job whose work a run has done that was given up. A later run that
// may have started is stopped first. It returns false where the stop goes on as any other.
func (s *step) completeLate(job *controlpb.Job, r *run) bool {
	if !s.completedLate(job) {
		return false
	}
	switch {
	case !r.mayHaveStarted:
		s.finish(job)
		return true
	case job.State == controlpb.JobState_JOB_STATE_STOPPING:
		return false
	}
	s.move(&controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_STOPPING})
	return true
}

// finish records all tasks of a placed job as completed.
func (s *step) finish(job *controlpb.Job) {
	for _, placement := range job.Placements {
		s.batch().Finished = append(s.batch().Finished, &controlpb.FinishedTask{Job: job.Id, Epoch: job.Epoch, Task: placement.Task})
	}
}
