package leases

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// inheritedRuns are the runs that earlier leaders have placed, of which more than one leader may have sent a start, so that a
// confirmation in the log need not be that of each. Runs that are placed later are started by this leader, which knows of each
// start that it has sent.
type inheritedRuns struct {
	// known is set once the log has nothing more of earlier leaders that this one hasn't seen.
	known bool
	// epochs holds the run of each job, workers where they were placed.
	epochs  map[string]uint64
	workers map[string]bool
}

// observe reads the runs from the first state that has all entries of earlier terms.
func (r *inheritedRuns) observe(state *store.State, term uint64) {
	if r.known || state.LeaseSuspensions().GetLogTerm() != term {
		return
	}
	r.known, r.epochs, r.workers = true, map[string]uint64{}, map[string]bool{}
	for _, job := range state.ActiveJobs() {
		if len(job.Placements) == 0 || job.StartedByPlacer {
			continue
		}
		r.epochs[job.Id] = job.Epoch
		for _, placement := range job.Placements {
			r.workers[placement.Worker] = true
		}
	}
}

// startKnown reports whether no earlier leader can have sent a start of the job's run that may still be carried out: the
// one that placed it has had its start confirmed, or this one has placed it.
func (r *inheritedRuns) startKnown(job *controlpb.Job) bool {
	return job.StartedByPlacer || r.known && r.epochs[job.Id] != job.Epoch
}

// mayBeUnanswered reports whether a start of the job's run may still be carried out that an earlier leader has sent: one
// that it knew to be unanswered, or one of several leaders. A start that was cut short by the loss of its only leader counts
// as answered.
func (r *inheritedRuns) mayBeUnanswered(job *controlpb.Job) bool {
	if r.known && r.epochs[job.Id] != job.Epoch {
		return false
	}
	return job.StartUnanswered || job.StartedMs > 0 && !job.StartedByPlacer
}

// mayHaveRunsOn reports whether earlier leaders may have sent such a start to a worker.
func (r *inheritedRuns) mayHaveRunsOn(worker string) bool { return !r.known || r.workers[worker] }
