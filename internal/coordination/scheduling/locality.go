package scheduling

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// remoteSlowdown is the factor by which work runs longer away from its data, or
	// over several racks, than close to it; it holds its accelerators that much longer.
	remoteSlowdown = 3.0
	// idleLocalityWait limits the wait for local capacity while much capacity is free:
	// work must not wait long while there are workers that nobody else wants.
	idleLocalityWait = 1500 * time.Millisecond
	// idleFreeShare is the share of free accelerators from which on much capacity is
	// free.
	idleFreeShare = 0.4
	// contendedWaitFactor is the maximum wait for local capacity, in multiples of the
	// additional run time elsewhere: other work pays for the capacity that a remote run
	// holds longer, just as the work itself pays for its additional time.
	contendedWaitFactor = 2
	// guaranteedLocalityWait is the maximum wait of guaranteed work, which has to start
	// in time wherever that is.
	guaranteedLocalityWait = 800 * time.Millisecond
)

// restrictLocality restricts a unit of a workflow to the rack of its data, and a
// tightly coupled gang to one rack, as long as waiting for capacity there costs less
// than the longer run elsewhere would (a ski-rental rule).
func (p *pass) restrictLocality(req *request) {
	job := req.job
	if p.disabled(DelayForLocality) || job.Workflow == "" || (job.DataRack == "" && !job.TightlyCoupled) || p.localityWaitOver(req) {
		return
	}
	if job.DataRack != "" && p.cluster.rackCanHold(job.DataRack, req) {
		req.rack = job.DataRack
	}
	if job.TightlyCoupled && p.cluster.anyRackCanHold(req) {
		req.adjacency = controlpb.Adjacency_ADJACENCY_RACK
	}
}

// localityWaitOver reports whether a unit has waited long enough for local capacity.
//
// While other work waits too, much free capacity doesn't shorten the wait here; starved
// work is started one by one instead (see startStarved). Otherwise all gangs of a burst
// would spread over the last free racks with three times their run time, and the gangs
// after them would find no rack free, spread in turn and be late as well.
func (p *pass) localityWaitOver(req *request) bool {
	waited := time.Duration(p.nowMs-req.job.SubmittedMs) * time.Millisecond
	limit := p.remoteExtraTime(req.job)
	if !p.disabled(ExtendLocalityWait) {
		limit *= contendedWaitFactor
	}
	if p.withinGuarantee(req.job) {
		limit = min(limit, guaranteedLocalityWait)
	}
	if p.uncontendedCapacity(req.job) {
		limit = min(limit, idleLocalityWait)
	}
	return waited >= limit
}

// remoteExtraTime returns by how much longer the job runs away from its data, or over
// several racks.
func (p *pass) remoteExtraTime(job *controlpb.Job) time.Duration {
	return time.Duration((remoteSlowdown - 1) * p.remaining(job) * float64(time.Second))
}

// uncontendedCapacity reports whether much capacity is free that no other workflow
// waits for.
func (p *pass) uncontendedCapacity(job *controlpb.Job) bool {
	if float64(p.cluster.free.accelerators) <= idleFreeShare*float64(p.totalAccelerators) {
		return false
	}
	return p.disabled(ExtendLocalityWait) || !p.othersWait(job)
}

// othersWait reports whether work outside the job's workflow waits.
func (p *pass) othersWait(job *controlpb.Job) bool {
	others := len(p.waitingWorkflows)
	if p.waitingWorkflows[job.Workflow] {
		others--
	}
	return others > 0
}

// workflowsWithWaitingJobs returns the workflows with waiting jobs; jobs without a
// workflow count as one.
func workflowsWithWaitingJobs(jobs []*controlpb.Job) map[string]bool {
	waiting := map[string]bool{}
	for _, job := range jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			waiting[job.Workflow] = true
		}
	}
	return waiting
}

// rackCanHold reports whether the named rack, when empty, holds the whole request.
func (c *cluster) rackCanHold(name string, req *request) bool {
	var tasks int64
	for _, r := range c.racks {
		if r.name == name {
			tasks += r.tasksWhenEmpty(req)
		}
	}
	return tasks >= req.tasks
}

func (c *cluster) anyRackCanHold(req *request) bool {
	for _, r := range c.racks {
		if r.tasksWhenEmpty(req) >= req.tasks {
			return true
		}
	}
	return false
}

func (r *rack) tasksWhenEmpty(req *request) int64 {
	var tasks int64
	for _, n := range r.nodes {
		if !n.worker.Unavailable {
			tasks += n.total.tasks(req.perTask)
		}
	}
	return tasks
}
