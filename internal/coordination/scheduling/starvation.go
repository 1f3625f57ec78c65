package scheduling

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// StarvedJob is a job of which, or of whose workflow, nothing runs although its service
// has free capacity for it. That means that over half of each kind of resource it asks
// for is free (or of one kind, once arrivals have stopped), and that twice its tasks
// fit.
type StarvedJob struct {
	Job string
	// Since is the time of the first pass of which this was true without interruption.
	Since time.Time
	// Free and Total are the free and total resources of the job's service.
	Free, Total Resources
}

// Resources is a quantity of resources; cores are in thousandths.
type Resources struct {
	Accelerators int64
	CoresMilli   int64
	MemoryMB     int64
}

func resourcesOf(a resources) Resources { return Resources{a.accelerators, a.cores, a.memory} }

// LocalityWait is a waiting job that is restricted to local capacity, although it may
// run elsewhere.
type LocalityWait struct {
	Job string
	// Locality is the rack of the job's data, or OneRack.
	Locality string
}

// OneRack is the restriction of a tightly coupled gang that waits for capacity in a
// single rack.
const OneRack = "one rack"

const (
	// ampleFreeShare is the share of a service's resources that has to be free for its
	// capacity to count as ample.
	ampleFreeShare = 0.5
	// MaxStarvation is how long work may be starved. Together with a delayed pass, a
	// commit and a start this stays within three seconds.
	MaxStarvation = 1500 * time.Millisecond
)

// serviceCapacity is the free and total resources of a service's workers, including
// those that get no new work: their unavailability may be why work is starved. Workers in
// evacuated data centres are left out, as operators ordered that they get none.
type serviceCapacity struct{ free, total resources }

func (p *pass) serviceCapacity(service string) *serviceCapacity {
	s := &serviceCapacity{}
	for _, n := range p.cluster.nodes {
		if !n.worker.Evacuated && (service == "" || slices.Contains(n.worker.Services, service)) {
			s.free, s.total = s.free.plus(n.free), s.total.plus(n.total)
		}
	}
	return s
}

// serviceCapacities caches the capacities by service.
type serviceCapacities map[string]*serviceCapacity

func (r serviceCapacities) of(p *pass, service string) *serviceCapacity {
	if r[service] == nil {
		r[service] = p.serviceCapacity(service)
	}
	return r[service]
}

// ampleFree reports whether over half of some kind of resource that a task asks for is
// free, and whether over half of each is.
func (s *serviceCapacity) ampleFree(perTask resources) (some, all bool) {
	all = true
	for _, kind := range []struct{ asked, free, total int64 }{
		{perTask.accelerators, s.free.accelerators, s.total.accelerators},
		{perTask.cores, s.free.cores, s.total.cores},
		{perTask.memory, s.free.memory, s.total.memory},
	} {
		if kind.asked > 0 {
			ample := float64(kind.free) > ampleFreeShare*float64(kind.total)
			some, all = some || ample, all && ample
		}
	}
	return some, all
}

// quietSince returns when no work will have arrived for as long as work may be starved.
// From then on, work that waits for local capacity spares the other capacity for
// nobody. Later steps of workflows that arrived before are not arrivals.
func quietSince(jobs []*controlpb.Job) time.Time {
	newest := int64(0)
	for _, job := range jobs {
		if job.Step == 0 {
			newest = max(newest, job.SubmittedMs)
		}
	}
	return time.UnixMilli(newest).Add(MaxStarvation)
}

// quiet reports whether arrivals have stopped.
func (p *pass) quiet() bool { return p.snapshot.Now.After(p.plan.QuietSince) }

// hasAmpleCapacity reports whether a service has so much free capacity for such tasks
// that work must not be starved.
func (p *pass) hasAmpleCapacity(service *serviceCapacity, perTask resources) bool {
	some, all := service.ampleFree(perTask)
	return all || (some && p.quiet())
}

// starvedTooLong reports whether a job has been starved for so long that it may start
// on any eligible worker.
func (p *pass) starvedTooLong(req *request) bool {
	starved, known := p.previouslyStarved[req.job.Id]
	return known && p.snapshot.Now.Sub(starved.Since) >= MaxStarvation && !p.disabled(StartStarved)
}

// waitedUntilQuiet reports whether a job has waited as long when arrivals stop:
// capacity of some kind was free before, and counts from then on.
func (p *pass) waitedUntilQuiet(req *request) bool {
	return p.quiet() && p.nowMs-req.job.SubmittedMs >= MaxStarvation.Milliseconds() && !p.disabled(StartStarved)
}

// startStarved starts work that has been starved too long on capacity it was restricted
// from: away from its data, over several racks, or where urgent work has just ended.
// Without it, work would not run as long as every rack is partly busy, or the rack of
// its data is, with any number of idle workers elsewhere. What is reserved for other
// work stays reserved.
//
// The front of the queue goes last: it gets the next local capacity, and work that
// misses its objective in any case loses least elsewhere. Each start is counted before
// the next job is examined, so that only a few jobs of a burst spread, and the others
// wait for local capacity.
func (p *pass) startStarved(queue []*request) {
	waiting := p.waitingWithoutReservation()
	services := serviceCapacities{}
	refused := map[shapeKey]bool{}
	for _, req := range slices.Backward(queue) {
		service, key := services.of(p, req.job.Service), req.key()
		if !waiting[req.job.Id] || refused[key] {
			continue
		}
		if !p.startUnrestricted(req, service) {
			refused[key] = p.mayStartUnrestricted(req)
			continue
		}
		service.free = service.free.minus(req.size())
	}
	p.plan.Waiting = slices.DeleteFunc(p.plan.Waiting, func(r Reason) bool { return p.started[r.Job] })
}

