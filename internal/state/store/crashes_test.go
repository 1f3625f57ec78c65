package store_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// crashedState has three jobs on worker w, the third of which has stopped there, and one on
// another worker.
func crashedState() *stateMachine {
	placed := func(id, worker string) *controlpb.Job {
		return &controlpb.Job{
			Id: id, Tasks: 1, Epoch: 2, State: controlpb.JobState_JOB_STATE_RUNNING, StartedMs: 1000,
			Placements: []*controlpb.Placement{{Worker: worker, Incarnation: 1, Address: "a:1"}},
		}
	}
	stopped := placed("c", "w")
	stopped.State, stopped.StoppedTasks = controlpb.JobState_JOB_STATE_STOPPING, []*controlpb.StoppedTask{{Task: 0}}
	m := newStateMachine()
	m.state = store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{placed("a", "w"), placed("b", "w"), stopped, placed("d", "v")}})
	return m
}

func crashOf(worker string, incarnation int64) *controlpb.BatchMove {
	return &controlpb.BatchMove{Crashes: []*controlpb.WorkerCrash{{Worker: worker, Incarnation: incarnation, LatestMs: 4000}}}
}

// A crash is recorded once, with what still ran there, and outlives a snapshot.
func TestCrashRecordsWhatRanThere(t *testing.T) {
	is := is.New(t)
	m := crashedState()
	m.batch(crashOf("w", 1))
	m.batch(crashOf("w", 1))
	is.Equal(len(m.state.Crashes()), 1)
	want := &controlpb.WorkerCrash{Worker: "w", Incarnation: 1, EarliestMs: 1000, LatestMs: 4000, Runs: []*controlpb.CrashedRun{
		{Job: "a", Epoch: 2, RanMs: 3000}, {Job: "b", Epoch: 2, RanMs: 3000},
	}}
	is.True(proto.Equal(m.state.Crashes()[0], want))
	is.True(proto.Equal(store.Restore(m.state.Snapshot()).Crashes()[0], want))
	m.batch(crashOf("w", 2))
	is.Equal(len(m.state.Crashes()[1].Runs), 0)
}

// A worker is lost, and its job waits again, before the crash is known. The crash still
// counts for that job, and for its placement of that time.
func TestCrashKnownAfterTheRunWasLost(t *testing.T) {
	is := is.New(t)
	m := crashedState()
	m.move(&controlpb.MoveJob{Job: "a", Epoch: 2, State: controlpb.JobState_JOB_STATE_STOPPING})
	m.move(&controlpb.MoveJob{Job: "a", Epoch: 2, State: controlpb.JobState_JOB_STATE_WAITING, LostTasks: []uint32{0}})
	lost := m.state.LostRuns()
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Address, "a:1")
	m.state = store.Restore(m.state.Snapshot())
	m.batch(crashOf("w", 1))
	is.Equal(len(m.state.LostRuns()), 0)
	runs := m.state.Crashes()[0].Runs
	is.Equal(len(runs), 2)
	is.Equal(runs[1].Job, "a")
	is.Equal(runs[1].Epoch, uint64(2))
}

// A worker crashes and its runs are stopped in the same step: the stop must not hide what
// ran there.
func TestCrashAndStopInOneBatch(t *testing.T) {
	is := is.New(t)
	m := crashedState()
	m.move(&controlpb.MoveJob{Job: "a", Epoch: 2, State: controlpb.JobState_JOB_STATE_STOPPING})
	batch := crashOf("w", 1)
	batch.Stopped = []*controlpb.StopAcknowledged{{Job: "a", Epoch: 2, Stopped: &controlpb.StoppedTask{Task: 0}}}
	batch.Moves = []*controlpb.MoveJob{{Job: "a", Epoch: 2, State: controlpb.JobState_JOB_STATE_WAITING, LostTasks: []uint32{0}}}
	m.batch(batch)
	is.Equal(len(m.state.Crashes()[0].Runs), 2)
	is.Equal(len(m.state.LostRuns()), 0)
}

// A crash of a worker on which a job was placed and never started must not count for that job.
func TestCrashLeavesOutRunsThatNeverStarted(t *testing.T) {
	is := is.New(t)
	m := crashedState()
	batch := crashOf("w", 1)
	batch.Crashes[0].Runs = []*controlpb.CrashedRun{{Job: "a", Epoch: 2}, {Job: "b", Epoch: 1}}
	is.Equal(len(m.state.RunsOn(batch.Crashes[0])), 1)
	m.batch(batch)
	runs := m.state.Crashes()[0].Runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Job, "b")
	is.Equal(runs[0].Epoch, uint64(2))
}
