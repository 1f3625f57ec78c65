package scheduling

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker on which work has failed is kept out of use for a time that grows with its failures. Work
// that finds no place elsewhere, as only that worker has the label that it requires, would stand beside
// an idle worker for as long, and nothing would show that the worker is sound again. Such work tries
// the worker after a limited time, first one job and then all. The same holds for a job that is kept from
// the workers on which it failed itself, while those on which it hasn't are busy for long.

// probeDivisor is the part of MaxStand, one of probeDivisor, after which one job tries a quarantined
// worker that holds nothing.
const probeDivisor = 2

// QuarantinedStart is a job that is placed on quarantined workers.
type QuarantinedStart struct {
	Job     string
	Workers []string
	// StoodFor is how long the job has had nothing running, and FailedFor the time since the newest
	// failure on any of the workers.
	StoodFor, FailedFor time.Duration
}

// quarantined reports whether the node gets no work only because of its failures.
func (n *node) quarantined() bool { return n.worker.Unavailable && !n.worker.FailedAt.IsZero() }

// standing is the work that a pass has left waiting, and what its search for quarantined workers knows.
type standing struct {
	// quarantined is set if there are quarantined workers.
	quarantined bool
	services    serviceCapacities
	// refused has the requests that found no place on quarantined nodes.
	refused map[standingKey]bool
}

// standingKey is what determines whether a request finds a place on quarantined nodes.
type standingKey struct {
	shape              shapeKey
	stood, lastAttempt bool
}

// startStanding starts work that has found no place: where it has failed before, if it stands for too
// long, and on quarantined workers, if no other can take it.
func (p *pass) startStanding(queue []*request) {
	if p.snapshot.MaxStand == 0 {
		return
	}
	s := &standing{
		quarantined: slices.ContainsFunc(p.cluster.nodes, (*node).quarantined),
		services:    serviceCapacities{}, refused: map[standingKey]bool{},
	}
	waiting := p.waitingWithoutReservation()
	for _, req := range queue {
		if waiting[req.job.Id] && !req.restricted && !p.overLimit(req) {
			p.startStandingJob(s, req.job)
		}
	}
	p.plan.Waiting = slices.DeleteFunc(p.plan.Waiting, func(r Reason) bool { return p.started[r.Job] })
}

func (p *pass) startStandingJob(s *standing, job *controlpb.Job) {
	mayReturn := p.mayReturn(job)
	if !mayReturn && !s.quarantined {
		return
	}
	req := p.unrestrictedRequest(job)
	req.retriesAnywhere = true
	service := s.services.of(p, job.Service)
	if mayReturn && p.startIfAmple(req, service) {
		service.free = service.free.minus(req.size())
		return
	}
	key := standingKey{req.key(), p.stoodTooLong(job), lastAttempt(job)}
	if s.refused[key] || !s.quarantined || !p.needsQuarantined(req, service) {
		return
	}
	placement := p.findOnQuarantined(req)
	if placement == nil {
		s.refused[key] = true
		p.expectQuarantined(req)
		return
	}
	p.recordQuarantined(req, placement)
	p.assign(req, placement)
	service.free = service.free.minus(req.size())
}

// mayReturn reports whether a job may start again on workers on which it has failed, although others that
// might hold it are only busy: it has stood for too long.
func (p *pass) mayReturn(job *controlpb.Job) bool {
	return job.MaxAttempts > 0 && len(job.Failures) > 0 && p.stoodTooLong(job)
}

// needsQuarantined reports whether work that has found no place may use quarantined workers: the
// available ones can't hold it even when they are empty, or they are busy while most of the service
// is free, as when the other workers lack a label.
func (p *pass) needsQuarantined(req *request, service *serviceCapacity) bool {
	return !p.fitsIn(req, emptyAvailable) || p.hasAmpleCapacity(service, req.perTask)
}

// emptyAvailable counts what an available worker holds when nothing runs on it.
func emptyAvailable(n *node, req *request) int64 {
	if n.worker.Unavailable || !n.isEligible(req) {
		return 0
	}
	return min(n.total.tasks(req.perTask), req.tasks)
}

// findOnQuarantined finds a placement that uses quarantined nodes for what the others can't take, or
// nil: those first on which work has failed least recently.
func (p *pass) findOnQuarantined(req *request) []nodeTasks {
	for _, domain := range p.cluster.domains(req.adjacency) {
		nodes := slices.Clone(domain.nodes)
		slices.SortStableFunc(nodes, func(a, b *node) int { return a.worker.FailedAt.Compare(b.worker.FailedAt) })
		var placement []nodeTasks
		left := req.tasks
		for _, n := range nodes {
			if tasks := min(p.quarantinedCapacity(n, req), left); tasks > 0 {
				placement = append(placement, nodeTasks{n, tasks})
				left -= tasks
			}
		}
		if left == 0 && slices.ContainsFunc(placement, func(part nodeTasks) bool { return part.node.quarantined() }) {
			return placement
		}
	}
	return nil
}

