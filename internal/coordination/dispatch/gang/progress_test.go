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

// watched is a machine over one running job, whose workers report percents.
type watched struct {
	machine *gang.Machine
	now     time.Time
	job     *controlpb.Job
	version uint64
}

func watch(members int, runTime time.Duration) *watched {
	c := config
	c.StallAfter = stallAfter
	w := &watched{machine: gang.New(c), now: time.Unix(1000, 0)}
	w.job = &controlpb.Job{
		Id: "j", Epoch: 1, Tasks: uint32(members), RunTimeMs: runTime.Milliseconds(), StartedMs: 1,
		State: controlpb.JobState_JOB_STATE_RUNNING,
	}
	for i := range members {
		w.job.Placements = append(w.job.Placements, &controlpb.Placement{Task: uint32(i), Worker: string(rune('a' + i))})
	}
	return w
}

// report takes a step in which each member's worker tells its percent; a negative
// one is not told anew.
func (w *watched) report(pass time.Duration, percents ...int) *controlpb.TaskFailure {
	w.now = w.now.Add(pass)
	w.version++
	in := &gang.Input{Now: w.now, Jobs: []*controlpb.Job{w.job}, LeaseOver: func(string) bool { return false }}
	for i, percent := range percents {
		upstream := &peerpb.Upstream{Id: w.job.Placements[i].Worker, Version: w.version}
		if percent >= 0 {
			upstream.Tasks = []*peerpb.TaskReport{{
				Job: "j", Task: uint32(i), Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING, Percent: uint32(percent),
			}}
		}
		in.Workers = append(in.Workers, upstream)
	}
	for _, move := range w.machine.Step(in).Batch.GetMoves() {
		if move.State == controlpb.JobState_JOB_STATE_STOPPING {
			return move.Failure
		}
	}
	return nil
}

// A caller that waits for as long as a worker hangs, since the worker goes on reporting.
func TestWorkThatStandsStillIsStopped(t *testing.T) {
	is := is.New(t)
	w := watch(2, 8*time.Second)
	is.Equal(w.report(0, 10, 10), nil)
	for i := 1; i < 8; i++ {
		is.Equal(w.report(time.Second, 10+i, 10), nil)
	}
	failed := w.report(time.Second, 18, 10)
	is.True(failed != nil)
	is.Equal(failed.Worker, "b")
	is.Equal(failed.Code, string(failure.Stalled))
	is.True(failure.Code(failed.Code).Infrastructure())
}

// Members that are done wait at 100% for the slowest one. They do not hang, and to
// stop the gang would throw all of its work away.
func TestMembersThatWaitForTheirGangAreNotStalled(t *testing.T) {
	is := is.New(t)
	w := watch(2, 8*time.Second)
	for i := range 60 {
		is.Equal(w.report(time.Second, 100, i), nil)
	}
}

// Work of 20 minutes passes a percent in 12 s, and on a slow worker in some
// minutes. The wait follows the estimate, so that it is not stopped.
func TestLongWorkMayPassAPercentSlowly(t *testing.T) {
	is := is.New(t)
	w := watch(1, 20*time.Minute)
	is.Equal(w.report(0, 0), nil)
	for i := range 20 {
		for range 20 {
			is.Equal(w.report(10*time.Second, i), nil)
		}
	}
}

// A worker that is silent tells nothing of its tasks. That is the leases' matter:
// the time of the silence does not count as time without progress.
func TestSilenceIsNoStall(t *testing.T) {
	is := is.New(t)
	w := watch(1, 8*time.Second)
	is.Equal(w.report(0, 10), nil)
	is.Equal(w.report(time.Second, 10), nil)
	for range 2 {
		failed := w.report(time.Second, -1)
		is.True(failed == nil || failed.Code != string(failure.Stalled))
	}
}
