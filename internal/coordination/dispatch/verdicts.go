package dispatch

import (
	"expvar"
	"slices"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// verdicts holds, by worker id, the verdicts of all workers that were not healthy at the
// last evaluation.
type verdicts map[string]quarantine.Verdict

var workerVerdicts = expvar.NewMap("dispatch_workers")

// publish sets the metrics that count workers by verdict, for every verdict but healthy.
func (v verdicts) publish() {
	counts := map[quarantine.Verdict]int64{}
	for _, verdict := range v {
		counts[verdict]++
	}
	for _, verdict := range []quarantine.Verdict{quarantine.CoolingDown, quarantine.Quarantined, quarantine.Probing} {
		count := &expvar.Int{}
		count.Set(counts[verdict])
		workerVerdicts.Set(verdict.String(), count)
	}
}

// judgeRecord returns the verdict on a worker, and whether failures count against it. With
// attempt placement, its record outlasts a success.
func (d *Dispatcher) judgeRecord(state *store.State, worker string) (verdict quarantine.Verdict, badRecord bool) {
	if !d.config.Features.AttemptPlacement {
		return d.verdict(state, worker), false
	}
	now := latest(d.config.Now(), state.Time())
	if !d.records.Begun() {
		d.records.Begin(now, state.Jobs())
	}
	return d.records.Verdict(d.config.Quarantine, worker, state.Health(worker), now)
}

// removeDeparted removes the expired records of workers that aren't live.
func (d *Dispatcher) removeDeparted(live []*peerpb.Upstream) {
	if d.records.Count() == 0 {
		return
	}
	ids := make(map[string]bool, len(live))
	for _, worker := range live {
		ids[worker.Id] = true
	}
	d.records.RemoveDeparted(func(worker string) bool { return ids[worker] }, d.config.Now())
}

// completedOn returns the worker of each task that the batch completes.
func completedOn(state *store.State, batch *controlpb.BatchMove) (workers []string) {
	for _, finished := range batch.Finished {
		job, ok := state.Job(finished.Job)
		if !ok || job.Epoch != finished.Epoch || slices.Contains(job.DoneTasks, finished.Task) {
			continue
		}
		if placement := store.PlacementOf(job, finished.Task); placement != nil {
			workers = append(workers, placement.Worker)
		}
	}
	return workers
}

// logVerdict logs a worker's changed verdict with the failures that it is based on.
func (d *Dispatcher) logVerdict(state *store.State, worker string, verdict quarantine.Verdict) {
	if d.config.Logger == nil {
		return
	}
	fields := logrus.Fields{"worker": worker, "verdict": verdict.String(), "index": state.Index()}
	if record := d.records.Failures(worker); record > 0 {
		fields["record"] = record
	}
	if health := state.Health(worker); health != nil {
		fields["failures"] = health.Consecutive
		fields["jobs"] = quarantine.DistinctJobs(health)
		fields["code"] = health.Failures[len(health.Failures)-1].Code
	}
	d.config.Logger.WithFields(fields).Info("worker judged")
}
