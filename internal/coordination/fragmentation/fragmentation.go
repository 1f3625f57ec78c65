// Package fragmentation measures how much of the idle accelerators the declared
// work cannot use.
//
// The measure follows Weng et al., "Beware of Fragmentation: Scheduling
// GPU-Sharing Workloads with Fragmentation Gradient Descent" (USENIX ATC 2023):
// what a task of the target workload cannot use of the idle accelerators,
// averaged over the workload. Here the unit is the gang: accelerators on which
// a whole gang fits under its adjacency are usable, all others are fragments.
package fragmentation

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Worker is the idle part of one worker.
type Worker struct {
	DataCentre string
	Rack       string
	Name       string
	Idle       uint32
}

// Demand is one class of work and how often it is asked for.
type Demand struct {
	Tasks        uint32
	Accelerators uint32
	Adjacency    controlpb.Adjacency
	Weight       float64
}

// Of gives the part of the idle accelerators, from 0 to 1, that a gang of the
// demand cannot use, averaged by weight. Nothing idle or no demand gives 0.
func Of(workers []Worker, demands []Demand) float64 {
	var idle uint64
	for _, worker := range workers {
		idle += uint64(worker.Idle)
	}
	var sum, weights float64
	for _, demand := range demands {
		if demand.Accelerators == 0 || demand.Tasks == 0 {
			continue
		}
		sum += demand.Weight * (1 - float64(usable(workers, demand))/float64(max(idle, 1)))
		weights += demand.Weight
	}
	if idle == 0 || weights == 0 {
		return 0
	}
	return sum / weights
}

// domain is where the whole of a gang must be.
type domain struct{ dataCentre, rack, worker string }

func usable(workers []Worker, demand Demand) uint64 {
	fitting := map[domain]uint64{}
	for _, worker := range workers {
		fitting[domainOf(worker, demand.Adjacency)] += uint64(worker.Idle / demand.Accelerators)
	}
	var gangs uint64
	for _, tasks := range fitting {
		gangs += tasks / uint64(demand.Tasks)
	}
	return gangs * uint64(demand.Tasks) * uint64(demand.Accelerators)
}

func domainOf(worker Worker, adjacency controlpb.Adjacency) domain {
	switch adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return domain{worker.DataCentre, worker.Rack, worker.Name}
	case controlpb.Adjacency_ADJACENCY_RACK:
		return domain{worker.DataCentre, worker.Rack, ""}
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return domain{worker.DataCentre, "", ""}
	}
	return domain{}
}
