package fragmentation

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func TestRatio(t *testing.T) {
	worker := func(rack, name string, idle uint32) Worker {
		return Worker{DataCentre: "dc", Rack: rack, Name: name, Idle: idle}
	}
	const (
		anywhere = controlpb.Adjacency_ADJACENCY_ANY
		oneRack  = controlpb.Adjacency_ADJACENCY_RACK
	)
	idleWorkers := []Worker{worker("r1", "a", 8), worker("r1", "b", 8)}
	halfIdleWorkers := []Worker{worker("r1", "a", 4), worker("r1", "b", 4), worker("r2", "c", 4), worker("r2", "d", 4)}
	tests := map[string]struct {
		workers []Worker
		demands []Demand
		want    float64
	}{
		"no idle accelerators": {nil, []Demand{{1, 8, anywhere, 1}}, 0},
		"no demand":            {idleWorkers, nil, 0},
		"whole workers":        {idleWorkers, []Demand{{2, 8, oneRack, 1}}, 0},
		"half-idle workers cannot hold tasks of 8": {halfIdleWorkers, []Demand{{1, 8, anywhere, 1}}, 1},
		"half-idle workers hold tasks of 4":        {halfIdleWorkers, []Demand{{1, 4, anywhere, 1}}, 0},
		"gang does not fit into one rack":          {halfIdleWorkers, []Demand{{4, 4, oneRack, 1}}, 1},
		"gang of two tasks fits into each rack":    {halfIdleWorkers, []Demand{{2, 4, oneRack, 1}}, 0},
		"remainder is smaller than a gang":         {halfIdleWorkers, []Demand{{3, 4, anywhere, 1}}, 0.25},
		"weighted average":                         {halfIdleWorkers, []Demand{{1, 8, anywhere, 1}, {1, 4, anywhere, 3}}, 0.25},
		"work without accelerators is ignored":     {halfIdleWorkers, []Demand{{1, 0, anywhere, 9}, {1, 8, anywhere, 1}}, 1},
		"gang larger than all idle accelerators":   {idleWorkers, []Demand{{3, 8, anywhere, 1}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Ratio(test.workers, test.demands), test.want)
		})
	}
}
