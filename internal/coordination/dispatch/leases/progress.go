package leases

import (
	"cmp"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/state/store"
)

// runKey identifies one run of one task.
type runKey struct {
	task string
	run  uint64
}

func compareRuns(a, b runKey) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.run, b.run))
}

// progressReading is the progress of a run at a time on the worker's clock in ms.
type progressReading struct {
	percent uint32
	clock   int64
}

const (
	// minRateSpan and minRatePercent are the minimum differences in time and progress
	// between the first reading of a run and the one from which its rate is computed.
	// Progress is rounded to whole percent, and smaller differences would give errors
	// of more than 10%.
	minRateSpan    = 400 * time.Millisecond
	minRatePercent = 10
)

// rate is the speed of one member of a gang in percent per millisecond.
type rate struct {
	run   workerspeed.Run
	value float64
}

// recordProgress keeps the first reading of each run whose progress is not zero: a
// member of a gang stays at zero until all members have started.
func (t *Tracker) recordProgress(report *Report) {
	marks := make(map[runKey]progressReading, len(report.Running))
	for _, r := range report.Running {
		name := runKey{r.Task, r.Run}
		if first, ok := t.firstReadings[name]; ok {
			marks[name] = first
		} else if r.Percent > 0 {
			marks[name] = progressReading{r.Percent, report.Clock}
		}
	}
	t.firstReadings = marks
}

// rates returns the progress rates of active gang members for which two sufficiently
// distant readings exist. Single tasks are ignored, since their amount of work is known
// only roughly.
func (t *Tracker) rates(state *store.State) []rate {
	var rates []rate
	for _, r := range t.running {
		first, ok := t.firstReadings[runKey{r.Task, r.Run}]
		span := t.reportClock - first.clock
		if !ok || r.Percent >= api.CompletePercent || span < minRateSpan.Milliseconds() || r.Percent < first.percent+minRatePercent {
			continue
		}
		if job, _, ok := FindTask(state, r.Task); ok && job.Tasks > 1 {
			value := float64(r.Percent-first.percent) / float64(span)
			rates = append(rates, rate{workerspeed.Run{Job: job.Id, Epoch: r.Run}, value})
		}
	}
	return rates
}
