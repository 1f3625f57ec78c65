// Package quarantine decides from a worker's failures whether it is given work. The
// failures are in the replicated log and the package keeps no other state, so every
// leader decides the same.
package quarantine

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Config holds the delays after failures.
type Config struct {
	// CoolDown is how long a worker gets no work after one failure, so that the failed job
	// and others try other workers first. It doubles with each further failure, up to Probe.
	CoolDown time.Duration
	// Probe is the delay until a quarantined worker is probed with one job. It doubles with
	// each failed probe, up to maxProbeDelay.
	Probe time.Duration
	// MaxUnanswered limits both delays of a worker that has only left commands unanswered; 0
	// for no limit. Whether it answers shows at the next start. That is cheap to try where the
	// start delays one job by less than a second and costs it no attempt; where a job whose
	// start was lost waits for the end of a lease, it is not.
	MaxUnanswered time.Duration
}

const (
	// minDistinctJobs is how many different jobs must fail on a worker without a success
	// in between before it is quarantined: with fewer, the jobs may be at fault.
	minDistinctJobs = 3
	// maxProbeDelay limits the wait of a worker that may have been sound all the time.
	maxProbeDelay = time.Minute
	maxDoublings  = 16
	// stallSpan is the time within which unanswered commands count as one failure: they are
	// given up after at most 0.8 s.
	stallSpan = time.Second
)

// Verdict says what work a worker may be given.
type Verdict int

// The verdicts.
const (
	// Healthy workers may be given any work.
	Healthy Verdict = iota
	// CoolingDown workers are given no work until the cool-down ends.
	CoolingDown
	// Quarantined workers failed several jobs in a row or let work stall, and are given
	// no work until a probe is due.
	Quarantined
	// Probing workers are quarantined and may be given one job as a probe; if it succeeds,
	// they are healthy again (see also WhileProbed).
	Probing
)

var verdictNames = map[Verdict]string{
	Healthy: "healthy", CoolingDown: "cooling_down", Quarantined: "quarantined", Probing: "probing",
}

func (v Verdict) String() string { return verdictNames[v] }

// Evaluate returns the verdict on a worker; health is nil if nothing has failed on it since
// its last success.
func Evaluate(config Config, health *controlpb.WorkerHealth, now time.Time) Verdict {
	if health == nil || len(health.Failures) == 0 {
		return Healthy
	}
	health = countStallsOnce(health)
	since := now.Sub(time.UnixMilli(health.Failures[len(health.Failures)-1].TimeMs))
	failures := int(health.Consecutive)
	coolDown := backoff(config.CoolDown, failures-1, config.Probe)
	probe := backoff(config.Probe, failures-minDistinctJobs, maxProbeDelay)
	if config.MaxUnanswered > 0 && onlyUnanswered(health.Failures) {
		coolDown, probe = min(coolDown, config.MaxUnanswered), min(probe, config.MaxUnanswered)
	}
	switch {
	case !quarantined(health) && since >= coolDown:
		return Healthy
	case !quarantined(health):
		return CoolingDown
	case since >= probe:
		return Probing
	}
	return Quarantined
}

// onlyUnanswered reports whether all failures are commands that were left unanswered.
func onlyUnanswered(failures []*controlpb.WorkerFailure) bool {
	return !slices.ContainsFunc(failures, func(failed *controlpb.WorkerFailure) bool { return !unanswered[failure.Code(failed.Code)] })
}

// countStallsOnce returns a worker's failures with all commands that it left unanswered at
// about the same time counted as one. A pause of 0.3 s, of the worker, of a link or of the
// leader itself, leaves the commands for all jobs unanswered that were placed there in one
// pass; counted by job, it would quarantine the worker, and with all workers paused the
// whole system for minutes.
func countStallsOnce(health *controlpb.WorkerHealth) *controlpb.WorkerHealth {
	counted := &controlpb.WorkerHealth{Worker: health.Worker, Consecutive: health.Consecutive}
	var lastMs int64
	for _, failed := range health.Failures {
		if unanswered[failure.Code(failed.Code)] {
			if lastMs != 0 && failed.TimeMs-lastMs < stallSpan.Milliseconds() {
				counted.Consecutive = max(counted.Consecutive, 2) - 1
				continue
			}
			lastMs = failed.TimeMs
		}
		counted.Failures = append(counted.Failures, failed)
	}
	return counted
}

// unanswered holds the codes of commands that a worker did not answer.
var unanswered = map[failure.Code]bool{failure.Unreachable: true, failure.OutcomeUnknown: true}

// quarantined reports whether several jobs have failed on the worker, or work has stalled on
// it. One stall suffices: a job does not hang by itself, and a worker that hangs appears
// idle once its tasks are stopped, so that it would be given the next ones at once.
func quarantined(health *controlpb.WorkerHealth) bool {
	for _, failed := range health.Failures {
		if failed.Code == string(failure.Stalled) {
			return true
		}
	}
	return DistinctJobs(health) >= minDistinctJobs
}

// WhileProbed returns the verdict on a quarantined worker that holds a job. All that runs
// there was started by answered, which is zero if nothing runs yet. Most failures need a
// task that completes to be disproved. Commands that were left unanswered need an answered
// start: to wait for the end of the task would keep other work waiting beside the worker,
// for as long as a task takes.
func WhileProbed(failures []*controlpb.WorkerFailure, answered time.Time) Verdict {
	disproved := func(failed *controlpb.WorkerFailure) bool {
		return unanswered[failure.Code(failed.Code)] && answered.After(time.UnixMilli(failed.TimeMs))
	}
	for _, failed := range failures {
		if !disproved(failed) {
			return Quarantined
		}
	}
	return Healthy
}

// DistinctJobs returns the number of different jobs that failed on the worker since its last
// success.
func DistinctJobs(health *controlpb.WorkerHealth) int {
	jobs := map[string]bool{}
	for _, failed := range health.Failures {
		jobs[failed.Job] = true
	}
	return len(jobs)
}

func backoff(base time.Duration, doublings int, limit time.Duration) time.Duration {
	return min(base<<min(max(doublings, 0), maxDoublings), limit)
}

// LimitProbes drops from a plan the assignments that would put more than one job on a worker
// that is being probed. The dropped jobs wait for the next pass.
func LimitProbes(plan []*controlpb.Assignment, probing func(worker string) bool) []*controlpb.Assignment {
	probed := map[string]bool{}
	kept := make([]*controlpb.Assignment, 0, len(plan))
	for _, assignment := range plan {
		if !usesAny(assignment, probed) {
			kept = append(kept, assignment)
			markProbing(assignment, probing, probed)
		}
	}
	return kept
}

func usesAny(assignment *controlpb.Assignment, workers map[string]bool) bool {
	for _, placement := range assignment.Placements {
		if workers[placement.Worker] {
			return true
		}
	}
	return false
}

func markProbing(assignment *controlpb.Assignment, probing func(worker string) bool, taken map[string]bool) {
	for _, placement := range assignment.Placements {
		if probing(placement.Worker) {
			taken[placement.Worker] = true
		}
	}
}
