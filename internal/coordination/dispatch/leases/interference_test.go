package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Only what both reports list has a rate; a run that has just begun or ended was beside the
// others for a part of the time. Without this the rate of a run that waits for its gang, or
// of a previous report, would count as slowness.
func TestObservationOfTwoReports(t *testing.T) {
	is := is.New(t)
	state := store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{
		{Id: "w.0.2", Workflow: "w", WorkClass: "maps", Step: 2, Tasks: 8, RunTimeMs: 9000, Cores: 1, CoresMilli: 500},
		{Id: "single", WorkClass: "batch", Tasks: 1, RunTimeMs: 5000},
		{Id: "new", WorkClass: "batch", Tasks: 1, RunTimeMs: 5000},
	}})
	tracker := NewTracker(lease, startTime)
	tracker.ApplyReport(&Report{Clock: 1000, Running: []Running{{Task: "w.0.2.7", Run: 3, Percent: 10}, {Task: "single", Run: 1, Percent: 90}}}, at(0))
	is.True(tracker.observation(state) == nil)
	tracker.ApplyReport(&Report{Clock: 2000, Running: []Running{{Task: "w.0.2.7", Run: 3, Percent: 30, CPUMilli: 1200, HasCPU: true}, {Task: "new", Run: 1}}}, at(1000))
	o := tracker.observation(state)
	is.Equal(o.Span, time.Second)
	is.Equal(len(o.Tasks), 3)
	gang, started, ended := o.Tasks[0], o.Tasks[1], o.Tasks[2]
	is.Equal(gang.Class, "maps/2")
	is.True(gang.Measured && gang.Progress > 0.199 && gang.Progress < 0.201)
	is.Equal([]int64{gang.CPUUsed, gang.CPUAsked}, []int64{1200, 1500})
	is.Equal(started.Key, "new")
	is.Equal(ended.Key, "single")
	for _, partial := range []bool{started.Measured, ended.Measured} {
		is.True(!partial)
	}
	is.Equal(started.Share, partialShare)
	is.Equal(ended.CPUUsed, int64(-1))
}

// A fit takes the lock for tens of milliseconds; a scheduling pass must not wait for it.
func TestSlowdownsDontWaitForAFit(t *testing.T) {
	m := &Manager{}
	m.interference.mu.Lock()
	defer m.interference.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Slowdowns()
		m.InterferencePairs()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the readers wait for the lock")
	}
}
