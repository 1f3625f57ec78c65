package dispatch

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	// carefulRetries counts the further attempts in committed plans, also those for which no
	// preferred worker was free. workersBadRecord is the number of workers against which
	// failures count.
	carefulRetries   = expvar.NewInt("dispatch_careful_retries")
	workersBadRecord = expvar.NewInt("dispatch_workers_bad_record")
)

// reportRetries logs and counts the further attempts in a committed plan, of jobs with a
// limit on them; state is that before the commit.
func (c *Controller) reportRetries(state *store.State, assignments []*controlpb.Assignment) {
	if !c.dispatcher.config.Features.AttemptPlacement {
		return
	}
	for _, assignment := range assignments {
		job, ok := state.Job(assignment.Job)
		if !ok || job.MaxAttempts == 0 || job.OwnFailures == 0 {
			continue
		}
		carefulRetries.Add(1)
		if c.dispatcher.config.Logger != nil {
			c.dispatcher.config.Logger.WithFields(logrus.Fields{
				"job": job.Id, "epoch": assignment.Epoch + 1, "worker": assignment.Placements[0].Worker, "index": state.Index(),
				"failed": job.OwnFailures, "allowed": job.MaxAttempts, "same_rack": c.reusesRack(job, assignment),
			}).Info("job given a further attempt")
		}
	}
}

// reusesRack reports whether an assignment uses a rack in which the job has failed for a
// reason of its own.
func (c *Controller) reusesRack(job *controlpb.Job, assignment *controlpb.Assignment) bool {
	rackOf := func(id string) string {
		worker, _ := c.registry.Get(id)
		return worker.GetDataCentre() + "/" + worker.GetRack()
	}
	failed := map[string]bool{}
	for _, f := range job.Failures {
		if !failure.Code(f.Code).Infrastructure() {
			failed[rackOf(f.Worker)] = true
		}
	}
	for _, placement := range assignment.Placements {
		if failed[rackOf(placement.Worker)] {
			return true
		}
	}
	return false
}
