package scheduling

import (
	"math"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Bounds of what is remembered of a class.
const (
	// rememberedRuns is how many newest runs of a class count.
	rememberedRuns = 32
	// trustedRuns is how many runs weigh as much as the declaration.
	trustedRuns = 2
	// leastRunTime keeps ratios finite.
	leastRunTime = time.Second
)

// RunTimes learns by how much the runs of each class exceed their declaration.
// Declared run times are hints that may be wrong by ten times; the median of
// the newest ratios ignores a heavy tail. Not safe for concurrent use.
type RunTimes struct {
	classes map[string]*observedRuns
}

type observedRuns struct {
	// logs are the logarithms of observed over declared, a ring.
	logs   []float64
	next   int
	median float64
}

// NewRunTimes has observed nothing.
func NewRunTimes() *RunTimes { return &RunTimes{classes: map[string]*observedRuns{}} }

// Observe takes in one run that ended well.
func (r *RunTimes) Observe(class string, declared, ran time.Duration) {
	seen := r.classes[class]
	if seen == nil {
		seen = &observedRuns{}
		r.classes[class] = seen
	}
	ratio := math.Log(seconds(ran) / seconds(declared))
	if len(seen.logs) < rememberedRuns {
		seen.logs = append(seen.logs, ratio)
	} else {
		seen.logs[seen.next] = ratio
		seen.next = (seen.next + 1) % rememberedRuns
	}
	sorted := slices.Sorted(slices.Values(seen.logs))
	seen.median = sorted[len(sorted)/2]
}

func seconds(d time.Duration) float64 { return max(d, leastRunTime).Seconds() }

// Estimate gives the expected seconds of a whole run.
func (r *RunTimes) Estimate(class string, declared time.Duration) float64 {
	if r == nil || r.classes[class] == nil {
		return seconds(declared)
	}
	seen := r.classes[class]
	n := float64(len(seen.logs))
	return seconds(declared) * math.Exp(seen.median*n/(n+trustedRuns))
}

// remaining is the expected seconds that a job still runs. Work that has
// outlived its estimate is expected to take as long again: run times are heavy
// tailed, and least attained service (Tiresias, NSDI 2019) ranks by what was
// seen and not by what was promised.
func (p *pass) remaining(job *controlpb.Job) float64 {
	total := p.snapshot.RunTimes.Estimate(job.WorkClass, time.Duration(job.RunTimeMs)*time.Millisecond)
	done := float64(job.CheckpointedMs) / 1000
	if job.State == controlpb.JobState_JOB_STATE_RUNNING && job.StartedMs > 0 {
		done += float64(max(p.nowMs-job.StartedMs, 0)) / 1000
	}
	if done < total {
		return max(total-done, leastRunTime.Seconds())
	}
	return done
}
