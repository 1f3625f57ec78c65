package store

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A replica that restored a snapshot must refuse the same plans as one that applied the
// whole log. Their held accelerators are compared after random commands on a few workers,
// including conflicting plans.
func TestHeldAcceleratorsMatchOpenJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is, state := is.New(t), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			state, _ = state.Apply(state.Index()+1, drawCommand(t, state))
			is.Equal(heldCounts(state), heldCounts(Restore(state.Snapshot())))
		}
	})
}

// drawCommand draws a submission, a plan for a waiting job, finished tasks or a move.
func drawCommand(t *rapid.T, state *State) *controlpb.Command {
	var jobs []*controlpb.Job
	if jobs = state.ActiveJobs(); len(jobs) == 0 || rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		job := &controlpb.Job{Id: rapid.StringMatching(`[a-h]`).Draw(t, "id"), Tasks: 2, Accelerators: 1}
		return &controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}}
	}
	job := rapid.SampledFrom(jobs).Draw(t, "job")
	if job.State == controlpb.JobState_JOB_STATE_WAITING {
		return &controlpb.Command{Op: &controlpb.Command_Plan{Plan: drawPlan(t, job)}}
	}
	if rapid.Bool().Draw(t, "finish") {
		ends := []*controlpb.FinishedTask{{Job: job.Id, Epoch: job.Epoch, Task: rapid.Uint32Range(0, 1).Draw(t, "task")}}
		return &controlpb.Command{Op: &controlpb.Command_Finish{Finish: &controlpb.FinishTasks{Tasks: ends}}}
	}
	to := rapid.SampledFrom([]controlpb.JobState{
		controlpb.JobState_JOB_STATE_RUNNING, controlpb.JobState_JOB_STATE_STOPPING, controlpb.JobState_JOB_STATE_WAITING,
		controlpb.JobState_JOB_STATE_CANCELLED, controlpb.JobState_JOB_STATE_PARKED,
	}).Draw(t, "to")
	return &controlpb.Command{Op: &controlpb.Command_Move{Move: &controlpb.MoveJob{Job: job.Id, Epoch: job.Epoch, State: to}}}
}

// drawPlan places the two tasks of a job on any of four accelerators. These may be in use
// or be the same one twice.
func drawPlan(t *rapid.T, job *controlpb.Job) *controlpb.CommitPlan {
	var placements []*controlpb.Placement
	for task := range uint32(2) {
		placements = append(placements, &controlpb.Placement{
			Task: task, Worker: rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker"),
			Accelerators: []uint32{rapid.Uint32Range(0, 1).Draw(t, "accelerator")},
		})
	}
	return &controlpb.CommitPlan{Assignments: []*controlpb.Assignment{{Job: job.Id, Epoch: job.Epoch, Placements: placements}}}
}

// heldCounts returns the counts by key, and panics if an accelerator is held twice.
func heldCounts(state *State) map[string]uint32 {
	counts := map[string]uint32{}
	walk(state.held, func(key string, count uint32) {
		if count != 1 {
			panic("an accelerator is held twice")
		}
		counts[key] = count
	})
	return counts
}
