package store_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	waiting   = controlpb.JobState_JOB_STATE_WAITING
	running   = controlpb.JobState_JOB_STATE_RUNNING
	stopping  = controlpb.JobState_JOB_STATE_STOPPING
	completed = controlpb.JobState_JOB_STATE_COMPLETED
	cancelled = controlpb.JobState_JOB_STATE_CANCELLED
	parked    = controlpb.JobState_JOB_STATE_PARKED
)

// machine applies commands to a state, a second of the leader's clock each.
type machine struct {
	state *store.State
	ms    int64
}

func newMachine() *machine { return &machine{state: store.New()} }

func (m *machine) apply(command *controlpb.Command) *controlpb.Result {
	m.ms += 1000
	command.TimeMs = m.ms
	var result *controlpb.Result
	m.state, result = m.state.Apply(m.state.Index()+1, command)
	return result
}

func (m *machine) place(id string, workers ...string) {
	job := &controlpb.Job{Id: id, Tasks: uint32(len(workers)), Accelerators: 1, MemoryMb: 100}
	m.apply(&controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}})
	m.assign(id, workers...)
}

func (m *machine) assign(id string, workers ...string) {
	job, _ := m.state.Job(id)
	assignment := &controlpb.Assignment{Job: id, Epoch: job.Epoch}
	for task, worker := range workers {
		assignment.Placements = append(assignment.Placements, &controlpb.Placement{Task: uint32(task), Worker: worker, Accelerators: []uint32{0}})
	}
	m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{Assignments: []*controlpb.Assignment{assignment}}}})
}

func (m *machine) move(move *controlpb.MoveJob) *controlpb.Result {
	return m.batch(&controlpb.BatchMove{Moves: []*controlpb.MoveJob{move}})
}

func (m *machine) batch(batch *controlpb.BatchMove) *controlpb.Result {
	return m.apply(&controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: batch}})
}

func (m *machine) to(id string, epoch uint64, state controlpb.JobState) *controlpb.Result {
	return m.move(&controlpb.MoveJob{Job: id, Epoch: epoch, State: state})
}

func (m *machine) cancel(id string) {
	m.apply(&controlpb.Command{Op: &controlpb.Command_Cancel{Cancel: &controlpb.CancelJob{Id: id}}})
}

func (m *machine) job(id string) *controlpb.Job {
	job, _ := m.state.Job(id)
	return job
}

// The leader sees a stop acknowledged and moves the job back to waiting; the
// caller's cancellation is committed in between. The caller would see the job
// that it cancelled run again.
func TestCancellationDuringAStopWins(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.place("j", "w1")
	m.to("j", 1, running)
	m.to("j", 1, stopping)
	m.cancel("j")
	m.to("j", 1, waiting)
	is.Equal(m.job("j").State, cancelled)
}

// Every task of a gang had ended well when a take-back stopped it. If the ends
// did not count, the work would be done twice.
func TestAllTasksEndedDuringAStopCompletesTheJob(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.place("j", "w1", "w2")
	m.to("j", 1, running)
	m.to("j", 1, stopping)
	m.batch(&controlpb.BatchMove{
		Finished: []*controlpb.FinishedTask{{Job: "j", Epoch: 1, Task: 0}, {Job: "j", Epoch: 1, Task: 1}},
		Moves:    []*controlpb.MoveJob{{Job: "j", Epoch: 1, State: waiting}},
	})
	is.Equal(m.job("j").State, completed)
	is.Equal(len(m.job("j").Placements), 0)
}

// A stop takes a run of two seconds back; the checkpoint kept one of them.
func TestWorkIsAccounted(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.place("j", "w1")
	m.to("j", 1, running)
	m.apply(&controlpb.Command{})
	m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{Preemptions: []*controlpb.Preemption{{Job: "j", Epoch: 1}}}}})
	m.batch(&controlpb.BatchMove{Stopped: []*controlpb.StopAcknowledged{{Job: "j", Epoch: 1, Stopped: &controlpb.StoppedTask{CheckpointedMs: 1000}}}})
	is.True(store.StopAcknowledged(m.job("j"), 0))
	m.move(&controlpb.MoveJob{Job: "j", Epoch: 1, State: waiting, CheckpointedMs: 1000})
	job := m.job("j")
	is.Equal(job.CheckpointedMs, int64(1000))
	is.Equal(job.LostMs, int64(1000))
	is.Equal(job.LostPreemptedMs, int64(1000))
	is.Equal(job.RanMs, int64(2000))
	is.Equal(job.ReservedMs, int64(3000)) // one to start, two to stop
	m.assign("j", "w1")
	is.True(!store.StopAcknowledged(m.job("j"), 0)) // of another epoch
}

// The guard stopped a task that used more than it had declared; with the
// declared size it would be stopped at every attempt.
func TestNextAttemptIsSizedFromWhatWasObserved(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.place("j", "w1")
	m.move(&controlpb.MoveJob{Job: "j", Epoch: 1, State: stopping, ObservedMemoryMb: 400, Failure: &controlpb.TaskFailure{Worker: "w1", Code: string(failure.MemoryExceeded)}})
	is.Equal(m.job("j").MemoryMb, uint64(500))
	is.Equal(m.state.Health("w1"), nil) // not the worker's fault
}

// A worker's failures are in the log, so every leader derives the same from
// them; a task that ends well clears them, and so does a job found at fault.
func TestHealthOfWorkers(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	fail := func(id, worker string) {
		epoch := m.job(id).Epoch
		m.move(&controlpb.MoveJob{Job: id, Epoch: epoch, State: stopping, Failure: &controlpb.TaskFailure{Worker: worker, Code: string(failure.TaskFailed)}})
		m.to(id, epoch, waiting)
	}
	for i := range 2 * 8 {
		id := fmt.Sprint("j", i)
		m.place(id, "w1")
		fail(id, "w1")
	}
	is.Equal(m.state.Health("w1").Consecutive, uint32(16))
	is.Equal(len(m.state.Health("w1").Failures), 8)
	is.Equal(len(store.Restore(m.state.Snapshot()).Health("w1").Failures), 8)

	m.place("bad", "w2")
	fail("bad", "w2")
	m.to("bad", 1, parked)
	is.Equal(m.state.Health("w2"), nil)

	m.assign("j0", "w1")
	m.to("j0", m.job("j0").Epoch, running)
	m.batch(&controlpb.BatchMove{Finished: []*controlpb.FinishedTask{{Job: "j0", Epoch: m.job("j0").Epoch}}})
	is.Equal(m.state.Health("w1"), nil)
}