// startIfStarved starts a unit that has been starved too long, before anything is
// preempted for it.
func (p *pass) startIfStarved(req *request) bool {
	return p.starvedTooLong(req) && p.startUnrestricted(req, p.serviceCapacity(req.job.Service))
}

// startUnrestricted starts a unit that has waited long enough on any eligible workers, if there is
// ample capacity.
func (p *pass) startUnrestricted(req *request, service *serviceCapacity) bool {
	return p.mayStartUnrestricted(req) && p.startIfAmple(p.unrestrictedRequest(req.job), service)
}

// startIfAmple starts a request if its service has ample free capacity and twice its tasks fit.
func (p *pass) startIfAmple(req *request, service *serviceCapacity) bool {
	if !p.hasAmpleCapacity(service, req.perTask) || !p.fitsTwice(req) {
		return false
	}
	placement := p.cluster.findPlacement(req, freeCapacity)
	if placement == nil {
		return false
	}
	p.assign(req, placement)
	return true
}

// mayStartUnrestricted reports whether a unit has waited long enough. Other jobs are
// not restricted to local capacity.
func (p *pass) mayStartUnrestricted(req *request) bool {
	due := req.job.Workflow != "" && (p.starvedTooLong(req) || p.waitedUntilQuiet(req))
	return due && !p.overLimit(req)
}

// waitingWithoutReservation returns the jobs that this pass left waiting and that have
// no capacity reserved.
func (p *pass) waitingWithoutReservation() map[string]bool {
	waiting := make(map[string]bool, len(p.plan.Waiting))
	for _, reason := range p.plan.Waiting {
		waiting[reason.Job] = reason.Code != ReasonPreempting && reason.Code != ReasonHasReservation
	}
	return waiting
}

// recordLocalityWaits lists the jobs that this pass did not start and restricts to
// local capacity, and then the starved jobs.
func (p *pass) recordLocalityWaits(queue []*request) {
	for _, req := range queue {
		if locality := req.locality(); locality != "" && !p.started[req.job.Id] {
			p.plan.LocalityWaits = append(p.plan.LocalityWaits, LocalityWait{req.job.Id, locality})
		}
	}
	p.recordStarved()
}

func (req *request) locality() string {
	switch {
	case req.rack != "":
		return req.rack
	case req.adjacency != req.job.Adjacency:
		return OneRack
	}
	return ""
}

// recordStarved lists the starved jobs. It includes jobs that are being started or
// stopped, since what they wait for may take long.
func (p *pass) recordStarved() {
	active := p.activeWorkflows()
	services := serviceCapacities{}
	fits := map[shapeKey]bool{}
	for _, job := range p.snapshot.Jobs {
		if p.started[job.Id] || active[job.Workflow] {
			continue
		}
		service := services.of(p, job.Service)
		if !p.hasAmpleCapacity(service, taskSize(job)) {
			continue
		}
		if unrestricted := p.unrestrictedRequest(job); !p.idle(unrestricted) || !p.fitsTwiceCached(fits, unrestricted) {
			continue
		}
		starved := StarvedJob{Job: job.Id, Since: p.snapshot.Now, Free: resourcesOf(service.free), Total: resourcesOf(service.total)}
		if earlier, ok := p.previouslyStarved[job.Id]; ok {
			starved.Since = earlier.Since
		}
		p.plan.Starved = append(p.plan.Starved, starved)
	}
}

// activeWorkflows returns the workflows of which something runs or is being started:
// the rest of their work waits for its turn.
func (p *pass) activeWorkflows() map[string]bool {
	active := map[string]bool{}
	for _, job := range p.snapshot.Jobs {
		runs := job.State == controlpb.JobState_JOB_STATE_RUNNING || p.started[job.Id]
		if runs && job.Workflow != "" {
			active[job.Workflow] = true
		}
	}
	return active
}

// idle reports whether a job has nothing running and could run.
func (p *pass) idle(req *request) bool {
	switch job := req.job; job.State {
	case controlpb.JobState_JOB_STATE_STARTING:
		return true
	case controlpb.JobState_JOB_STATE_STOPPING:
		return job.NextState == controlpb.JobState_JOB_STATE_WAITING
	case controlpb.JobState_JOB_STATE_WAITING:
		return job.NotBeforeMs <= p.nowMs && !p.overLimit(req)
	}
	return false
}

// unrestrictedRequest is a request for any worker eligible for the job.
func (p *pass) unrestrictedRequest(job *controlpb.Job) *request {
	req := p.declaredRequest(job)
	req.unrestricted = true
	return req
}

// fitsTwiceCached is fitsTwice, cached by shape.
func (p *pass) fitsTwiceCached(known map[shapeKey]bool, req *request) bool {
	key := req.key()
	fits, ok := known[key]
	if !ok {
		fits = p.fitsTwice(req)
		known[key] = fits
	}
	return fits
}

// fitsTwice reports whether the request fits with its adjacency, and the free capacity,
// reserved or not, holds twice its tasks.
func (p *pass) fitsTwice(req *request) bool {
	twice := *req
	twice.tasks *= 2
	var tasks int64
	for _, n := range p.cluster.nodes {
		if tasks += freeOrReservedCapacity(n, &twice); tasks >= twice.tasks {
			return req.adjacency == controlpb.Adjacency_ADJACENCY_ANY || p.cluster.findPlacement(req, freeOrReservedCapacity) != nil
		}
	}
	return false
}
