package evacuation

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A worker that still runs a task is no longer live. Its data centre must not be reported as
// empty, and each change is reported once.
func TestDataCentreIsEmptyOnlyAfterItsLastTask(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{}
	job := &controlpb.Job{Id: "j", Placements: []*controlpb.Placement{{Task: 0, Worker: "w0"}, {Task: 1, Worker: "w1"}}}
	live := []*peerpb.Upstream{{Id: "w0", DataCentre: "east"}, {Id: "w1", DataCentre: "west"}}
	observe := func(active bool, live []*peerpb.Upstream) (kinds []EventKind, tasks int) {
		events, evacuated := tracker.Observe([]*controlpb.Evacuation{{DataCentre: "east", Active: active}}, live, []*controlpb.Job{job})
		for _, event := range events {
			kinds = append(kinds, event.Kind)
		}
		return kinds, evacuated["east"].Tasks
	}
	for _, step := range []struct {
		active bool
		live   []*peerpb.Upstream
		done   []uint32
		kinds  []EventKind
		tasks  int
	}{
		{true, live, nil, []EventKind{Started}, 1},
		{true, live[1:], nil, nil, 1},
		{true, live[1:], []uint32{0}, []EventKind{Emptied}, 0},
		{true, live, []uint32{0}, nil, 0},
		{false, live, nil, []EventKind{Ended}, 0},
		{false, live, nil, nil, 0},
	} {
		job.DoneTasks = step.done
		kinds, tasks := observe(step.active, step.live)
		is.Equal(kinds, step.kinds)
		is.Equal(tasks, step.tasks)
	}
}
