package scheduling

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Standing is a job of which, and of whose workflow, nothing runs although its service has
// room: over half of each kind that it asks for is free, or of some kind once work has
// stopped coming, and it fits there twice over.
type Standing struct {
	Job string
	// Since is the pass from which on that was so.
	Since time.Time
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

const (
	// muchShare of a service's room free is much.
	muchShare = 0.5
	// MostStand is how long work may stand beside much free room: a pass that comes
	// late, a commit and a start still fit into three seconds with it.
	MostStand = 1500 * time.Millisecond
)

// serviceRoom is what the workers of a service have, those that get no work now too: that
// they get none may be why work stands.
type serviceRoom struct{ free, all amount }

func (p *pass) serviceRoom(service string) *serviceRoom {
	s := &serviceRoom{}
	for _, n := range p.cluster.nodes {
		if service == "" || slices.Contains(n.worker.Services, service) {
			s.free, s.all = s.free.plus(n.free), s.all.plus(n.total)
		}
	}
	return s
}

// serviceRooms remembers those of one look.
type serviceRooms map[string]*serviceRoom

func (r serviceRooms) of(p *pass, service string) *serviceRoom {
	if r[service] == nil {
		r[service] = p.serviceRoom(service)
	}
	return r[service]
}

// muchFree tells whether over half of some kind that a task asks for is free, and whether
// over half of each is.
func (s *serviceRoom) muchFree(each amount) (some, all bool) {
	all = true
	for _, kind := range []struct{ asked, free, all int64 }{
		{each.accelerators, s.free.accelerators, s.all.accelerators},
		{each.cores, s.free.cores, s.all.cores},
		{each.memory, s.free.memory, s.all.memory},
	} {
		if kind.asked > 0 {
			much := float64(kind.free) > muchShare*float64(kind.all)
			some, all = some || much, all && much
		}
	}
	return some, all
}

// quietSince tells from when on no work will have come for as long as work may stand: what
// waits for near room from then on spares the other room for nobody. Later steps of what
// came before are no new work.
func quietSince(jobs []*controlpb.Job) time.Time {
	newest := int64(0)
	for _, job := range jobs {
		if job.Step == 0 {
			newest = max(newest, job.SubmittedMs)
		}
	}
	return time.UnixMilli(newest).Add(MostStand)
}

// quiet tells that work has stopped coming.
func (p *pass) quiet() bool { return p.snapshot.Now.After(p.plan.QuietSince) }

// muchRoom tells whether a service has so much room for such tasks that work must not stand
// beside it.
func (p *pass) muchRoom(service *serviceRoom, each amount) bool {
	some, all := service.muchFree(each)
	return all || (some && p.quiet())
}

// stoodLong tells whether a job has stood for so long that it begins wherever it may.
func (p *pass) stoodLong(a *ask) bool {
	stands, known := p.standing[a.job.Id]
	return known && p.snapshot.Now.Sub(stands.Since) >= MostStand && !p.off(BeginStanding)
}

// waitedQuietly tells whether a job has waited for as long by the time that work stopped
// coming: room of some kind was free before, and counts from then on.
func (p *pass) waitedQuietly(a *ask) bool {
	return p.quiet() && p.nowMs-a.job.SubmittedMs >= MostStand.Milliseconds() && !p.off(BeginStanding)
}

// startStanding begins work that has stood for long in room that it was kept from: away
// from its data, over several racks, or where urgent work has just ended. Without it work
// has nothing running for as long as every rack is busy in part, or the one of its data,
// beside any number of idle workers. What is reserved for other work stays so.
//
// What is first in the queue goes last: it gets the next near room, and what misses its
// objective anyway loses least elsewhere. Each start counts before the next is looked at,
// so that of a burst only a few spread, and the others wait for near room.
func (p *pass) startStanding(queue []*ask) {
	waiting := p.waitingFreely()
	rooms := serviceRooms{}
	noRoom := map[shapeKey]bool{}
	for _, a := range slices.Backward(queue) {
		room, key := rooms.of(p, a.job.Service), a.key()
		if !waiting[a.job.Id] || noRoom[key] {
			continue
		}
		if !p.startAnywhere(a, room) {
			noRoom[key] = p.beginsAnywhere(a)
			continue
		}
		room.free = room.free.minus(a.size())
	}
	p.plan.Waiting = slices.DeleteFunc(p.plan.Waiting, func(r Reason) bool { return p.started[r.Job] })
}

// startStood starts a unit that has stood for long, before room is taken back for it.
func (p *pass) startStood(a *ask) bool {
	return p.stoodLong(a) && p.startAnywhere(a, p.serviceRoom(a.job.Service))
}

// startAnywhere starts what has waited for long enough, where much of its service's room is
// free and it fits twice over.
func (p *pass) startAnywhere(a *ask, room *serviceRoom) bool {
	if !p.beginsAnywhere(a) || !p.muchRoom(room, a.each) {
		return false
	}
	wide := p.wideAsk(a.job)
	if !p.fitsTwice(wide) {
		return false
	}
	spots := p.cluster.fit(wide, roomNow)
	if spots == nil {
		return false
	}
	p.assign(wide, spots)
	return true
}

// beginsAnywhere tells a unit that has waited for long enough. Other jobs are kept from no
// room here.
func (p *pass) beginsAnywhere(a *ask) bool {
	due := a.job.Workflow != "" && (p.stoodLong(a) || p.waitedQuietly(a))
	return due && !p.overLimit(a)
}

// waitingFreely are the jobs that this pass left waiting, with no room promised to them.
func (p *pass) waitingFreely() map[string]bool {
	waiting := make(map[string]bool, len(p.plan.Waiting))
	for _, reason := range p.plan.Waiting {
		waiting[reason.Job] = reason.Code != ReasonPreempting && reason.Code != ReasonReserving
	}
	return waiting
}

// noteStanding lists what keeps work back that this pass has not started.
func (p *pass) noteStanding(queue []*ask) {
	for _, a := range queue {
		if near := a.near(); near != "" && !p.started[a.job.Id] {
			p.plan.Kept = append(p.plan.Kept, Kept{a.job.Id, near})
		}
	}
	p.noteStands()
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

// noteStands lists the jobs with nothing running that have room beside. Those that are
// being started or stopped are looked at too: what they wait for may last.
func (p *pass) noteStands() {
	working := p.workingWorkflows()
	rooms := serviceRooms{}
	fits := map[shapeKey]bool{}
	for _, job := range p.snapshot.Jobs {
		if p.started[job.Id] || working[job.Workflow] {
			continue
		}
		service := rooms.of(p, job.Service)
		if !p.muchRoom(service, taskSize(job)) {
			continue
		}
		if wide := p.wideAsk(job); !p.idle(wide) || !p.remembersTwice(fits, wide) {
			continue
		}
		stands := Standing{Job: job.Id, Since: p.snapshot.Now, Free: roomOf(service.free), All: roomOf(service.all)}
		if earlier, ok := p.standing[job.Id]; ok {
			stands.Since = earlier.Since
		}
		p.plan.Standing = append(p.plan.Standing, stands)
	}
}

// workingWorkflows are those of which something runs or is started: the rest of their work
// waits for its turn.
func (p *pass) workingWorkflows() map[string]bool {
	working := map[string]bool{}
	for _, job := range p.snapshot.Jobs {
		runs := job.State == controlpb.JobState_JOB_STATE_RUNNING || p.started[job.Id]
		if runs && job.Workflow != "" {
			working[job.Workflow] = true
		}
	}
	return working
}

// idle tells a job that has nothing running and could.
func (p *pass) idle(a *ask) bool {
	switch job := a.job; job.State {
	case controlpb.JobState_JOB_STATE_STARTING:
		return true
	case controlpb.JobState_JOB_STATE_STOPPING:
		return job.NextState == controlpb.JobState_JOB_STATE_WAITING
	case controlpb.JobState_JOB_STATE_WAITING:
		return job.NotBeforeMs <= p.nowMs && !p.overLimit(a)
	}
	return false
}

// wideAsk asks for the job wherever it may run at all.
func (p *pass) wideAsk(job *controlpb.Job) *ask {
	a := p.plainAsk(job)
	a.wide = true
	return a
}

// remembersTwice is fitsTwice, remembered by shape.
func (p *pass) remembersTwice(known map[shapeKey]bool, a *ask) bool {
	key := a.key()
	fits, ok := known[key]
	if !ok {
		fits = p.fitsTwice(a)
		known[key] = fits
	}
	return fits
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
