package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A run is given up, then its worker reports that it has failed. If that doesn't count, the job is started once more than
// its attempts allow; if it counts twice, the job is shown as failed without cause.
func TestLateFailureCountsOnce(t *testing.T) {
	is, l := is.New(t), newLeaderRenewalModel()
	l.oneTask()
	l.job.MaxAttempts = 2
	failed := &peerpb.TaskReport{Job: "j", Task: 0, Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_FAILED}
	l.workers[0] = &peerpb.Upstream{Id: "w1", Incarnation: 1, Version: 2, Tasks: []*peerpb.TaskReport{failed}}
	out := l.step()
	is.Equal(len(out.Batch.LateFailures), 1)
	state := store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{l.job}})
	for range 2 {
		state, _ = state.Apply(state.Index()+1, &controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: out.Batch}})
	}
	l.job, _ = state.Job("j")
	is.Equal(store.FailedAttempts(l.job), uint32(1))
	is.True(l.step().Batch == nil) // counted, and an attempt is left

	l.job.OwnFailures, l.job.CountedEpochs, l.job.Epoch = 1, []uint64{1, 2}, 2
	is.Equal(l.step().Batch.Moves[0].State, controlpb.JobState_JOB_STATE_PARKED)
}

// A job whose failures an earlier version has counted must not get them counted again.
func TestFailureCountedByAnEarlierVersionIsNotLate(t *testing.T) {
	is := is.New(t)
	job := &controlpb.Job{MaxAttempts: 3, Epoch: 4, OwnFailures: 1, FailedEpoch: 2}
	is.True(!store.FailsLate(job, 2))
	is.True(store.FailsLate(job, 3))
	job.CountedEpochs, job.LateFailures = []uint64{3}, 1
	is.True(!store.FailsLate(job, 2))
}
