package scheduling

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// withSpeeds gives the workers their speeds in turn.
func withSpeeds(workers []Worker, speeds ...float64) []Worker {
	for i := range workers {
		workers[i].Speed = speeds[i%len(speeds)]
	}
	return workers
}

func urgentPair(id string) *controlpb.Job { return unitJob(id, "a", 2, 8, first) }

// A gang ends with its slowest member. Placed without regard to speed, an urgent pair
// meets a slow worker more often than not and ends after its objective, and each patient
// gang holds fast workers that wait for a slow one.
func TestGangsGoToWorkersOfOnePace(t *testing.T) {
	mixed := func(speeds ...float64) []Worker { return withSpeeds(testWorkers(1, 1, len(speeds), 8), speeds...) }
	runCases(t, []passCase{
		{name: "urgent work on fast workers", snapshot: units(mixed(0.8, 1.25, 1, 1.25), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
		{name: "or on fast and usual ones", snapshot: units(mixed(0.8, 1.25, 1, 0.8), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w2"}},
		{name: "or wherever there is room", snapshot: units(mixed(0.8, 1.25, 0.8, 0.8), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "a patient gang on usual ones, which leaves the fast", snapshot: units(mixed(1.25, 1, 0.8, 1), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
		{name: "rather all fast than mixed", snapshot: units(mixed(1.25, 1, 0.8, 1.25), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w3"}},
		{name: "a task by itself on a slow one", snapshot: units(mixed(1.25, 1, 0.8), unitJob("j", "b", 1, 1)),
			want: map[string]string{"j": "d0-r0-w2"}},
		{name: "but not on one that is far too slow", snapshot: units(mixed(1.25, 0.3, 1), unitJob("j", "b", 1, 1)),
			want: map[string]string{"j": "d0-r0-w2"}},
		{name: "a worker of unknown speed counts as usual", snapshot: units(mixed(0.8, 0, 0.8, 0), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
	})
}
