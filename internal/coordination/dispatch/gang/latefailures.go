package gang

import (
	"maps"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker that is reached again may report that a run has failed which was given up. The failure counts as an attempt
// of the job, and its worker is told to forget the end only after that.

// noteFailure keeps a reported failure until the log counts it.
func (s *step) noteFailure(report *peerpb.TaskReport) {
	if report.Phase != peerpb.TaskPhase_TASK_PHASE_FAILED {
		return
	}
	if s.failed[report.Job] == nil {
		s.failed[report.Job] = map[uint64]bool{}
	}
	s.failed[report.Job][report.Epoch] = true
}

// countLateFailures counts the failures of runs of a job that were given up.
func (s *step) countLateFailures(job *controlpb.Job) {
	for _, epoch := range slices.Sorted(maps.Keys(s.failed[job.Id])) {
		if store.FailsLate(job, epoch) {
			s.batch().LateFailures = append(s.batch().LateFailures, &controlpb.LateFailure{Job: job.Id, Epoch: epoch})
		} else if epoch < job.Epoch {
			delete(s.failed[job.Id], epoch)
		}
	}
}

// forgetFailures drops the reports on jobs that have ended.
func (s *step) forgetFailures() {
	if len(s.failed) == 0 {
		return
	}
	known := map[string]map[uint64]bool{}
	for _, job := range s.in.Jobs {
		if epochs := s.failed[job.Id]; len(epochs) > 0 {
			known[job.Id] = epochs
		}
	}
	s.failed = known
}

// outOfAttempts parks a waiting job whose attempts are used up by failures that became known late.
func (s *step) outOfAttempts(job *controlpb.Job) bool {
	if job.State != controlpb.JobState_JOB_STATE_WAITING || job.MaxAttempts == 0 || store.FailedAttempts(job) < job.MaxAttempts {
		return false
	}
	s.move(&controlpb.MoveJob{
		Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_PARKED,
		Failure: &controlpb.TaskFailure{Code: string(failure.TaskFailed), Detail: "a run that was given up had failed", TimeMs: s.in.Now.UnixMilli()},
	})
	return true
}
