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

// findForRetry returns a placement on workers that suit a further attempt: best with a good
// record and in a rack in which the job has not failed, else with one of both. It returns
// usual, the placement of any other job, if there is none that is as good otherwise.
func (c *cluster) findForRetry(req *request, capacity capacityFunc, usual []nodeTasks) []nodeTasks {
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
		if placement := c.findUsual(req, limited); placement != nil && c.suitsAsWell(req, placement, usual) {
			return placement
		}
	}
	return usual
}

// suitsAsWell reports whether a placement has no more racks than the usual one, is no farther
// from the data, and doesn't end late where the usual one ends in time. A gang over several
// racks, or a task away from its data, runs several times as long.
func (c *cluster) suitsAsWell(req *request, placement, usual []nodeTasks) bool {
	runs, usually := placedGang(req.job, placement), placedGang(req.job, usual)
	if runs.rackCount() > usually.rackCount() || runs.remoteFactor() > usually.remoteFactor() {
		return false
	}
	late := func(g *gang) bool { return req.work/g.speed() > req.secondsLeft }
	return !c.expectedEnd || !late(runs) || late(usually)
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
