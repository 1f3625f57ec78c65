package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// gangState is a state with a gang of eight tasks as step 2 of its workflow.
var gangState = store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{{Id: "w.0.2", Workflow: "w", Tasks: 8}}})

// applyReadings applies reports of a worker with one run. readings maps times on the
// worker's clock in ms to progress in percent.
func applyReadings(tracker *Tracker, run Running, readings map[int64]uint32) {
	for clock := int64(0); clock <= 10_000; clock += 100 {
		if percent, ok := readings[clock]; ok {
			run.Percent = percent
			tracker.ApplyReport(&Report{Clock: clock, Running: []Running{run}}, time.UnixMilli(clock))
		}
	}
}

// The progress rate of a gang member gives its worker's speed. Readings taken while it
// waits for the other members, or after it is done, would reflect the speed of the
// others.
func TestProgressRates(t *testing.T) {
	member := Running{Task: "w.0.2.7", Run: 3}
	want := []rate{{workerspeed.Run{Job: "w.0.2", Epoch: 3}, 0.02}}
	for _, c := range []struct {
		name     string
		readings map[int64]uint32
		want     []rate
	}{
		{"between two readings", map[int64]uint32{1000: 10, 2000: 30}, want},
		{"rate from the first of several readings", map[int64]uint32{1000: 10, 1500: 15, 2000: 30}, want},
		{"one reading", map[int64]uint32{1000: 10}, nil},
		{"readings at zero are ignored", map[int64]uint32{100: 0, 1000: 10, 2000: 30}, want},
		{"completed run", map[int64]uint32{1000: 10, 2000: 100}, nil},
		{"too little progress", map[int64]uint32{1000: 10, 2000: 15}, nil},
		{"too short a span", map[int64]uint32{1000: 10, 1300: 30}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(lease, time.UnixMilli(0))
			applyReadings(tracker, member, c.readings)
			is.New(t).Equal(tracker.rates(gangState), c.want)
		})
	}
}

// A new run of the task starts at zero progress, so readings of the previous run do not
// count for it.
func TestRestartedRunHasItsOwnProgressRate(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(lease, time.UnixMilli(0))
	applyReadings(tracker, Running{Task: "w.0.2.7", Run: 3}, map[int64]uint32{1000: 10, 2000: 90})
	applyReadings(tracker, Running{Task: "w.0.2.7", Run: 4}, map[int64]uint32{3000: 10, 4000: 30})
	is.Equal(tracker.rates(gangState), []rate{{workerspeed.Run{Job: "w.0.2", Epoch: 4}, 0.02}})
}
