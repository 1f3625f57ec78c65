package leases

import (
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/pace"
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
	// wholePercent is work that is done: its worker may have waited since.
	wholePercent = 100
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

// rates of what runs, as far as two readings tell. All members of a gang's run have the
// name of its step in common.
func (l *Ledger) rates() []rate {
	var rates []rate
	for _, r := range l.running {
		before, ok := l.marks[runName{r.Task, r.Run}]
		span := l.reported - before.clock
		if !ok || r.Percent >= wholePercent || span < leastSpan.Milliseconds() || r.Percent < before.percent+leastPercent {
			continue
		}
		step := r.Task[:max(strings.LastIndexByte(r.Task, '.'), 0)]
		rates = append(rates, rate{pace.Run{Job: step, Epoch: r.Run}, float64(r.Percent-before.percent) / float64(span)})
	}
	return rates
}
