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
	// assuredPatience is that of guaranteed work, which has to begin in time
	// wherever it is.
	assuredPatience = 800 * time.Millisecond
)

// narrow keeps a unit of a workflow to the rack of its data, and a tightly coupled
// gang to one rack, while waiting for room there costs less than the longer run
// elsewhere would: up to that extra time, as one would buy what one might rent.
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

func (p *pass) patienceOver(a *ask) bool {
	waited := time.Duration(p.nowMs-a.job.SubmittedMs) * time.Millisecond
	extra := time.Duration((slowdownAway - 1) * p.remaining(a.job) * float64(time.Second))
	if p.assured(a.job) {
		extra = min(extra, assuredPatience)
	}
	if float64(p.cluster.free.accelerators) > idleShare*float64(p.capacity) {
		extra = min(extra, idlePatience)
	}
	return waited >= extra
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
