package scheduling

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of policy where speeds hardly differ, where only a few workers are
// slow for a time, or where little is known yet.
func TestUneven(t *testing.T) {
	// thirds returns 30 workers, a third of each speed.
	thirds := func(speeds ...float64) []Worker {
		workers := make([]Worker, 30)
		for i := range workers {
			workers[i].Speed = speeds[i*len(speeds)/len(workers)]
		}
		return workers
	}
	slowForATime := thirds(0.8, 1, 1.25)
	for i := range 5 {
		slowForATime[i].Speed = 0.2
	}
	for _, c := range []struct {
		name    string
		workers []Worker
		before  bool
		want    bool
	}{
		{"a third each of 0.6, 1 and 1.6", thirds(0.6, 1, 1.6), false, true},
		{"a third each of 0.8, 1 and 1.25", thirds(0.8, 1, 1.25), false, false},
		{"five of thirty slow for a time", slowForATime, false, false},
		{"the spread has become less", thirds(0.85, 1, 1.25), true, true},
		{"nearly alike", thirds(0.9, 1, 1.1), true, false},
		{"most speeds unknown", thirds(0, 0, 0.5), false, false},
		{"no longer known, as under a new leader", thirds(0), true, true},
		{"no workers", nil, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Uneven(c.workers, c.before), c.want)
		})
	}
}
