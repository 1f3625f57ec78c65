package scheduling

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// slowdownAway is by how much longer work takes away from its data, or over
	// several racks, than near it; it takes as much more room.
	slowdownAway = 3.0
	// idlePatience bounds the wait for a better place while much room is free: work
	// must not wait for long beside workers that nobody else wants.
	idlePatience = 1500 * time.Millisecond
	// idleShare of the accelerators free is much.
	idleShare = 0.4
	// sparePatience is the wait for near room in extra run times: the extra room that
	// work takes away from there is paid for by others, as its extra time is by itself.
	sparePatience = 2
	// assuredPatience is that of guaranteed work, which has to begin in time
	// wherever it is.
	assuredPatience = 800 * time.Millisecond
)

// narrow keeps a unit of a workflow to the rack of its data, and a tightly coupled
// gang to one rack, while waiting for room there costs less than the longer run
// elsewhere would, as one would buy what one might rent.
func (p *pass) narrow(a *ask) {
	job := a.job
	if p.off(AwaitNear) || job.Workflow == "" || (job.DataRack == "" && !job.TightlyCoupled) || p.patienceOver(a) {
		return
	}
	if job.DataRack != "" && p.cluster.rackTakes(job.DataRack, a) {
		a.rack = job.DataRack
	}
	if job.TightlyCoupled && p.cluster.someRackTakes(a) {
		a.adjacency = controlpb.Adjacency_ADJACENCY_RACK
	}
}

// patienceOver tells whether a unit has waited long enough for near room.
//
// While other work waits too, much free room does not cut the wait short here: what stands
// beside it begins one after the other (see startStanding). In a burst all
// gangs would spread over the last free racks with three times their run time, and the
// gangs after them would find no rack whole, spread in turn and be late as well.
func (p *pass) patienceOver(a *ask) bool {
	waited := time.Duration(p.nowMs-a.job.SubmittedMs) * time.Millisecond
	patience := p.extraTimeAway(a.job)
	if !p.off(SpareRoom) {
		patience *= sparePatience
	}
	if p.assured(a.job) {
		patience = min(patience, assuredPatience)
	}
	if p.unwantedRoom(a.job) {
		patience = min(patience, idlePatience)
	}
	return waited >= patience
}

// extraTimeAway is by how much longer the job runs away from its data, or over several
// racks.
func (p *pass) extraTimeAway(job *controlpb.Job) time.Duration {
	return time.Duration((slowdownAway - 1) * p.remaining(job) * float64(time.Second))
}

// unwantedRoom tells whether much room is free that no other workflow waits for.
func (p *pass) unwantedRoom(job *controlpb.Job) bool {
	if float64(p.cluster.free.accelerators) <= idleShare*float64(p.capacity) {
		return false
	}
	return p.off(SpareRoom) || !p.othersWait(job)
}

// othersWait tells whether work waits beside that of the job's workflow.
func (p *pass) othersWait(job *controlpb.Job) bool {
	others := len(p.waiting)
	if p.waiting[job.Workflow] {
		others--
	}
	return others > 0
}

// waitingWorkflows are those with work that waits; jobs on their own count as one.
func waitingWorkflows(jobs []*controlpb.Job) map[string]bool {
	waiting := map[string]bool{}
	for _, job := range jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			waiting[job.Workflow] = true
		}
	}
	return waiting
}

// rackTakes tells whether the named rack, with nothing on it, takes the whole ask.
func (c *cluster) rackTakes(name string, a *ask) bool {
	var tasks int64
	for _, r := range c.racks {
		if r.name == name {
			tasks += r.tasksWhenEmpty(a)
		}
	}
	return tasks >= a.tasks
}

func (c *cluster) someRackTakes(a *ask) bool {
	for _, r := range c.racks {
		if r.tasksWhenEmpty(a) >= a.tasks {
			return true
		}
	}
	return false
}

func (r *rack) tasksWhenEmpty(a *ask) int64 {
	var tasks int64
	for _, n := range r.nodes {
		if !n.worker.Unavailable {
			tasks += n.total.tasks(a.each)
		}
	}
	return tasks
}
