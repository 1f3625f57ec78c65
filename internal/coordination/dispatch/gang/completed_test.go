package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// reportDone has w1 report that run 1 has completed task 0.
func (l *leaderRenewalModel) reportDone() {
	done := &peerpb.TaskReport{Job: "j", Task: 0, Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_COMPLETED}
	l.workers[0] = &peerpb.Upstream{Id: "w1", Incarnation: 1, Version: 2, Tasks: []*peerpb.TaskReport{done}}
}

// oneTask makes the job one of a single task whose run 1 on w1 was given up, so that it waits.
func (l *leaderRenewalModel) oneTask() {
	l.job.Tasks, l.job.State, l.job.Placements, l.job.NextState = 1, waiting, nil, controlpb.JobState_JOB_STATE_UNSPECIFIED
}

// place places the job on w2 in run 2.
func (l *leaderRenewalModel) place(state controlpb.JobState) {
	l.job.Epoch, l.job.State = 2, state
	l.job.Placements = []*controlpb.Placement{{Worker: "w2", Incarnation: 1}}
}

func finishedIn(out *gang.Output) []uint64 {
	var runs []uint64
	for _, finished := range out.Batch.GetFinished() {
		runs = append(runs, finished.Epoch)
	}
	return runs
}

// Guards against work that is done twice because its end was reported after its run had been given up.
func TestCompletedRunThatWasGivenUpCounts(t *testing.T) {
	t.Run("a waiting job is placed there and finished, without a command", func(t *testing.T) {
		is, l := is.New(t), newLeaderRenewalModel()
		l.oneTask()
		is.Equal(len(l.step().Completed), 0)
		l.reportDone()
		out := l.step()
		is.Equal(len(out.Completed), 1)
		is.Equal(out.Completed[0].Epoch, uint64(1))
		is.Equal(out.Completed[0].Placements[0].Worker, "w1")
		l.job.Epoch, l.job.State, l.job.Placements = 2, controlpb.JobState_JOB_STATE_STARTING, out.Completed[0].Placements
		out = l.step()
		is.Equal(finishedIn(out), []uint64{2})
		is.Equal(len(out.Commands), 0)
	})
	t.Run("a later run is stopped first", func(t *testing.T) {
		is, l := is.New(t), newLeaderRenewalModel()
		l.oneTask()
		l.step()
		l.place(controlpb.JobState_JOB_STATE_RUNNING)
		l.job.StartedMs = l.now.UnixMilli()
		l.reportDone()
		is.Equal(l.step().Batch.Moves[0].State, stopping)
		l.job.State, l.job.NextState = stopping, waiting
		out := l.step()
		is.Equal(out.Commands[0].Kind, gang.Stop)
		is.Equal(finishedIn(out), nil)
		stopped := answerOf(gang.Stop, 0, nil)
		stopped.Ref.Epoch, stopped.Phase = 2, api.PhaseStopped
		out = l.step(stopped)
		is.Equal(finishedIn(out), []uint64{2})
		is.Equal(len(out.Batch.Moves), 0)
	})
	t.Run("a cancelled job stays cancelled", func(t *testing.T) {
		is, l := is.New(t), newLeaderRenewalModel()
		l.oneTask()
		l.place(stopping)
		l.job.NextState = controlpb.JobState_JOB_STATE_CANCELLED
		l.reportDone()
		is.Equal(finishedIn(l.step()), nil)
	})
	t.Run("one end does not stand for several", func(t *testing.T) {
		is, l := is.New(t), newLeaderRenewalModel()
		l.oneTask()
		l.job.Tasks = 2
		l.reportDone()
		is.Equal(len(l.step().Completed), 0)
	})
}
