package scheduling

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A job with a limit on its attempts that has failed once is lost if its next worker fails
// too. On a load with two attempts, a rack at fault takes both: the job is kept from the one
// worker on which it failed, and the others of the rack look free because all that they
// start ends quickly. So the next run prefers workers with a good record in another rack.

// isRetry reports whether the job has a limit on its attempts and has used some of them.
func isRetry(job *controlpb.Job) bool { return job.MaxAttempts > 0 && job.OwnFailures > 0 }

// findForRetry finds a placement on workers that suit a further attempt, or returns nil: best
// with a good record and in a rack in which the job has not failed, else with one of both. It
// is a preference only: without such a placement the job is placed like any other.
func (c *cluster) findForRetry(req *request, capacity capacityFunc) []nodeTasks {
	if !req.careful || !isRetry(req.job) {
		return nil
	}
	plain := *req
	plain.careful = false
	failed := c.racksWithFailure(req.job)
	elsewhere := func(n *node) bool { return !slices.Contains(failed, n.rack) }
	reliable := func(n *node) bool { return !n.worker.BadRecord }
	for _, preferred := range []func(n *node) bool{
		func(n *node) bool { return reliable(n) && elsewhere(n) },
		reliable,
		elsewhere,
	} {
		limited := func(n *node, req *request) int64 {
			if n.speed == speedDegraded || !preferred(n) {
				return 0
			}
			return capacity(n, req)
		}
		if placement := c.findPlacement(&plain, limited); placement != nil {
			return placement
		}
	}
	return nil
}

// racksWithFailure returns the racks in which the job has failed for a reason of its own.
func (c *cluster) racksWithFailure(job *controlpb.Job) []*rack {
	var racks []*rack
	for _, failed := range job.Failures {
		if n := c.byID[failed.Worker]; n != nil && !failure.Code(failed.Code).Infrastructure() {
			racks = append(racks, n.rack)
		}
	}
	return racks
}
