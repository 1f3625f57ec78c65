package dispatch

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// silentAfter is how long all workers of a running job have to be silent until it is reported.
	silentAfter = time.Second
	// silentScanInterval is the interval between two scans for such jobs.
	silentScanInterval = 250 * time.Millisecond
	// maxLoggedSilentRuns limits the lines of one scan.
	maxLoggedSilentRuns = 20
)

// jobsOnSilentWorkers is the number of running jobs of the last scan whose workers are all silent.
var jobsOnSilentWorkers = expvar.NewInt("dispatch_silent_jobs")

// silentRuns finds the running jobs whose workers are all silent. The log has them as running until their leases are
// over, while they may have nothing running.
type silentRuns struct {
	scannedAt time.Time
	// reported holds the epochs of the jobs that were reported while they were silent.
	reported map[string]uint64
}

// scan returns the silent jobs that were not reported before, and the number of all. silence returns for how long a
// worker has left requests unanswered; zero if it answers.
func (r *silentRuns) scan(jobs []*controlpb.Job, silence func(worker string) time.Duration) (found []*controlpb.Job, silent int) {
	reported := map[string]uint64{}
	for _, job := range jobs {
		if job.State != controlpb.JobState_JOB_STATE_RUNNING || !allSilent(job, silence) {
			continue
		}
		silent++
		if epoch, ok := r.reported[job.Id]; !ok || epoch != job.Epoch {
			found = append(found, job)
		}
		reported[job.Id] = job.Epoch
	}
	r.reported = reported
	return found, silent
}

// allSilent reports whether no member that may run is on a worker that answers.
func allSilent(job *controlpb.Job, silence func(worker string) time.Duration) bool {
	waiting := waitingMembers(job)
	for _, placement := range waiting {
		if silence(placement.Worker) < silentAfter {
			return false
		}
	}
	return len(waiting) > 0
}

// waitingMembers lists the placements of the members whose ends are not recorded.
func waitingMembers(job *controlpb.Job) []*controlpb.Placement {
	var waiting []*controlpb.Placement
	for _, placement := range job.Placements {
		if !store.MemberEnded(job, placement.Task) {
			waiting = append(waiting, placement)
		}
	}
	return waiting
}

// logSilentRuns logs, once for each run under this leader, the running jobs whose workers are all silent.
func (d *Dispatcher) logSilentRuns(state *store.State) {
	now := d.config.Now()
	if d.config.Logger == nil || d.config.SilentFor == nil || now.Sub(d.silentRuns.scannedAt) < silentScanInterval {
		return
	}
	d.silentRuns.scannedAt = now
	found, silent := d.silentRuns.scan(state.ActiveJobs(), d.config.SilentFor)
	jobsOnSilentWorkers.Set(int64(silent))
	for _, job := range found[:min(len(found), maxLoggedSilentRuns)] {
		members := waitingMembers(job)
		d.config.Logger.WithFields(logrus.Fields{
			"job": job.Id, "epoch": job.Epoch, "task": members[0].Task, "worker": members[0].Worker, "members": len(members),
			"silent_jobs": silent, "index": state.Index(),
		}).WithFields(d.config.DescribeLease(job, members[0])).Warn("job runs on silent workers")
	}
	if left := len(found) - maxLoggedSilentRuns; left > 0 {
		d.config.Logger.WithFields(logrus.Fields{"more": left, "silent_jobs": silent, "index": state.Index()}).Warn("more jobs run on silent workers")
	}
}
