// Package quarantine decides from a worker's failures whether it gets work. The
// failures are in the log and nothing else is remembered, so every leader
// decides the same.
package quarantine

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Config of the decision.
type Config struct {
	// CoolDown is the pause after one failure: the job that failed, and others,
	// try elsewhere first. It doubles with each further failure, up to Probe.
	CoolDown time.Duration
	// Probe is the pause before a quarantined worker is tried with one job. It
	// doubles with each probe that fails, up to maxProbe.
	Probe time.Duration
}

const (
	// distinctJobs is how many jobs must fail in a row: fewer may be bad jobs.
	distinctJobs = 3
	maxProbe     = time.Hour
	maxDoublings = 16
)

// Verdict is what a worker may be given.
type Verdict int

// The verdicts.
const (
	// Healthy workers get any work.
	Healthy Verdict = iota
	// CoolingDown workers get none for now.
	CoolingDown
	// Quarantined workers failed several jobs in a row, and get none for now.
	Quarantined
	// Probing workers are quarantined and may be tried with one job: one that ends
	// well clears them.
	Probing
)

var verdictNames = map[Verdict]string{
	Healthy: "healthy", CoolingDown: "cooling_down", Quarantined: "quarantined", Probing: "probing",
}

func (v Verdict) String() string { return verdictNames[v] }

// Of judges a worker; health is nil where nothing has failed since a success.
func Of(config Config, health *controlpb.WorkerHealth, now time.Time) Verdict {
	if health == nil || len(health.Failures) == 0 {
		return Healthy
	}
	since := now.Sub(time.UnixMilli(health.Failures[len(health.Failures)-1].TimeMs))
	failures := int(health.Consecutive)
	if !quarantined(health) {
		if since < doubled(config.CoolDown, failures-1, config.Probe) {
			return CoolingDown
		}
		return Healthy
	}
	if since < doubled(config.Probe, max(failures-distinctJobs, 0), maxProbe) {
		return Quarantined
	}
	return Probing
}

// quarantined tells a worker that several jobs failed on, or that let work stand
// still: a job does not hang by itself, and a worker that hangs looks empty once its
// tasks are stopped, so that it would be given the next ones at once.
func quarantined(health *controlpb.WorkerHealth) bool {
	for _, failed := range health.Failures {
		if failed.Code == string(failure.Stalled) {
			return true
		}
	}
	return DistinctJobs(health) >= distinctJobs
}

// DistinctJobs counts the jobs that failed on the worker since a success.
func DistinctJobs(health *controlpb.WorkerHealth) int {
	jobs := map[string]bool{}
	for _, failed := range health.Failures {
		jobs[failed.Job] = true
	}
	return len(jobs)
}

func doubled(base time.Duration, times int, most time.Duration) time.Duration {
	return min(base<<min(max(times, 0), maxDoublings), most)
}

// Limit takes out of a plan what would put more than one job on a worker that
// is probed. What is taken out waits for the next pass.
func Limit(plan []*controlpb.Assignment, probing func(worker string) bool) []*controlpb.Assignment {
	taken := map[string]bool{}
	kept := make([]*controlpb.Assignment, 0, len(plan))
	for _, assignment := range plan {
		if !touchesAny(assignment, taken) {
			kept = append(kept, assignment)
			markProbed(assignment, probing, taken)
		}
	}
	return kept
}

func touchesAny(assignment *controlpb.Assignment, workers map[string]bool) bool {
	for _, placement := range assignment.Placements {
		if workers[placement.Worker] {
			return true
		}
	}
	return false
}

func markProbed(assignment *controlpb.Assignment, probing func(worker string) bool, taken map[string]bool) {
	for _, placement := range assignment.Placements {
		if probing(placement.Worker) {
			taken[placement.Worker] = true
		}
	}
}
