package interference

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// A pair begins to interfere at an effect of onEffect that is onDeviations standard
	// errors from none and was seen on onWorkers workers at least; it stops below
	// offEffect or offDeviations. The gap keeps pairs from alternating. There are up to
	// 2,304 pairs, each tested many times, so the limit is high: at 4.5, uneven tasks gave 2 false pairs
	// over 20 seeds.
	onEffect      = 0.10
	offEffect     = 0.05
	onDeviations  = 5
	offDeviations = 2
	onWorkers     = 4
	// onSamples is the least number of samples with and without the aggressor.
	onSamples = 12
	// evidenceMemory is the time after which the evidence of a pair has lost most of its
	// weight.
	evidenceMemory = 5 * time.Minute
)

// Pair is the estimate for one pair of classes.
type Pair struct {
	Victim, Aggressor string
	// Slowdown is the factor by which the run time of the victim grows beside the
	// aggressor; Error is its relative standard error.
	Slowdown, Error float64
	// Interferes is set while the evidence suffices to keep the classes apart.
	Interferes bool
	// Samples counts the recent samples of the victim beside the aggressor, and Workers
	// the workers on which it was slowed down, up to 64.
	Samples float64
	Workers int
	// CPU and CPUWithout are the victim's cpu in use as a share of what it asked for,
	// beside the aggressor and otherwise; negative if unknown.
	CPU, CPUWithout float64
	// Since is when the pair began to interfere, and LastSeen when the victim last ran
	// beside the aggressor; zero for never.
	Since, LastSeen time.Time
}

// evidence is what was seen of one pair besides the regression.
type evidence struct {
	samples, cpu, cpuWeight float64
	// aged is when the evidence last lost weight, last when there was a sample.
	aged, last, since time.Time
	interferes        bool
	// workers has a bit for each worker, by hash, on which the victim was slowed down;
	// older holds those of the previous period, which began at turned.
	workers, older uint64
	turned         time.Time
}

// age makes the evidence lose weight and starts a new period of workers.
func (e *evidence) age(now time.Time) {
	if now.Equal(e.aged) {
		return
	}
	decay := math.Exp(-max(now.Sub(e.aged), 0).Seconds() / evidenceMemory.Seconds())
	e.samples, e.cpu, e.cpuWeight = e.samples*decay, e.cpu*decay, e.cpuWeight*decay
	if now.Sub(e.turned) > evidenceMemory {
		e.older, e.workers, e.turned = e.workers, 0, now
	}
	e.aged = now
}

func (e *evidence) workerCount() int { return bits.OnesCount64(e.workers | e.older) }

// recordEvidence records a sample for each class beside its task. deviation is that from
// the level of the class, and worker the bit of the worker.
func (v *victim) recordEvidence(now time.Time, w *window, task *Task, deviation float64, worker uint64) {
	v.evidence[0].record(now, w, task, 0)
	for _, p := range w.beside {
		if p.seconds < minShare {
			continue
		}
		bit := worker
		if effect := v.coefficients[p.class+1]; deviation > effect/2 || effect >= 0 {
			bit = 0
		}
		v.evidence[p.class+1].record(now, w, task, bit)
	}
}

// workerBit returns the bit that stands for a worker in evidence.
func workerBit(worker string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(worker))
	return 1 << (hash.Sum64() % 64)
}

func (e *evidence) record(now time.Time, w *window, task *Task, worker uint64) {
	e.age(now)
	e.last = now
	e.samples++
	e.workers |= worker
	if w.cpuSpan > 0 {
		e.cpu += w.cpuUsed / w.cpuSpan.Seconds() / float64(task.CPUAsked)
		e.cpuWeight++
	}
}

// Pairs returns the pairs that were observed, the interfering ones first, then by
// decreasing slow-down. now is the time of the newest observation or later.
func (m *Model) Pairs(now time.Time) []Pair {
	var pairs []Pair
	for class, v := range m.victims {
		if v == nil {
			continue
		}
		if v.changed {
			v.fit()
		}
		for aggressor, name := range m.names {
			if name != "" && !v.evidence[aggressor+1].last.IsZero() {
				pair := v.pair(aggressor, now)
				pair.Victim, pair.Aggressor = m.names[class], name
				pairs = append(pairs, pair)
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		if a.Interferes != b.Interferes {
			if a.Interferes {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Aggressor, b.Aggressor))
	})
	return pairs
}

func (v *victim) pair(aggressor int, now time.Time) Pair {
	e, all := &v.evidence[aggressor+1], &v.evidence[0]
	e.age(now)
	all.age(now)
	effect := -v.coefficients[aggressor+1]
	deviation := v.scale * math.Sqrt(v.variances[aggressor+1])
	e.judge(now, effect, deviation, all.samples-e.samples)
	return Pair{
		Slowdown: math.Exp(effect), Error: deviation, Interferes: e.interferes,
		Samples: e.samples, Workers: e.workerCount(),
		CPU: ratio(e.cpu, e.cpuWeight), CPUWithout: ratio(all.cpu-e.cpu, all.cpuWeight-e.cpuWeight),
		Since: e.since, LastSeen: e.last,
	}
}

func ratio(sum, weight float64) float64 {
	if weight < 1 {
		return -1
	}
	return max(sum, 0) / weight
}

// judge decides whether a pair interferes. without is the number of samples without the
// aggressor.
func (e *evidence) judge(now time.Time, effect, deviation, without float64) {
	switch {
	case e.interferes && (effect < offEffect || effect < offDeviations*deviation):
		e.interferes, e.since = false, time.Time{}
	case !e.interferes && effect >= onEffect && effect >= onDeviations*deviation &&
		e.samples >= onSamples && without >= onSamples && e.workerCount() >= onWorkers:
		e.interferes, e.since = true, now
	}
}
