// Package pace learns by how much workers differ in speed, from the progress of gangs:
// the members of one have the same work each, and none of them can end before the
// slowest, so that a gang over unlike workers holds the fast ones for nothing.
package pace

import (
	"math"
	"slices"
)

const (
	// priorRuns is how many runs the assumption that a worker is as fast as others
	// weighs: progress comes in hundredths, which makes a rate wrong by a tenth where it
	// is taken early in a run.
	priorRuns = 0.3
	// keptRuns is how many newest runs count: some seconds of a busy cluster, so that a
	// worker that has turned slow is soon known to be.
	keptRuns = 256
	// rounds of the fit; the third changes speeds by less than a hundredth.
	rounds = 3
)

// Run names one run of a gang.
type Run struct {
	Job   string
	Epoch uint64
}

// Learner holds the rates that were observed. The zero Learner has observed nothing.
type Learner struct {
	// rates of the members of each run by worker, as logarithms.
	rates map[Run]map[string]float64
	// order of the runs, the oldest first.
	order []Run
}

// Observe notes how fast a worker gets on with its member of a run: in any unit that is
// the same for all members. A later figure replaces an earlier one.
func (l *Learner) Observe(run Run, worker string, rate float64) {
	if rate <= 0 {
		return
	}
	if l.rates == nil {
		l.rates = map[Run]map[string]float64{}
	}
	members := l.rates[run]
	if members == nil {
		members = map[string]float64{}
		l.rates[run] = members
		l.order = append(l.order, run)
		if len(l.order) > keptRuns {
			delete(l.rates, l.order[0])
			l.order = l.order[1:]
		}
	}
	members[worker] = math.Log(rate)
}

// Speeds gives the speed of each worker beside the middle one of all that are known. It
// explains each rate by its run's work and its worker's speed, in turns.
func (l *Learner) Speeds() map[string]float64 {
	speeds := map[string]float64{}
	for range rounds {
		sums, counts := map[string]float64{}, map[string]float64{}
		for _, run := range l.order {
			members := l.rates[run]
			if len(members) < 2 {
				continue
			}
			work := 0.0
			for worker, rate := range members {
				work += (rate - speeds[worker]) / float64(len(members))
			}
			for worker, rate := range members {
				sums[worker] += rate - work
				counts[worker]++
			}
		}
		for worker, sum := range sums {
			speeds[worker] = sum / (counts[worker] + priorRuns)
		}
	}
	return relative(speeds)
}

// relative takes logarithms to speeds beside the median.
func relative(logs map[string]float64) map[string]float64 {
	if len(logs) == 0 {
		return map[string]float64{}
	}
	sorted := make([]float64, 0, len(logs))
	for _, value := range logs {
		sorted = append(sorted, value)
	}
	slices.Sort(sorted)
	middle := sorted[len(sorted)/2]
	speeds := make(map[string]float64, len(logs))
	for worker, value := range logs {
		speeds[worker] = math.Exp(value - middle)
	}
	return speeds
}
