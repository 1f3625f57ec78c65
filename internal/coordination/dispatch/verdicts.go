package dispatch

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/state/store"
)

// verdicts are those of the workers that were not healthy when last judged.
type verdicts map[string]quarantine.Verdict

var workersJudged = expvar.NewMap("dispatch_workers")

// tell gives the numbers of workers that get no work, or one job as a probe.
func (v verdicts) tell() {
	counts := map[quarantine.Verdict]int64{}
	for _, verdict := range v {
		counts[verdict]++
	}
	for _, verdict := range []quarantine.Verdict{quarantine.CoolingDown, quarantine.Quarantined, quarantine.Probing} {
		count := &expvar.Int{}
		count.Set(counts[verdict])
		workersJudged.Set(verdict.String(), count)
	}
}

// logVerdict writes a line for a worker whose verdict is another one than before, with the
// evidence for it.
func (d *Dispatcher) logVerdict(state *store.State, worker string, verdict quarantine.Verdict) {
	if d.config.Logger == nil {
		return
	}
	fields := logrus.Fields{"worker": worker, "verdict": verdict.String(), "index": state.Index()}
	if health := state.Health(worker); health != nil {
		fields["failures"] = health.Consecutive
		fields["jobs"] = quarantine.DistinctJobs(health)
		fields["code"] = health.Failures[len(health.Failures)-1].Code
	}
	d.config.Logger.WithFields(fields).Info("worker judged")
}
