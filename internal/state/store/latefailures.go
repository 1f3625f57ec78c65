package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// FailedAttempts returns the number of runs of a job that have failed by themselves.
func FailedAttempts(job *controlpb.Job) uint32 { return job.OwnFailures + job.LateFailures }

// FailsLate reports whether the failure of a run counts as an attempt that the job's attempts don't contain yet: the
// run was given up before its end was known. If such an end were forgotten, the job would be started once more than
// its attempts allow.
func FailsLate(job *controlpb.Job, run uint64) bool {
	if job.MaxAttempts == 0 || Ended(job.State) || Ended(job.NextState) {
		return false
	}
	givenUp := run < job.Epoch || run == job.Epoch && job.State == controlpb.JobState_JOB_STATE_WAITING
	return givenUp && !FailureCounted(job, run)
}

// FailureCounted reports whether the failure of a run is counted. Versions before CountedEpochs kept the newest epoch only.
func FailureCounted(job *controlpb.Job, run uint64) bool {
	if slices.Contains(job.CountedEpochs, run) {
		return true
	}
	return uint32(len(job.CountedEpochs)) < FailedAttempts(job) && run <= job.FailedEpoch
}

// recordLateFailure counts the failure of a run that was given up, once.
func (s *State) recordLateFailure(late *controlpb.LateFailure) {
	job, ok := s.Job(late.Job)
	if !ok || !FailsLate(job, late.Epoch) {
		return
	}
	job = proto.CloneOf(job)
	job.LateFailures++
	job.CountedEpochs = append(job.CountedEpochs, late.Epoch)
	s.putJob(job)
}
