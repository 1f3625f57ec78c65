package scheduling

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A run on slow or remote workers must not make its class look longer than it is, or all
// of the class's later work would be expected to miss its objective.
func TestRunFactor(t *testing.T) {
	speeds := map[string]float64{"fast": 1.6, "slow": 0.5, "broken": 0.001}
	racks := map[string]string{"far": "r2"}
	workerOf := func(id string) (string, float64) { return racks[id] + "r", speeds[id] }
	for name, c := range map[string]struct {
		job     *controlpb.Job
		workers []string
		want    float64
	}{
		"no workers":               {&controlpb.Job{}, nil, 1},
		"unknown speed":            {&controlpb.Job{}, []string{"x"}, 1},
		"slowest member":           {&controlpb.Job{}, []string{"fast", "slow", "x"}, 0.5},
		"error of the observation": {&controlpb.Job{}, []string{"broken"}, minSpeed},
		"coupled over two racks":   {&controlpb.Job{TightlyCoupled: true}, []string{"fast", "far"}, 1 / remoteSlowdown},
		"loose over two racks":     {&controlpb.Job{}, []string{"fast", "far"}, 1},
		"away from its data":       {&controlpb.Job{DataRack: "r2r"}, []string{"fast"}, 1.6 / remoteSlowdown},
	} {
		t.Run(name, func(t *testing.T) {
			job := c.job
			for _, worker := range c.workers {
				job.Placements = append(job.Placements, &controlpb.Placement{Worker: worker})
			}
			is.New(t).Equal(RunFactor(job, workerOf), c.want)
		})
	}
}
