package control_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A leader is paused; a new leader stops a run and has not yet observed its end. The
// first leader resumes, considers the run ended because its state is outdated, and its
// proposal is forwarded to the new leader. If the proposal had an effect, the task
// would be placed again while its run is still executing.
func TestDecisionOfEarlierLeaderHasNoEffect(t *testing.T) {
	is := is.New(t)
	job := &controlpb.Job{
		Id: "j", Epoch: 1, State: controlpb.JobState_JOB_STATE_STOPPING, NextState: controlpb.JobState_JOB_STATE_WAITING,
		Placements: []*controlpb.Placement{{Worker: "w"}},
	}
	state := store.Restore(&controlpb.Snapshot{Index: 7, Jobs: []*controlpb.Job{job}})
	move := func(decidedIn uint64) *controlpb.Command {
		return &controlpb.Command{DecidedIn: decidedIn, Op: &controlpb.Command_BatchMove{BatchMove: &controlpb.BatchMove{
			Moves: []*controlpb.MoveJob{{Job: "j", Epoch: 1, State: controlpb.JobState_JOB_STATE_WAITING}},
		}}}
	}
	next, result := control.Apply(state, &peerpb.LogEntry{Index: 8, Term: 3, Command: move(2)})
	is.Equal(result.Code, string(failure.StaleEpoch))
	is.Equal(next.Index(), uint64(8))
	unchanged, _ := next.Job("j")
	is.Equal(unchanged.State, controlpb.JobState_JOB_STATE_STOPPING)

	next, result = control.Apply(next, &peerpb.LogEntry{Index: 9, Term: 3, Command: move(3)})
	is.Equal(result.Code, "")
	moved, _ := next.Job("j")
	is.Equal(moved.State, controlpb.JobState_JOB_STATE_WAITING)
}
