package store

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// All cores came back from a loss of power and no leader was elected for 2 s: each
// applied its log again, 0.7 ms of a core for an entry, and most of that went into
// entries that place work. Each listed all accelerators in use in the cluster to see
// that a handful were free. What an entry costs must not grow with what runs.
func TestPlanCostsWhatItPlaces(t *testing.T) {
	is := is.New(t)
	idle, busy := allocationsOfPlan(t, 60), allocationsOfPlan(t, replayWorkers*replayAccelerators)
	t.Logf("allocations of a plan: %.0f beside 60 tasks, %.0f beside %d", idle, busy, replayWorkers*replayAccelerators)
	is.True(busy < 2*idle)
}

// allocationsOfPlan gives the allocations of a plan for one workflow while that
// many tasks run.
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

// freePlacements are places on a worker that nothing else uses.
func freePlacements(count int) []*controlpb.Placement {
	var free []*controlpb.Placement
	for number := range count {
		free = append(free, &controlpb.Placement{Worker: "i-free", Accelerators: []uint32{uint32(number)}})
	}
	return free
}
