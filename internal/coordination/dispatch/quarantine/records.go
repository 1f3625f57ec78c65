package quarantine

import (
	"cmp"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// recordRetention is how long a failure counts in a worker's record: minutes, as a worker
	// that was repaired would otherwise be avoided for too long.
	recordRetention = 5 * time.Minute
	// maxRecord limits the failures in a record, so that a few successes clear it.
	maxRecord = 8
	// sameFailure is how far the times of one failure may be apart: that in its job is of the
	// leader's clock, that in the worker's health is of the commit.
	sameFailure = 2 * time.Second
)

// Records keeps the failures of workers beyond their next success: each success takes away
// half of them. The log only keeps those since the last success, so a worker that fails most
// of what it starts would look healthy after each task that ends well. The records are
// memory of the leader. A new one begins with the failures that the log still has of jobs,
// and does not know of the successes in between. The zero value is empty.
type Records struct {
	workers map[string]*record
	// begunMs is when the records began. Earlier failures make a record bad but lead to no
	// verdict beyond that of the log, which knows of the successes since.
	begunMs int64
}

type record struct {
	// failures are those that count, oldest first.
	failures []*controlpb.WorkerFailure
	// seen is the number of consecutive failures in the log at the last update, and newestMs
	// the time of the newest one.
	seen     uint32
	newestMs int64
	// halved is whether a success has halved the record since the last update.
	halved bool
}

// Begun reports whether the records contain what the log had at the start of the term.
func (r *Records) Begun() bool { return r.workers != nil }

// Begin starts the records from the failures of jobs that the log still has.
func (r *Records) Begin(now time.Time, jobs []*controlpb.Job) {
	r.workers, r.begunMs = map[string]*record{}, now.UnixMilli()
	for _, job := range jobs {
		// A parked job was at fault itself: the log doesn't count its failures either.
		if job.State == controlpb.JobState_JOB_STATE_PARKED {
			continue
		}
		for _, failed := range job.Failures {
			if store.CountsAgainstWorker(failed) {
				r.of(failed.Worker).add(&controlpb.WorkerFailure{Job: cmp.Or(job.Workflow, job.Id), Code: failed.Code, TimeMs: failed.TimeMs})
			}
		}
	}
	for _, kept := range r.workers {
		slices.SortStableFunc(kept.failures, func(a, b *controlpb.WorkerFailure) int { return int(a.TimeMs - b.TimeMs) })
		kept.limit(now)
	}
}

// Count returns the number of workers with a record.
func (r *Records) Count() int { return len(r.workers) }

// RemoveDeparted removes the records of workers that aren't live and whose newest failure no
// longer counts.
func (r *Records) RemoveDeparted(live func(worker string) bool, now time.Time) {
	for worker, kept := range r.workers {
		if live(worker) {
			continue
		}
		if kept.limit(now); len(kept.failures) == 0 {
			delete(r.workers, worker)
		}
	}
}

// Failures returns the number of failures that count against a worker.
func (r *Records) Failures(worker string) int {
	return len(r.Of(worker))
}

// Of returns the failures that count against a worker.
func (r *Records) Of(worker string) []*controlpb.WorkerFailure {
	if kept := r.workers[worker]; kept != nil {
		return kept.failures
	}
	return nil
}

// Succeeded records that a task has completed on a worker.
func (r *Records) Succeeded(worker string) {
	if kept := r.workers[worker]; kept != nil {
		kept.halve()
		kept.halved = true
	}
}

func (r *Records) of(worker string) *record {
	kept := r.workers[worker]
	if kept == nil {
		kept = &record{}
		r.workers[worker] = kept
	}
	return kept
}

// Verdict records what the log says of a worker now, and returns the verdict on it, and
// whether failures count against it. After a success, a worker that has failed several jobs
// gets one job at a time until further successes have reduced its record.
func (r *Records) Verdict(config Config, worker string, health *controlpb.WorkerHealth, now time.Time) (verdict Verdict, badRecord bool) {
	if r.workers[worker] == nil && health == nil {
		return Healthy, false
	}
	kept := r.of(worker)
	kept.update(health)
	kept.limit(now)
	if len(kept.failures) == 0 && health == nil {
		delete(r.workers, worker)
		return Healthy, false
	}
	observed := kept.since(r.begunMs)
	if health == nil {
		if DistinctJobs(&controlpb.WorkerHealth{Failures: observed}) >= minDistinctJobs {
			return Probing, true
		}
		return Healthy, true
	}
	if len(observed) > len(health.Failures) {
		health = &controlpb.WorkerHealth{
			Worker: worker, Failures: observed, Consecutive: max(health.Consecutive, uint32(len(observed))),
		}
	}
	return Evaluate(config, health, now), true
}

// update adds the failures that are new. It halves the record if the log has dropped some
// because their job was at fault, or after a success that the leader did not see commit.
func (k *record) update(health *controlpb.WorkerHealth) {
	newest := int64(0)
	if health != nil {
		newest = health.Failures[len(health.Failures)-1].TimeMs
	}
	if k.seen > 0 && health.GetConsecutive() < k.seen && !k.halved {
		k.halve()
	}
	k.halved = false
	for _, failed := range health.GetFailures() {
		if failed.TimeMs > k.newestMs && !slices.ContainsFunc(k.failures, func(f *controlpb.WorkerFailure) bool {
			return f.Job == failed.Job && max(f.TimeMs-failed.TimeMs, failed.TimeMs-f.TimeMs) < sameFailure.Milliseconds()
		}) {
			k.add(failed)
		}
	}
	k.seen, k.newestMs = health.GetConsecutive(), max(k.newestMs, newest)
}

func (k *record) halve() { k.failures = k.failures[(len(k.failures)+1)/2:] }

func (k *record) add(failed *controlpb.WorkerFailure) {
	k.failures = append(slices.Clip(k.failures), failed)
}

// since returns the failures after a time.
func (k *record) since(ms int64) []*controlpb.WorkerFailure {
	first := slices.IndexFunc(k.failures, func(f *controlpb.WorkerFailure) bool { return f.TimeMs > ms })
	if first < 0 {
		return nil
	}
	return k.failures[first:]
}

// limit drops the failures that no longer count.
func (k *record) limit(now time.Time) {
	oldest := now.Add(-recordRetention).UnixMilli()
	k.failures = slices.DeleteFunc(slices.Clone(k.failures), func(f *controlpb.WorkerFailure) bool { return f.TimeMs < oldest })
	if excess := len(k.failures) - maxRecord; excess > 0 {
		k.failures = k.failures[excess:]
	}
}
