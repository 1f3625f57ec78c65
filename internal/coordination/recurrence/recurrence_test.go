package recurrence

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

func TestDue(t *testing.T) {
	recurring := func(edit func(*controlpb.Workflow)) *store.State {
		w := &controlpb.Workflow{Id: "w", State: controlpb.WorkflowState_WORKFLOW_STATE_QUEUED, FirstDueMs: 1000, EveryMs: 500, Repetitions: 3}
		edit(w)
		return store.Restore(&controlpb.Snapshot{Workflows: []*controlpb.Workflow{w}})
	}
	unchanged := func(*controlpb.Workflow) {}
	cases := []struct {
		name  string
		state *store.State
		now   int64
		want  uint32
	}{
		{"before the first occurrence", recurring(unchanged), 999, 0},
		{"at the first occurrence", recurring(unchanged), 1000, 1},
		{"between two occurrences", recurring(unchanged), 1499, 1},
		{"two occurrences due together", recurring(unchanged), 1600, 2},
		{"limited to the number of repetitions", recurring(unchanged), 99_000, 3},
		{"zero interval", recurring(func(w *controlpb.Workflow) { w.EveryMs = 0 }), 1000, 3},
		{"already started", recurring(func(w *controlpb.Workflow) { w.RepetitionsStarted = 2 }), 1600, 0},
		{"cancelled", recurring(func(w *controlpb.Workflow) { w.State = controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED }), 1600, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			due := Due(c.state, time.UnixMilli(c.now))
			started := uint32(0)
			if len(due) > 0 {
				started = due[0].Started
			}
			is.Equal(started, c.want)
		})
	}
	is := is.New(t)
	is.True(HasPending(recurring(unchanged)))
	is.True(!HasPending(recurring(func(w *controlpb.Workflow) { w.RepetitionsStarted = 3 })))
}
