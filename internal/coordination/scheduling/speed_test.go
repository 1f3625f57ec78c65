package scheduling

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// withSpeeds assigns the speeds to the workers in turn.
func withSpeeds(workers []Worker, speeds ...float64) []Worker {
	for i := range workers {
		workers[i].Speed = speeds[i%len(speeds)]
	}
	return workers
}

// cold marks workers by number as cold.
func cold(workers []Worker, numbers ...int) []Worker {
	for _, number := range numbers {
		workers[number].Cold = true
	}
	return workers
}

func urgentPair(id string) *controlpb.Job { return unitJob(id, "a", 2, 8, topPriority) }

// Guards against placement regardless of speed. A gang ends with its slowest member: an
// urgent pair then gets a slow worker more often than not and misses its objective, and
// every other gang holds fast workers that wait for a slow one.
func TestGangsAreMatchedToWorkerSpeed(t *testing.T) {
	mixed := func(speeds ...float64) []Worker { return withSpeeds(testWorkers(1, 1, len(speeds), 8), speeds...) }
	runCases(t, []passCase{
		{name: "urgent work on fast workers", snapshot: unitsSnapshot(mixed(0.8, 1.25, 1, 1.25), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
		{name: "urgent work on fast and normal workers if there are too few fast ones", snapshot: unitsSnapshot(mixed(0.8, 1.25, 1, 0.8), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w2"}},
		{name: "urgent work on any worker if there are too few fast and normal ones", snapshot: unitsSnapshot(mixed(0.8, 1.25, 0.8, 0.8), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "other gangs on normal workers, leaving the fast ones free", snapshot: unitsSnapshot(mixed(1.25, 1, 0.8, 1), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
		{name: "only fast workers rather than mixed ones", snapshot: unitsSnapshot(mixed(1.25, 1, 0.8, 1.25), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w3"}},
		{name: "a single task on a slow worker", snapshot: unitsSnapshot(mixed(1.25, 1, 0.8), unitJob("j", "b", 1, 1)),
			want: map[string]string{"j": "d0-r0-w2"}},
		{name: "a single task not on a degraded worker", snapshot: unitsSnapshot(mixed(1.25, 0.3, 1), unitJob("j", "b", 1, 1)),
			want: map[string]string{"j": "d0-r0-w2"}},
		{name: "urgent work not on cold workers", snapshot: unitsSnapshot(cold(mixed(1.25, 0, 0, 0), 0, 2), urgentPair("j")),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
		{name: "a worker of unknown speed counts as normal", snapshot: unitsSnapshot(mixed(0.8, 0, 0.8, 0), unitJob("j", "b", 2, 8)),
			want: map[string]string{"j": "d0-r0-w1 d0-r0-w3"}},
	})
}
