package store

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// The cost of a plan must not grow with the number of running tasks. When each plan listed
// all accelerators in use to check that a few are free, entries that place work dominated
// log replay (0.7 ms of CPU time per entry), and after a power loss of all core replicas
// no leader was elected for 2 s.
func TestPlanCostIsIndependentOfRunningTasks(t *testing.T) {
	is := is.New(t)
	idle, busy := allocationsOfPlan(t, 60), allocationsOfPlan(t, replayWorkers*replayAccelerators)
	t.Logf("allocations of a plan: %.0f beside 60 tasks, %.0f beside %d", idle, busy, replayWorkers*replayAccelerators)
	is.True(busy < 2*idle)
}

// allocationsOfPlan returns the number of allocations for a plan of one workflow while the
// given number of tasks runs.
func allocationsOfPlan(t *testing.T, running int) float64 {
	log := newReplayLog()
	state := New()
	for len(log.running) <= running-replayTasks {
		state = applyAll(state, log.accept())
	}
	log.free = append(log.free, freePlacements(replayTasks)...)
	next := log.accept()
	state = applyAll(state, next[:1])
	return testing.AllocsPerRun(20, func() {
		_, result := state.Apply(state.Index()+1, next[1])
		if len(result.Refused) > 0 {
			t.Fatal("the plan was refused")
		}
	})
}

func applyAll(state *State, commands []*controlpb.Command) *State {
	for _, command := range commands {
		state, _ = state.Apply(state.Index()+1, command)
	}
	return state
}

// freePlacements returns placements on a worker that nothing else uses.
func freePlacements(count int) []*controlpb.Placement {
	var free []*controlpb.Placement
	for number := range count {
		free = append(free, &controlpb.Placement{Worker: "i-free", Accelerators: []uint32{uint32(number)}})
	}
	return free
}
