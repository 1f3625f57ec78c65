package gang_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const stallAfter = 8 * time.Second

// progressModel is a machine with one running job whose workers report their progress.
type progressModel struct {
	machine *gang.Machine
	now     time.Time
	job     *controlpb.Job
	version uint64
}

func newProgressModel(members int, runTime time.Duration) *progressModel {
	c := config
	c.StallAfter = stallAfter
	m := &progressModel{machine: gang.New(c), now: time.Unix(1000, 0)}
	m.job = &controlpb.Job{
		Id: "j", Epoch: 1, Tasks: uint32(members), RunTimeMs: runTime.Milliseconds(), StartedMs: 1,
		State: controlpb.JobState_JOB_STATE_RUNNING,
	}
	for i := range members {
		m.job.Placements = append(m.job.Placements, &controlpb.Placement{Task: uint32(i), Worker: string(rune('a' + i))})
	}
	return m
}

// report lets the given time pass and takes a step in which the worker of each member
// reports its percentage; a negative one means an announcement without the task. It
// returns the failure for which the gang is stopped, or nil.
func (m *progressModel) report(elapsed time.Duration, percents ...int) *controlpb.TaskFailure {
	m.now = m.now.Add(elapsed)
	m.version++
	in := &gang.Input{Now: m.now, Jobs: []*controlpb.Job{m.job}, LeaseExpired: leaseNotExpired}
	for i, percent := range percents {
		upstream := &peerpb.Upstream{Id: m.job.Placements[i].Worker, Version: m.version}
		if percent >= 0 {
			upstream.Tasks = []*peerpb.TaskReport{{
				Job: "j", Task: uint32(i), Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING, Percent: uint32(percent),
			}}
		}
		in.Workers = append(in.Workers, upstream)
	}
	for _, move := range m.machine.Step(in).Batch.GetMoves() {
		if move.State == controlpb.JobState_JOB_STATE_STOPPING {
			return move.Failure
		}
	}
	return nil
}

// A worker that hangs but keeps reporting must not block its job: the gang is stopped
// once a task's progress has not changed for StallAfter.
func TestStalledWorkIsStopped(t *testing.T) {
	is := is.New(t)
	m := newProgressModel(2, 8*time.Second)
	is.Equal(m.report(0, 10, 10), nil)
	for i := 1; i < 8; i++ {
		is.Equal(m.report(time.Second, 10+i, 10), nil)
	}
	failed := m.report(time.Second, 18, 10)
	is.True(failed != nil)
	is.Equal(failed.Worker, "b")
	is.Equal(failed.Code, string(failure.Stalled))
	is.True(failure.Code(failed.Code).Infrastructure())
}

// Members that have done their work stay at 100% until the slowest one is done. They are
// not stalled, and stopping the gang would discard all of its work.
func TestMembersAtFullProgressAreNotStalled(t *testing.T) {
	is := is.New(t)
	m := newProgressModel(2, 8*time.Second)
	for i := range 60 {
		is.Equal(m.report(time.Second, 100, i), nil)
	}
}

// One percent of a 20-minute job takes 12 s, and minutes on a slow worker. The stall
// timeout scales with the estimated run time, so that such a job is not stopped.
func TestStallTimeoutScalesWithRunTime(t *testing.T) {
	is := is.New(t)
	m := newProgressModel(1, 20*time.Minute)
	is.Equal(m.report(0, 0), nil)
	for i := range 20 {
		for range 20 {
			is.Equal(m.report(10*time.Second, i), nil)
		}
	}
}

// Time without reports from a worker does not count as time without progress. Workers
// that stop reporting are handled by lease expiry.
func TestMissingReportsAreNotAStall(t *testing.T) {
	is := is.New(t)
	m := newProgressModel(1, 8*time.Second)
	is.Equal(m.report(0, 10), nil)
	is.Equal(m.report(time.Second, 10), nil)
	for range 2 {
		failed := m.report(time.Second, -1)
		is.True(failed == nil || failed.Code != string(failure.Stalled))
	}
}

// Work of minutes without an estimate is stopped as stalled again and again.
func TestWorkWithoutEstimateIsNotStalled(t *testing.T) {
	is := is.New(t)
	m := newProgressModel(1, 0)
	is.Equal(m.report(0, 0), nil)
	for i := range 100 {
		for range 9 {
			is.Equal(m.report(time.Second, i), nil)
		}
	}
	hanging := newProgressModel(1, 0)
	is.Equal(hanging.report(0, 10), nil)
	is.Equal(hanging.report(time.Minute-time.Second, 10), nil)
	failed := hanging.report(time.Second, 10)
	is.True(failed != nil && failed.Code == string(failure.Stalled))
}
