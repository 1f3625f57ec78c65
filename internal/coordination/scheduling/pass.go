package scheduling

import (
	"maps"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// pass is the working state of one scheduling pass.
type pass struct {
	snapshot *Snapshot
	cluster  *cluster
	plan     *Plan
	// used is the number of accelerators that each customer uses.
	used map[customerID]int64
	// urgentDemand is what each customer's urgent units ask for; nil until it is first needed.
	urgentDemand map[string]urgentDemand
	// waitingWorkflows has the workflows with waiting jobs.
	waitingWorkflows map[string]bool
	// previouslyStarved has the jobs that the previous plan listed as starved.
	previouslyStarved map[string]StarvedJob
	// decided jobs have an outcome in this pass, and started ones have been assigned.
	decided map[string]bool
	started map[string]bool
	// waitReasons caches the outcome of shapes that found no capacity. Within a pass
	// capacity only shrinks, except for what is preempted, which is reserved at once.
	waitReasons map[shapeKey]ReasonCode
	// cannotPreempt caches, for the same reason, the shapes for which preemption found
	// no place.
	cannotPreempt map[preemptionKey]bool
	// minRefusedTasks caches the smallest number of tasks of a shape that startFree
	// refused.
	minRefusedTasks map[shapeKey]int64
	// nodesByOwner lists nodes by the customers whose cells lie on them.
	nodesByOwner map[customerID][]*node
	maxTasks     map[Shape]int64
	// totalAccelerators counts all accelerators; weights is the sum of the customers'
	// weights.
	totalAccelerators int64
	// total is the resources of all available workers.
	total   resources
	weights float64
	nowMs   int64
	// classesStarted are the classes of the jobs that this pass has placed on each node, for
	// interference.
	classesStarted map[*node][]string
	// cellMoves counts the searches made by startByMovingCells.
	cellMoves int
}

func newPass(snapshot *Snapshot) *pass {
	p := &pass{
		snapshot:          snapshot,
		cluster:           newCluster(snapshot.Workers),
		plan:              &Plan{},
		used:              map[customerID]int64{},
		waitingWorkflows:  workflowsWithWaitingJobs(snapshot.Jobs),
		previouslyStarved: map[string]StarvedJob{},
		decided:           map[string]bool{},
		started:           map[string]bool{},
		waitReasons:       map[shapeKey]ReasonCode{},
		cannotPreempt:     map[preemptionKey]bool{},
		minRefusedTasks:   map[shapeKey]int64{},
		nowMs:             snapshot.Now.UnixMilli(),

		maxTasks: map[Shape]int64{},
	}
	for _, starved := range snapshot.Starved {
		p.previouslyStarved[starved.Job] = starved
	}
	p.plan.QuietSince = quietSince(snapshot.Jobs)
	if p.disabled(MatchSpeed) {
		p.cluster.speeds = 0
	}
	p.cluster.expectedEnd = snapshot.Features.ExpectedEnd && !p.disabled(MatchSpeed)
	p.total = p.cluster.free
	p.totalAccelerators = p.total.accelerators
	for _, customer := range snapshot.Customers {
		p.weights += max(float64(customer.Weight), 1)
	}
	for _, job := range snapshot.Jobs {
		if len(job.Placements) == 0 {
			continue
		}
		g := p.cluster.addGang(job)
		g.lostWork = p.lostByPreempting(job)
		g.remainingSeconds = p.remainingOf(g)
		if !g.stopping {
			p.used[g.customer] += int64(job.Tasks) * int64(job.Accelerators)
		}
	}
	p.keepWarm()
	return p
}

// warmShare is the share of accelerators in use, or of cores where there are no
// accelerators, from which on capacity is kept for urgent work. With more free than
// that, urgent work finds capacity anyway, and other work must not be kept waiting
// beside it.
const warmShare = 0.5

// keepWarm marks the workers whose free capacity is kept for urgent work.
func (p *pass) keepWarm() {
	free, all := p.cluster.free.accelerators, p.total.accelerators
	if all == 0 {
		free, all = p.cluster.free.cores, p.total.cores
	}
	if p.disabled(KeepWarm) || float64(free) > (1-warmShare)*float64(all) {
		return
	}
	for _, n := range p.cluster.nodes {
		n.warm = p.snapshot.Warm[n.worker.ID]
	}
}

func (p *pass) disabled(mechanism Mechanisms) bool { return p.snapshot.Disabled.has(mechanism) }

func sortedNames[T any](byName map[string]T) []string {
	return slices.Sorted(maps.Keys(byName))
}

// startCellOwners serves customers with unclaimed cells. It precedes all other work,
// including urgent work, so that nothing else takes what is being reclaimed. The work
// is pinned, counted as non-preemptible for the rest of the pass: otherwise it could
// borrow a cell that its owner asks for in this same pass.
func (p *pass) startCellOwners(queue []*request) {
	unclaimed := p.unclaimedByCustomer()
	for _, req := range queue {
		if req.perTask.accelerators == 0 || unclaimed[req.customer]+req.claimedAccelerators() < req.size().accelerators {
			continue
		}
		pinned := *req
		pinned.nonPreemptible, pinned.pinned = true, !req.nonPreemptible
		if p.startOrPreempt(&pinned, groundsGuarantee) {
			unclaimed[req.customer] = p.unclaimedOf(req.customer)
		}
		req.cellClaims = pinned.cellClaims
	}
}

// startUrgent serves urgent work, which may preempt normal work of customers that
// borrow.
func (p *pass) startUrgent(queue []*request) {
	for _, req := range queue {
		if !req.job.Urgent || p.decided[req.job.Id] || !p.worthPreempting(req) {
			continue
		}
		if !p.startOrPreempt(req, groundsUrgency) && p.mayPassIsolation(req) {
			req.passesIsolation = true
			p.startOrPreempt(req, groundsUrgency)
			req.passesIsolation = false
		}
	}
}

// mayPassIsolation reports whether guaranteed work that finds no other place may use workers that
// are kept for suspected jobs. A guarantee is promised against all workers, and after crashes of many
// workers up to half of them are kept for longer than guaranteed work may wait. A suspected job that
// does crash its worker then takes that work with it, and both are suspected.
func (p *pass) mayPassIsolation(req *request) bool {
	return !req.restricted && p.unlimitedLoss(req)
}

// preemptionGrounds is why a job may preempt others.
type preemptionGrounds int

const (
	// groundsGuarantee lets a customer reclaim its own unclaimed cells.
	groundsGuarantee preemptionGrounds = iota
	// groundsUrgency lets urgent work preempt normal work of borrowers.
	groundsUrgency
	// groundsLongWait lets long-waiting work preempt younger work of borrowers.
	groundsLongWait
)

// startOrPreempt starts a job, or preempts others for it. Free capacity elsewhere is
// used before borrowed capacity is reclaimed, since stopping work discards some of it.
func (p *pass) startOrPreempt(req *request, grounds preemptionGrounds) bool {
	if p.limitsPreemption(req, grounds) {
		req.limit = p.speedLimitInTime(req)
		defer func() { req.limit = speedLimit{} }()
	}
	key := preemptionKey{req.key(), grounds, req.limit}
	if p.refusedByLimit(req) || (req.reserved == nil && p.cannotPreempt[key]) {
		return false
	}
	req.releaseReservation()
	if grounds == groundsGuarantee && p.startInOwnCells(req) {
		return true
	}
	if p.startFree(req) || p.startIfStarved(req) || p.preemptFor(req, grounds) {
		return true
	}
	req.holdReservation()
	p.cannotPreempt[key] = true
	return false
}

func (p *pass) unclaimedByCustomer() map[customerID]int64 {
	unclaimed := map[customerID]int64{}
	for _, cell := range p.cluster.cells {
		if _, done := unclaimed[cell.set.customer]; !done {
			unclaimed[cell.set.customer] = p.unclaimedOf(cell.set.customer)
		}
	}
	return unclaimed
}

func (p *pass) unclaimedOf(customer customerID) int64 {
	var sum int64
	seen := map[*node]bool{}
	for _, cell := range p.cluster.cells {
		if cell.set.customer != customer {
			continue
		}
		for _, part := range cell.parts {
			if !seen[part.node] {
				seen[part.node] = true
				sum += part.node.unclaimed(customer)
			}
		}
	}
	return sum
}

// startRemaining serves the remaining requests in order, fairly among customers.
func (p *pass) startRemaining(queue []*request) {
	fair := p.fairQueue(queue)
	for req := fair.next(); req != nil; req = fair.next() {
		if p.refusedByLimit(req) {
			continue
		}
		if code, known := p.waitReasons[req.waitKey()]; known && req.reserved == nil {
			p.markWaiting(req, code)
			continue
		}
		req.releaseReservation()
		if p.startFree(req) || p.startByMovingCells(req) {
			continue
		}
		code := p.waitReason(req)
		p.waitReasons[req.waitKey()] = code
		p.markWaiting(req, code)
	}
}

// refusedByLimit reports whether the job would exceed its customer's limit, and marks
// it as waiting if so.
func (p *pass) refusedByLimit(req *request) bool {
	if !p.overLimit(req) {
		return false
	}
	if !p.decided[req.job.Id] {
		p.markWaiting(req, ReasonLimit)
	}
	return true
}

func (p *pass) overLimit(req *request) bool {
	customer := p.snapshot.Customers[req.job.Customer]
	if customer == nil || customer.MaxAccelerators == 0 {
		return false
	}
	return p.used[req.customer]+req.size().accelerators > int64(customer.MaxAccelerators)
}

// startFree assigns the whole gang if there is free capacity now. A shape that found
// none isn't tried again, nor with more tasks: within a pass such capacity only
// shrinks, except for what is reserved for the job itself.
func (p *pass) startFree(req *request) bool {
	key := req.capacityKey()
	if least, known := p.minRefusedTasks[key]; known && req.reserved == nil && req.tasks >= least {
		return false
	}
	placement := p.cluster.findPlacement(req, freeCapacity)
	if placement == nil {
		p.minRefusedTasks[key] = req.tasks
		return false
	}
	p.assign(req, p.separate(req, placement))
	return true
}

// startInOwnCells assigns the gang in its customer's unclaimed cells.
func (p *pass) startInOwnCells(req *request) bool {
	for _, domain := range groups(p.cellNodes(req.customer), req.adjacency) {
		if placement := fillNodes(domain.nodes, req, req.tasks, unclaimedCellsOnly(ownerCapacity)); placement != nil {
			p.assign(req, placement)
			return true
		}
	}
	return false
}

// cellNodes lists the nodes with cells of the customer, in topology order. The result
// can be cached, because cells move only after all owners have been served.
func (p *pass) cellNodes(customer customerID) []*node {
	if p.nodesByOwner == nil {
		p.nodesByOwner = map[customerID][]*node{}
		for _, n := range p.cluster.nodes {
			for _, cell := range n.cells {
				p.nodesByOwner[cell.customer] = append(p.nodesByOwner[cell.customer], n)
			}
		}
	}
	return p.nodesByOwner[customer]
}

func (p *pass) assign(req *request, placement []nodeTasks) {
	assignment := &controlpb.Assignment{Job: req.job.Id, Epoch: req.job.Epoch}
	var task uint32
	for _, part := range placement {
		for range part.tasks {
			assignment.Placements = append(assignment.Placements, &controlpb.Placement{
				Task: task, Worker: part.node.worker.ID, Accelerators: part.node.takeAccelerators(req.perTask.accelerators),
			})
			task++
		}
		size := req.perTask.times(part.tasks)
		p.cluster.allocate(part.node, size)
		part.node.countStepTasks(req.job, part.tasks)
		part.node.use(req.customer, size, req.nonPreemptible)
		part.node.isolationPassed = part.node.isolationPassed || req.passesIsolation
		if req.pinned {
			addShare(&part.node.pinnedBy, req.customer, size)
		}
	}
	p.recordClasses(req, placement)
	p.used[req.customer] += req.size().accelerators
	p.decided[req.job.Id], p.started[req.job.Id] = true, true
	p.plan.Assignments = append(p.plan.Assignments, assignment)
	p.expect(req, placement)
}

// reservePlacement reserves a placement for a job part of whose capacity is still being
// released.
func (p *pass) reservePlacement(req *request, placement []nodeTasks) {
	for _, part := range placement {
		size := req.perTask.times(part.tasks)
		p.cluster.allocateFreeOrReleasing(part.node, size)
		part.node.use(req.customer, size, req.nonPreemptible)
		part.node.isolationPassed = part.node.isolationPassed || req.passesIsolation
		if req.nonPreemptible {
			addShare(&part.node.pinnedBy, req.customer, size)
		}
	}
	p.used[req.customer] += req.size().accelerators
	p.reserve(req, placement)
	p.markWaiting(req, ReasonPreempting)
}

func (p *pass) markWaiting(req *request, code ReasonCode) {
	p.decided[req.job.Id] = true
	p.plan.Waiting = append(p.plan.Waiting, Reason{
		Job:    req.job.Id,
		Code:   code,
		Wanted: uint32(req.size().accelerators),
		Free:   uint32(max(p.cluster.free.accelerators, 0)),
	})
}

// waitReason returns what keeps a job waiting that found no capacity.
func (p *pass) waitReason(req *request) ReasonCode {
	switch {
	case !p.feasible(req):
		return ReasonNeverFits
	case p.waitsForEvacuated(req):
		return ReasonEvacuated
	case p.cluster.findPlacement(req, freeOrReservedCapacity) != nil:
		return ReasonReserved
	case req.nonPreemptible && p.cluster.findPlacement(req, capacityIgnoringCells) != nil:
		return ReasonGuarantee
	}
	if p.waitsForQuarantined(req) {
		return ReasonQuarantined
	}
	return ReasonNoCapacity
}

// capacityIgnoringCells counts what is free and not reserved, as if nothing were
// guaranteed.
func capacityIgnoringCells(n *node, req *request) int64 {
	if n.worker.Unavailable {
		return 0
	}
	return min(req.tasks, n.free.minus(n.reserved).tasks(req.perTask))
}
