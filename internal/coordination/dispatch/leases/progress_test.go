package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/pace"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// coupled is a state with a gang of eight as step 2 of its workflow.
var coupled = store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{{Id: "w.0.2", Workflow: "w", Tasks: 8}}})

// reports gives a ledger what a worker with one run lists at times of its clock.
func reports(l *Ledger, run Running, readings map[int64]uint32) {
	for clock := int64(0); clock <= 10_000; clock += 100 {
		if percent, ok := readings[clock]; ok {
			run.Percent = percent
			l.Take(&Report{Clock: clock, Running: []Running{run}}, time.UnixMilli(clock))
		}
	}
}

// How fast a member of a gang gets on tells its worker's speed. Read while it waits for
// the others, or once it is done, it would tell the others' speed.
func TestRatesOfRuns(t *testing.T) {
	member := Running{Task: "w.0.2.7", Run: 3}
	want := []rate{{pace.Run{Job: "w.0.2", Epoch: 3}, 0.02}}
	for _, c := range []struct {
		name     string
		readings map[int64]uint32
		want     []rate
	}{
		{"between two readings", map[int64]uint32{1000: 10, 2000: 30}, want},
		{"from the first, the longest span", map[int64]uint32{1000: 10, 1500: 15, 2000: 30}, want},
		{"one reading", map[int64]uint32{1000: 10}, nil},
		{"not from when it waited for the others", map[int64]uint32{100: 0, 1000: 10, 2000: 30}, want},
		{"not once it is done", map[int64]uint32{1000: 10, 2000: 100}, nil},
		{"too few hundredths", map[int64]uint32{1000: 10, 2000: 15}, nil},
		{"too short a span", map[int64]uint32{1000: 10, 1300: 30}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(lease, time.UnixMilli(0))
			reports(l, member, c.readings)
			is.New(t).Equal(l.rates(coupled), c.want)
		})
	}
}

// Another run of the task begins at nothing: its readings are its own.
func TestRatesOfARunThatBeginsAnew(t *testing.T) {
	is := is.New(t)
	l := NewLedger(lease, time.UnixMilli(0))
	reports(l, Running{Task: "w.0.2.7", Run: 3}, map[int64]uint32{1000: 10, 2000: 90})
	reports(l, Running{Task: "w.0.2.7", Run: 4}, map[int64]uint32{3000: 10, 4000: 30})
	is.Equal(l.rates(coupled), []rate{{pace.Run{Job: "w.0.2", Epoch: 4}, 0.02}})
}
