package leases

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/pace"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/state/store"
)

// runName names one run of one task.
type runName struct {
	task string
	run  uint64
}

// mark is a reading of a run's progress at a time of the worker's clock.
type mark struct {
	percent uint32
	clock   int64
}

const (
	// leastSpan and leastPercent are from the first reading of a run to the one that
	// tells its rate: hundredths are rounded, and fewer would make it wrong by more
	// than a tenth.
	leastSpan    = 400 * time.Millisecond
	leastPercent = 10
)

// rate is how fast one member of a gang gets on, in hundredths a millisecond.
type rate struct {
	run   pace.Run
	value float64
}

// markProgress keeps the first reading of each run that has begun to work: a member of a
// gang stands at nothing until all others are there.
func (l *Ledger) markProgress(report *Report) {
	marks := make(map[runName]mark, len(report.Running))
	for _, r := range report.Running {
		name := runName{r.Task, r.Run}
		if before, ok := l.marks[name]; ok {
			marks[name] = before
		} else if r.Percent > 0 {
			marks[name] = mark{r.Percent, report.Clock}
		}
	}
	l.marks = marks
}

// rates of the members of gangs that run, as far as two readings tell. A task by itself
// tells nothing: how much work it has is known roughly.
func (l *Ledger) rates(state *store.State) []rate {
	var rates []rate
	for _, r := range l.running {
		before, ok := l.marks[runName{r.Task, r.Run}]
		span := l.reported - before.clock
		if !ok || r.Percent >= api.WholePercent || span < leastSpan.Milliseconds() || r.Percent < before.percent+leastPercent {
			continue
		}
		if job, _, ok := FindTask(state, r.Task); ok && job.Tasks > 1 {
			value := float64(r.Percent-before.percent) / float64(span)
			rates = append(rates, rate{pace.Run{Job: job.Id, Epoch: r.Run}, value})
		}
	}
	return rates
}
