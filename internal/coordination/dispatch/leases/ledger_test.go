package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const lease = 5 * time.Second

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// stateWith holds one single-task job of a workflow in the given state.
func stateWith(state controlpb.JobState, epoch uint64, edit func(*controlpb.Job)) *store.State {
	job := &controlpb.Job{Id: "w.0.0.0", Workflow: "w", Tasks: 1, Epoch: epoch, State: state}
	if edit != nil {
		edit(job)
	}
	return store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{job}})
}

// A run that ended well begins again: the clock of an answer is taken for that of a report.
func TestClockOfAnAnswerIsNoReport(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, begin)
	l.Take(&Report{Clock: 80}, at(0))
	l.HearClock(105, at(25))
	is.True(l.Reported() < 104) // the stop was answered at 104
	l.Take(&Report{Clock: 104, Ends: []End{{Number: 1, Task: "w.0.0.0", Run: 1, How: Done}}}, at(26))
	fate, end := l.Find("w.0.0.0", 1)
	is.Equal(fate, Ended)
	is.Equal(end.How, Done)
	is.Equal(l.Reported(), int64(104))
}

// Two looks are answered in the other order. The older answer must not bring back
// a run that has ended since, but an end that only it lists counts.
func TestOlderReportReplacesNothing(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, begin)
	l.Take(&Report{Clock: 200, Running: []Running{{Task: "a", Run: 1}}}, at(0))
	l.Take(&Report{Clock: 100, Running: []Running{{Task: "b", Run: 1}}, Ends: []End{{Number: 1, Task: "c", Run: 1}}}, at(1))
	fate, _ := l.Find("a", 1)
	is.Equal(fate, Alive)
	fate, _ = l.Find("b", 1)
	is.Equal(fate, Absent)
	fate, _ = l.Find("c", 1)
	is.Equal(fate, Ended)
}

// An end is acknowledged only once the log has taken it in: the worker forgets it
// then, and a leader elected a moment later would start the task again.
func TestEndIsAcknowledgedOnceItIsCommitted(t *testing.T) {
	const (
		running  = controlpb.JobState_JOB_STATE_RUNNING
		stopping = controlpb.JobState_JOB_STATE_STOPPING
		waiting  = controlpb.JobState_JOB_STATE_WAITING
	)
	cases := []struct {
		name  string
		state *store.State
		want  uint64
	}{
		{"runs as far as the log knows", stateWith(running, 1, nil), 0},
		{"is being stopped", stateWith(stopping, 1, nil), 0},
		{"its stop is in the log", stateWith(stopping, 1, func(j *controlpb.Job) {
			j.StoppedTasks = []*controlpb.StoppedTask{{Task: 0}}
		}), 1},
		{"done in the log", stateWith(running, 1, func(j *controlpb.Job) { j.DoneTasks = []uint32{0} }), 1},
		{"waits again", stateWith(waiting, 1, nil), 1},
		{"a later run is placed", stateWith(running, 2, nil), 1},
		{"the job is gone", store.New(), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(lease, begin)
			l.Take(&Report{Clock: 1, Ends: []End{{Number: 1, Task: "w.0.0.0", Run: 1, How: Done}}}, begin)
			is.Equal(l.Settle(c.state), c.want)
		})
	}
}

// A new leader finds ends from number 7 on: those before were acknowledged. It must
// not wait for numbers that never come.
func TestSettleBeginsAtTheLowestListedEnd(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, begin)
	l.Take(&Report{Clock: 1, Ends: []End{{Number: 8, Task: "y", Run: 1}, {Number: 7, Task: "x", Run: 1}}}, begin)
	is.Equal(l.Settle(store.New()), uint64(8))
}

// The leader's last order leaves at 0 and is held back. The worker's clock is 2%
// slow. Only past the whole lease by that clock may the runs begin elsewhere.
func TestLeaseOverCountsFromTheLastOrderThatLeft(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, begin.Add(-time.Hour))
	l.Take(&Report{Clock: 1000}, at(0))
	deadline := l.Deadline(at(0))
	is.Equal(deadline, int64(6000))
	slowest := lease * 100 / 98
	is.True(!l.LeaseOver(begin.Add(slowest)))
	is.True(l.LeaseOver(begin.Add(LeaseBound(lease) + time.Millisecond)))
}

// Orders of the leader before may have left until it lost its leadership for sure;
// a new one that never reached the worker counts the lease from there.
func TestLeaseOfAnEarlierLeaderIsWaitedOut(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, at(1500))
	is.True(!l.LeaseOver(at(1500).Add(lease)))
	is.True(l.LeaseOver(at(1501).Add(LeaseBound(lease))))
}

// A run begun beside itself, since a new leader forgot what the one before could still order.
func TestOrderOfANewLeaderForgetsNoneOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, at(1500))
	l.Take(&Report{Clock: 1000}, at(50))
	l.Deadline(at(100))
	is.True(!l.LeaseOver(at(101).Add(LeaseBound(lease))))
	is.True(l.LeaseOver(at(1501).Add(LeaseBound(lease))))
}

// A start that was given up is carried out late: its run is alive on the worker,
// and the log has placed the task elsewhere or waits. It has to be stopped.
func TestRunsThatTheLogGaveUpAreOrphans(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, begin)
	l.Take(&Report{Clock: 1, Running: []Running{{Task: "w.0.0.0", Run: 1}}}, begin)
	is.Equal(len(l.Orphans(stateWith(controlpb.JobState_JOB_STATE_RUNNING, 1, nil))), 0)
	is.Equal(len(l.Orphans(stateWith(controlpb.JobState_JOB_STATE_RUNNING, 2, nil))), 1)
	is.Equal(len(l.Orphans(stateWith(controlpb.JobState_JOB_STATE_WAITING, 1, nil))), 1)
	is.Equal(len(l.Orphans(store.New())), 1)
}
