package scheduling

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Beside is a job with nothing running although its service has room for it: over half of
// each kind that it asks for is free, and it fits there twice over.
type Beside struct {
	Job string
	// Free and All are the room of the job's service.
	Free, All Room
}

// Room is a quantity of what workers have; cores are in thousandths.
type Room struct {
	Accelerators int64
	CoresMilli   int64
	MemoryMB     int64
}

func roomOf(a amount) Room { return Room{a.accelerators, a.cores, a.memory} }

// Kept is where a job that waits is kept to, although it may run elsewhere.
type Kept struct {
	Job string
	// Near is the rack of the job's data, or OneRack.
	Near string
}

// OneRack is where a coupled gang is kept to while it waits for a whole rack.
const OneRack = "one rack"

// besideShare of a service free is much: work must not stand beside it.
const besideShare = 0.5

// besideOf is a service's room while it is looked at whether jobs stand beside it.
type besideOf struct {
	free, all amount
	// fits remembers by shape whether it fits twice over.
	fits map[shapeKey]bool
}

// noteStanding lists what keeps work back that this pass has not started.
func (p *pass) noteStanding(queue []*ask) {
	started := make(map[string]bool, len(p.plan.Assignments))
	for _, assignment := range p.plan.Assignments {
		started[assignment.Job] = true
	}
	for _, a := range queue {
		if near := a.near(); near != "" && !started[a.job.Id] {
			p.plan.Kept = append(p.plan.Kept, Kept{a.job.Id, near})
		}
	}
	p.noteBeside(started)
}

func (a *ask) near() string {
	switch {
	case a.rack != "":
		return a.rack
	case a.adjacency != a.job.Adjacency:
		return OneRack
	}
	return ""
}

// noteBeside lists the jobs with nothing running that have room for them beside. Those
// that are being started or stopped are looked at too: what they wait for may last.
func (p *pass) noteBeside(started map[string]bool) {
	services := map[string]*besideOf{}
	for _, job := range p.snapshot.Jobs {
		if started[job.Id] || !idle(job) {
			continue
		}
		service := services[job.Service]
		if service == nil {
			service = p.besideOf(job.Service)
			services[job.Service] = service
		}
		if service.muchFree(taskSize(job)) && service.takesTwice(p, p.wideAsk(job)) {
			p.plan.Beside = append(p.plan.Beside, Beside{job.Id, roomOf(service.free), roomOf(service.all)})
		}
	}
}

// idle tells a job that has nothing running and is to run.
func idle(job *controlpb.Job) bool {
	switch job.State {
	case controlpb.JobState_JOB_STATE_WAITING, controlpb.JobState_JOB_STATE_STARTING:
		return true
	case controlpb.JobState_JOB_STATE_STOPPING:
		return job.NextState == controlpb.JobState_JOB_STATE_WAITING
	}
	return false
}

// besideOf counts what the workers of a service have, those that get no work now too: that
// they get none may be why work stands.
func (p *pass) besideOf(service string) *besideOf {
	s := &besideOf{fits: map[shapeKey]bool{}}
	for _, n := range p.cluster.nodes {
		if service == "" || slices.Contains(n.worker.Services, service) {
			s.free, s.all = s.free.plus(n.free), s.all.plus(n.total)
		}
	}
	return s
}

// wideAsk asks for the job wherever it may run at all.
func (p *pass) wideAsk(job *controlpb.Job) *ask {
	return &ask{
		job: job, customer: p.cluster.customer(job.Customer), tasks: int64(max(job.Tasks, 1)),
		each: taskSize(job), fixed: !Preemptible(job), adjacency: job.Adjacency, wide: true,
	}
}

// takesTwice tells whether the ask fits twice over.
func (s *besideOf) takesTwice(p *pass, a *ask) bool {
	key := a.key()
	fits, known := s.fits[key]
	if !known {
		fits = p.fitsTwice(a)
		s.fits[key] = fits
	}
	return fits
}

// muchFree tells whether over half of each kind that a task asks for is free.
func (s *besideOf) muchFree(each amount) bool {
	for _, kind := range []struct{ asked, free, all int64 }{
		{each.accelerators, s.free.accelerators, s.all.accelerators},
		{each.cores, s.free.cores, s.all.cores},
		{each.memory, s.free.memory, s.all.memory},
	} {
		if kind.asked > 0 && float64(kind.free) <= besideShare*float64(kind.all) {
			return false
		}
	}
	return true
}

// fitsTwice tells whether the ask fits as it must, and there is room for its tasks again.
func (p *pass) fitsTwice(a *ask) bool {
	twice := *a
	twice.tasks *= 2
	var tasks int64
	for _, n := range p.cluster.nodes {
		if tasks += roomKept(n, &twice); tasks >= twice.tasks {
			return a.adjacency == controlpb.Adjacency_ADJACENCY_ANY || p.cluster.fit(a, roomKept) != nil
		}
	}
	return false
}
