// Package workerspeed estimates the relative speeds of workers from the progress of gangs.
// All members of a gang have the same amount of work and none completes before the slowest
// one, so a gang on workers of different speed wastes the time of the fast ones.
package workerspeed

import (
	"math"
	"slices"
)

const (
	// priorRuns is the weight, in runs, of the prior that a worker has the same speed as
	// the others. Progress is reported in hundredths, so that a rate that is measured early
	// in a run is off by up to a tenth.
	priorRuns = 0.3
	// maxRuns is how many of the newest runs are kept: a few seconds' worth on a busy
	// cluster, so that a worker that slows down is detected quickly.
	maxRuns = 256
	// iterations of the fit: the third changes speeds by less than a hundredth.
	iterations = 3
)

// Run identifies one run of a gang.
type Run struct {
	Job   string
	Epoch uint64
}

// Estimator estimates speeds from observed rates. Its zero value is ready to use.
type Estimator struct {
	// rates holds the natural logarithms of the members' rates, by run and worker.
	rates map[Run]map[string]float64
	// runs lists the keys of rates, oldest first.
	runs []Run
}

// Observe records the rate at which a worker progresses with its member of a run, in any
// unit that is the same for all members. A later rate replaces an earlier one; rates that
// are not positive are ignored.
func (e *Estimator) Observe(run Run, worker string, rate float64) {
	if rate <= 0 {
		return
	}
	if e.rates == nil {
		e.rates = map[Run]map[string]float64{}
	}
	members := e.rates[run]
	if members == nil {
		members = map[string]float64{}
		e.rates[run] = members
		e.runs = append(e.runs, run)
		if len(e.runs) > maxRuns {
			delete(e.rates, e.runs[0])
			e.runs = e.runs[1:]
		}
	}
	members[worker] = math.Log(rate)
}

// Speeds returns the speed of each known worker relative to the median. It models a rate
// as the product of its run's base rate and its worker's speed, and fits the two
// alternately.
func (e *Estimator) Speeds() map[string]float64 {
	speeds := map[string]float64{}
	for range iterations {
		sums, counts := map[string]float64{}, map[string]float64{}
		for _, run := range e.runs {
			members := e.rates[run]
			if len(members) < 2 {
				continue
			}
			base := 0.0
			for worker, rate := range members {
				base += (rate - speeds[worker]) / float64(len(members))
			}
			for worker, rate := range members {
				sums[worker] += rate - base
				counts[worker]++
			}
		}
		for worker, sum := range sums {
			speeds[worker] = sum / (counts[worker] + priorRuns)
		}
	}
	return relative(speeds)
}

// relative converts logarithms of speeds to speeds relative to the median.
func relative(logs map[string]float64) map[string]float64 {
	if len(logs) == 0 {
		return map[string]float64{}
	}
	sorted := make([]float64, 0, len(logs))
	for _, value := range logs {
		sorted = append(sorted, value)
	}
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	speeds := make(map[string]float64, len(logs))
	for worker, value := range logs {
		speeds[worker] = math.Exp(value - median)
	}
	return speeds
}
