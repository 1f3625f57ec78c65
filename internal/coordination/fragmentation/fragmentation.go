// Package fragmentation measures the share of idle accelerators that the declared
// work cannot use.
//
// The measure follows Weng et al., "Beware of Fragmentation: Scheduling
// GPU-Sharing Workloads with Fragmentation Gradient Descent" (USENIX ATC 2023):
// the idle accelerators that a task of the target workload cannot use, averaged
// over the workload. Here the unit is the gang instead of the task: accelerators
// that can hold a complete gang under its adjacency constraint are usable, all
// others are fragments.
package fragmentation

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Worker is one worker and the number of its idle accelerators.
type Worker struct {
	DataCentre string
	Rack       string
	Name       string
	Idle       uint32
}

// Demand is the size of the gangs of one work class. Accelerators is per task;
// Weight is the class's share of the demand, in any unit.
type Demand struct {
	Tasks        uint32
	Accelerators uint32
	Adjacency    controlpb.Adjacency
	Weight       float64
}

// Ratio returns the fraction of the idle accelerators, from 0 to 1, that gangs of the
// demands cannot use, as an average weighted by Weight. It is 0 if no accelerator
// is idle or no demand needs accelerators.
func Ratio(workers []Worker, demands []Demand) float64 {
	var idle uint64
	for _, worker := range workers {
		idle += uint64(worker.Idle)
	}
	var sum, weights float64
	for _, demand := range demands {
		if demand.Accelerators == 0 || demand.Tasks == 0 {
			continue
		}
		sum += demand.Weight * (1 - float64(usableAccelerators(workers, demand))/float64(max(idle, 1)))
		weights += demand.Weight
	}
	if idle == 0 || weights == 0 {
		return 0
	}
	return sum / weights
}

// domain is a set of workers within which a gang must be placed as a whole. Empty
// fields match any worker.
type domain struct{ dataCentre, rack, worker string }

func usableAccelerators(workers []Worker, demand Demand) uint64 {
	tasksPerDomain := map[domain]uint64{}
	for _, worker := range workers {
		tasksPerDomain[domainOf(worker, demand.Adjacency)] += uint64(worker.Idle / demand.Accelerators)
	}
	var gangs uint64
	for _, tasks := range tasksPerDomain {
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
