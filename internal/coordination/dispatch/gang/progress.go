package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// slowestShare is the least share of its expected speed at which work counts as
// going on: a worker six times as slow with its data on another rack (three times)
// stays above it.
const slowestShare = 1.0 / 20

// progress is how far a member's work has come, as its worker reports.
type progress struct {
	percent uint32
	// since is when the percent was first heard, heard when it was last.
	since, heard time.Time
}

func (p *progress) hear(report *peerpb.TaskReport, now time.Time) {
	if report.Percent != p.percent || p.since.IsZero() {
		p.percent = report.Percent
		p.since = now
	}
	p.heard = now
}

// stalled tells a running member whose work stands still although its worker goes
// on reporting: a worker that hangs keeps its leases, and without this its tasks
// would wait there for as long as it does. Only what was heard counts, so silence
// is left to the leases.
func (s *step) stalled(job *controlpb.Job, r *run, m *member) bool {
	if s.config.StallAfter == 0 || m.phase != phaseRunning || m.progress.since.IsZero() || m.progress.percent >= api.WholePercent {
		return false
	}
	since := m.progress.since
	if r.since.After(since) {
		// A gang works from when the last member has started.
		since = r.since
	}
	return m.progress.heard.Sub(since) >= max(s.config.StallAfter, percentTime(job))
}

// percentTime is how long a hundredth of the job's work takes at the slowest pace
// that counts as work.
func percentTime(job *controlpb.Job) time.Duration {
	expected := time.Duration(job.RunTimeMs) * time.Millisecond
	return time.Duration(float64(expected) / api.WholePercent / slowestShare)
}
