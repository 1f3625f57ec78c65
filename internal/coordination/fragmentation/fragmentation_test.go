package fragmentation

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func TestOf(t *testing.T) {
	worker := func(rack, name string, idle uint32) Worker {
		return Worker{DataCentre: "dc", Rack: rack, Name: name, Idle: idle}
	}
	const (
		anywhere = controlpb.Adjacency_ADJACENCY_ANY
		oneRack  = controlpb.Adjacency_ADJACENCY_RACK
	)
	whole := []Worker{worker("r1", "a", 8), worker("r1", "b", 8)}
	halves := []Worker{worker("r1", "a", 4), worker("r1", "b", 4), worker("r2", "c", 4), worker("r2", "d", 4)}
	tests := map[string]struct {
		workers []Worker
		demands []Demand
		want    float64
	}{
		"nothing idle":                 {nil, []Demand{{1, 8, anywhere, 1}}, 0},
		"no demand":                    {whole, nil, 0},
		"whole workers":                {whole, []Demand{{2, 8, oneRack, 1}}, 0},
		"halves cannot take eights":    {halves, []Demand{{1, 8, anywhere, 1}}, 1},
		"halves take fours":            {halves, []Demand{{1, 4, anywhere, 1}}, 0},
		"gang is split over racks":     {halves, []Demand{{4, 4, oneRack, 1}}, 1},
		"gang of two fits each rack":   {halves, []Demand{{2, 4, oneRack, 1}}, 0},
		"remainder of gangs":           {halves, []Demand{{3, 4, anywhere, 1}}, 0.25},
		"average by weight":            {halves, []Demand{{1, 8, anywhere, 1}, {1, 4, anywhere, 3}}, 0.25},
		"work without accelerators":    {halves, []Demand{{1, 0, anywhere, 9}, {1, 8, anywhere, 1}}, 1},
		"more asked than the idle sum": {whole, []Demand{{3, 8, anywhere, 1}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Of(test.workers, test.demands), test.want)
		})
	}
}
