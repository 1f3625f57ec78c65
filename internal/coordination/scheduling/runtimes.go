package scheduling

import (
	"math"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Limits of the run time history of a class.
const (
	// historySize is how many of the newest runs of a class count.
	historySize = 32
	// priorRuns is the weight of the declaration, in observed runs.
	priorRuns = 2
	// minRunTime keeps ratios finite.
	minRunTime = time.Second
)

// RunTimes estimates by how much the runs of each class exceed their declared run time.
// Declared run times are hints that may be wrong by a factor of ten; the median of the
// newest ratios is insensitive to a heavy tail. Not safe for concurrent use.
type RunTimes struct {
	classes map[string]*observedRuns
}

type observedRuns struct {
	// logRatios is a ring of the logarithms of observed over declared run time.
	logRatios []float64
	next      int
	median    float64
}

// NewRunTimes returns a RunTimes without observations.
func NewRunTimes() *RunTimes { return &RunTimes{classes: map[string]*observedRuns{}} }

// Observe records one run that completed successfully.
func (r *RunTimes) Observe(class string, declared, ran time.Duration) {
	observed := r.classes[class]
	if observed == nil {
		observed = &observedRuns{}
		r.classes[class] = observed
	}
	ratio := math.Log(seconds(ran) / seconds(declared))
	if len(observed.logRatios) < historySize {
		observed.logRatios = append(observed.logRatios, ratio)
	} else {
		observed.logRatios[observed.next] = ratio
		observed.next = (observed.next + 1) % historySize
	}
	sorted := slices.Sorted(slices.Values(observed.logRatios))
	observed.median = sorted[len(sorted)/2]
}

func seconds(d time.Duration) float64 { return max(d, minRunTime).Seconds() }

// Estimate returns the expected seconds of a whole run.
func (r *RunTimes) Estimate(class string, declared time.Duration) float64 {
	if r == nil || r.classes[class] == nil {
		return seconds(declared)
	}
	observed := r.classes[class]
	n := float64(len(observed.logRatios))
	return seconds(declared) * math.Exp(observed.median*n/(n+priorRuns))
}

// remaining returns the expected seconds that a job still runs. Work that has outlived
// its estimate is expected to take as long again: run times are heavy-tailed, and least
// attained service (Tiresias, NSDI 2019) also ranks by observed service instead of
// declared run time.
//
// Where ends are estimated, remainingOf is used for running work instead, and the time to
// restore a checkpoint counts.
func (p *pass) remaining(job *controlpb.Job) float64 {
	if p.snapshot.Features.ExpectedEnd && job.State == controlpb.JobState_JOB_STATE_WAITING {
		return p.expectedSeconds(job, 1)
	}
	total := p.snapshot.RunTimes.Estimate(job.WorkClass, time.Duration(job.RunTimeMs)*time.Millisecond)
	done := float64(job.CheckpointedMs) / 1000
	if job.State == controlpb.JobState_JOB_STATE_RUNNING && job.StartedMs > 0 {
		done += float64(max(p.nowMs-job.StartedMs, 0)) / 1000
	}
	if done < total {
		return max(total-done, minRunTime.Seconds())
	}
	return done
}