// quarantinedCapacity is freeCapacity that also counts quarantined nodes which admit the request.
func (p *pass) quarantinedCapacity(n *node, req *request) int64 {
	if !n.quarantined() {
		return freeCapacity(n, req)
	}
	if !p.admitsWhileQuarantined(n, req.job) || !n.isEligible(req) {
		return 0
	}
	return min(n.free.minus(n.reserved).tasks(req.perTask), req.tasks, n.spreadLimitLeft(req.job))
}

// admitsWhileQuarantined reports whether a quarantined node may be tried with a job now. If it still
// fails what it starts, a probe costs one job an attempt, and the others wait on; MaxStand after
// the newest failure the others follow, as a probe may run for long without a result. Work that has
// stood for MaxStand itself isn't kept waiting by the failures of other jobs.
func (p *pass) admitsWhileQuarantined(n *node, job *controlpb.Job) bool {
	failedFor := p.snapshot.Now.Sub(n.worker.FailedAt)
	if failedFor >= p.snapshot.MaxStand || p.stoodTooLong(job) {
		return true
	}
	return failedFor >= p.snapshot.MaxStand/probeDivisor && len(n.gangs) == 0 && !n.probed && !lastAttempt(job)
}

func (p *pass) stoodTooLong(job *controlpb.Job) bool { return p.stoodFor(job) >= p.snapshot.MaxStand }

// stoodFor returns how long a waiting job has had nothing running.
func (p *pass) stoodFor(job *controlpb.Job) time.Duration {
	return p.snapshot.Now.Sub(time.UnixMilli(standsSince(job)))
}

func standsSince(job *controlpb.Job) int64 {
	since := max(job.SubmittedMs, job.StartedMs, job.NotBeforeMs)
	for _, failed := range job.Failures {
		since = max(since, failed.TimeMs)
	}
	return since
}

// lastAttempt reports whether the job is lost if its next run fails.
func lastAttempt(job *controlpb.Job) bool {
	return job.MaxAttempts > 0 && store.FailedAttempts(job)+1 >= job.MaxAttempts
}

// recordQuarantined lists a start on quarantined nodes, each of which is probed with one job in a pass.
func (p *pass) recordQuarantined(req *request, placement []nodeTasks) {
	start := QuarantinedStart{Job: req.job.Id, StoodFor: p.stoodFor(req.job)}
	var newest time.Time
	for _, part := range placement {
		if !part.node.quarantined() {
			continue
		}
		part.node.probed = true
		start.Workers = append(start.Workers, part.node.worker.ID)
		if part.node.worker.FailedAt.After(newest) {
			newest = part.node.worker.FailedAt
		}
	}
	start.FailedFor = p.snapshot.Now.Sub(newest)
	p.plan.OnQuarantined = append(p.plan.OnQuarantined, start)
}

// expectQuarantined asks for a pass at the next time at which a quarantined worker may admit a job that
// has found no place.
func (p *pass) expectQuarantined(req *request) {
	p.expectAt(time.UnixMilli(standsSince(req.job)).Add(p.snapshot.MaxStand))
	for _, n := range p.cluster.nodes {
		if n.quarantined() && runsOn(req.job, n.worker) {
			p.expectAt(n.worker.FailedAt.Add(p.snapshot.MaxStand / probeDivisor))
			p.expectAt(n.worker.FailedAt.Add(p.snapshot.MaxStand))
		}
	}
}

func (p *pass) expectAt(due time.Time) {
	if due.After(p.snapshot.Now) && (p.plan.QuarantineDue.IsZero() || due.Before(p.plan.QuarantineDue)) {
		p.plan.QuarantineDue = due
	}
}

// waitsForQuarantined reports whether a job that found no capacity would fit on quarantined workers.
func (p *pass) waitsForQuarantined(req *request) bool {
	if p.snapshot.MaxStand == 0 {
		return false
	}
	anywhere := *req
	anywhere.retriesAnywhere = true
	return p.fitsIn(&anywhere, func(n *node, req *request) int64 {
		if !n.quarantined() {
			return freeCapacity(n, req)
		}
		if !n.isEligible(req) {
			return 0
		}
		return min(n.free.tasks(req.perTask), req.tasks, n.spreadLimitLeft(req.job))
	})
}
