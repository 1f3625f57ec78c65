package dispatch

import (
	"expvar"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// verdicts holds, by worker id, the verdicts of all workers that were not healthy at the
// last evaluation.
type verdicts map[string]quarantine.Verdict

var (
	workerVerdicts = expvar.NewMap("dispatch_workers")
	workersInUse   = expvar.NewInt("dispatch_workers_kept_in_use")
)

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
	return d.records.Verdict(d.config.Quarantine, worker, bySource(state, state.Health(worker)), now)
}

// failuresOf returns the failures that count against a worker, in the log or in its record.
func (d *Dispatcher) failuresOf(state *store.State, worker string) []*controlpb.WorkerFailure {
	return slices.Concat(state.Health(worker).GetFailures(), d.records.Of(worker))
}

// newestFailure returns the time of the newest failure that counts against a worker.
func (d *Dispatcher) newestFailure(state *store.State, worker string) time.Time {
	newest := int64(0)
	for _, failed := range d.failuresOf(state, worker) {
		newest = max(newest, failed.TimeMs)
	}
	return time.UnixMilli(newest)
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

// logKept logs the workers that begin or cease to be kept in use.
func (d *Dispatcher) logKept(before, now map[string]bool) {
	workersInUse.Set(int64(len(now)))
	if d.config.Logger == nil {
		return
	}
	for worker := range now {
		if !before[worker] {
			d.config.Logger.WithField("worker", worker).Info("worker kept in use")
		}
	}
	for worker := range before {
		if !now[worker] {
			d.config.Logger.WithField("worker", worker).Info("worker no longer kept in use")
		}
	}
}

// bySource returns a worker's failures by the workflows that their jobs belong to: the tasks of one
// workflow are one witness against a worker.
func bySource(state *store.State, health *controlpb.WorkerHealth) *controlpb.WorkerHealth {
	if health == nil {
		return nil
	}
	counted := &controlpb.WorkerHealth{Worker: health.Worker, Consecutive: health.Consecutive}
	for _, failed := range health.Failures {
		source := failed.Job
		if job, ok := state.Job(failed.Job); ok && job.Workflow != "" {
			source = job.Workflow
		}
		counted.Failures = append(counted.Failures, &controlpb.WorkerFailure{Job: source, Code: failed.Code, TimeMs: failed.TimeMs})
	}
	return counted
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
		fields["jobs"] = quarantine.DistinctJobs(bySource(state, health))
		fields["code"] = health.Failures[len(health.Failures)-1].Code
	}
	d.config.Logger.WithFields(fields).Info("worker judged")
}
