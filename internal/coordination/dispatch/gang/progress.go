package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// minSpeedRatio is the lowest ratio of actual to expected speed at which a task counts
// as making progress. A worker that is six times slower and has its data on another
// rack (three times slower) stays above it.
const minSpeedRatio = 1.0 / 20

// progress is the progress of a member's task as reported by its worker.
type progress struct {
	percent uint32
	// since is when the current percentage was first reported, reportedAt when it
	// was last reported.
	since, reportedAt time.Time
}

func (p *progress) update(report *peerpb.TaskReport, now time.Time) {
	if report.Percent != p.percent || p.since.IsZero() {
		p.percent = report.Percent
		p.since = now
	}
	p.reportedAt = now
}

// stalled reports whether a running member makes no progress although its worker keeps
// reporting. A worker that hangs keeps its leases, so without this check its tasks
// would stay there for as long as it hangs. Only the time up to the last report
// counts; workers that stop reporting are handled by lease expiry.
func (s *step) stalled(job *controlpb.Job, r *run, m *member) bool {
	if s.config.StallAfter == 0 || m.phase != phaseRunning || m.progress.since.IsZero() || m.progress.percent >= api.CompletePercent {
		return false
	}
	since := m.progress.since
	if r.since.After(since) {
		// Work begins once the last member of the gang has started.
		since = r.since
	}
	return m.progress.reportedAt.Sub(since) >= max(s.config.StallAfter, maxTimePerPercent(job))
}

// unknownTimePerPercent is how long 1% of work of unknown length may take: 50 min of work at a usual speed
// change their percentage every 30 s.
const unknownTimePerPercent = time.Minute

// maxTimePerPercent is the time that 1% of the job's work takes at the lowest speed that
// counts as progress (minSpeedRatio).
func maxTimePerPercent(job *controlpb.Job) time.Duration {
	if job.RunTimeMs == 0 {
		return unknownTimePerPercent
	}
	expected := time.Duration(job.RunTimeMs) * time.Millisecond
	return time.Duration(float64(expected) / api.CompletePercent / minSpeedRatio)
}
