package scheduling

import (
	"cmp"
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// request is a waiting job with what it needs to be placed.
type request struct {
	job            *controlpb.Job
	customer       customerID
	tasks          int64
	perTask        resources
	nonPreemptible bool
	// adjacency is the job's, or narrower while it waits for local capacity; rack is
	// the only rack it may use for the same reason, or empty.
	adjacency controlpb.Adjacency
	rack      string
	// unrestricted requests may use every worker eligible for the job, including
	// capacity kept for urgent work.
	unrestricted bool
	// restricted requests may only use workers that are kept for the job.
	restricted bool
	// passesIsolation requests may also use workers that are kept for other jobs.
	passesIsolation bool
	// retriesAnywhere requests may return to workers on which the job has failed: the others can't
	// hold it.
	retriesAnywhere bool
	// careful requests prefer other workers for a further attempt.
	careful bool
	// pinned work is preemptible but counts as non-preemptible in this pass.
	pinned bool
	// rank and score order the queue, lower values first.
	rank  int
	score float64
	// work is the work that the job still has, in seconds of a worker of the usual speed,
	// and secondsLeft the time to its objective; set where ends are estimated.
	work, secondsLeft float64
	// limit limits the workers on which other work is stopped for the request.
	limit speedLimit
	// reserved is what an earlier plan reserves for the job.
	reserved []nodeTasks
	// cellClaims is the part of each reserved nodeTasks that lies in the customer's own
	// cells.
	cellClaims []resources
}

func (p *pass) request(job *controlpb.Job) *request {
	req := p.declaredRequest(job)
	p.restrictLocality(req)
	return req
}

// declaredRequest is a request with the adjacency that the job declares.
func (p *pass) declaredRequest(job *controlpb.Job) *request {
	req := &request{
		job:            job,
		customer:       p.cluster.customer(job.Customer),
		tasks:          int64(max(job.Tasks, 1)),
		perTask:        taskSize(job),
		nonPreemptible: !Preemptible(job),
		adjacency:      job.Adjacency,
		restricted:     p.snapshot.Restricted[job.Id],
		careful:        p.snapshot.Features.AttemptPlacement,
	}
	req.retriesAnywhere = p.cluster.hasTriedAll(job)
	if p.snapshot.Features.ExpectedEnd {
		p.estimateWork(req)
	}
	return req
}

func (req *request) size() resources { return req.perTask.times(req.tasks) }

// nodeTasks is a number of a gang's tasks on one node.
type nodeTasks struct {
	node  *node
	tasks int64
}

// capacityFunc returns how many tasks of a request a node can take.
type capacityFunc func(n *node, req *request) int64

// freeCapacity counts what is free and not reserved.
func freeCapacity(n *node, req *request) int64 {
	return n.limitTasks(req, n.free.minus(n.reserved).tasks(req.perTask))
}

// freeOrReservedCapacity counts what is free, reserved or not.
func freeOrReservedCapacity(n *node, req *request) int64 {
	return n.limitTasks(req, n.free.tasks(req.perTask))
}

// futureCapacity also counts what is being released, without what is reserved.
func futureCapacity(n *node, req *request) int64 {
	return n.limitTasks(req, n.free.plus(n.releasing).minus(n.reserved).tasks(req.perTask))
}

// ownerCapacity counts what is free without other owners' claims: in its own cells an
// owner takes precedence over every other reservation.
func ownerCapacity(n *node, req *request) int64 {
	return n.limitTasks(req, n.free.minus(n.othersClaims(req.customer)).tasks(req.perTask))
}

// ownerFutureCapacity also counts what is being released. It leaves out what other
// owners may still claim: if their work were stopped for this request, they would only
// reclaim the capacity.
func ownerFutureCapacity(n *node, req *request) int64 {
	future := n.free.plus(n.releasing).minus(n.othersClaims(req.customer))
	for _, cell := range n.cells {
		if cell.customer != req.customer {
			future.accelerators -= n.unclaimed(cell.customer)
		}
	}
	return n.limitTasks(req, future.tasks(req.perTask))
}

func (n *node) othersClaims(customer customerID) resources {
	var sum resources
	for _, claim := range n.cellClaims {
		if claim.customer != customer {
			sum = sum.plus(claim.resources)
		}
	}
	return sum
}

// limitTasks limits a count to what the node may take: nothing if it is unavailable or
// not eligible, and no non-preemptible work that would make a cell unreclaimable.
func (n *node) limitTasks(req *request, tasks int64) int64 {
	if n.worker.Unavailable || tasks <= 0 || !n.isEligible(req) {
		return 0
	}
	tasks = min(tasks, req.tasks, n.spreadLimitLeft(req.job))
	if !req.nonPreemptible {
		return tasks
	}
	for tasks > 0 && !n.allowsNonPreemptible(req.customer, req.perTask.times(tasks)) {
		tasks--
	}
	return tasks
}

// unclaimedCellsOnly limits a capacityFunc to the customer's own unclaimed cells.
func unclaimedCellsOnly(inner capacityFunc) capacityFunc {
	return func(n *node, req *request) int64 {
		if req.perTask.accelerators == 0 {
			return 0
		}
		claimable := n.unclaimed(req.customer) / req.perTask.accelerators
		if claimable == 0 {
			return 0
		}
		return min(claimable, inner(n, req))
	}
}

// findPlacement finds a placement for the whole gang, or nil.
func (c *cluster) findPlacement(req *request, capacity capacityFunc) []nodeTasks {
	usual := c.findUsual(req, capacity)
	if usual == nil || !req.careful || !isRetry(req.job) {
		return usual
	}
	return c.findForRetry(req, capacity, usual)
}

// findUsual finds a placement without regard to earlier failures of the job, or nil: on
// workers of the preferred speed classes, otherwise on any; or by its expected end, where
// that is estimated.
func (c *cluster) findUsual(req *request, capacity capacityFunc) []nodeTasks {
	if c.expectedEnd {
		return c.findByEnd(req, capacity)
	}
	for _, set := range preferredSpeeds(req) {
		if c.speeds&^set == 0 {
			break
		}
		if c.speeds&set == 0 {
			continue
		}
		if placement := c.findAnySpeed(req, onlySpeeds(set, capacity)); placement != nil {
			return placement
		}
	}
	return c.findAnySpeed(req, capacity)
}

// findAnySpeed finds a placement in the domain where the gang leaves the fewest
// accelerators behind that larger gangs couldn't use.
func (c *cluster) findAnySpeed(req *request, capacity capacityFunc) []nodeTasks {
	switch req.adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return c.bestNode(req, capacity)
	case controlpb.Adjacency_ADJACENCY_RACK:
		return c.bestRack(c.racks, req, capacity)
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return c.bestDataCentre(req, capacity)
	}
	if placement := c.bestRack(c.racks, req, capacity); placement != nil {
		return placement
	}
	return c.spreadOverRacks(c.racks, req, capacity)
}

func (c *cluster) bestDataCentre(req *request, capacity capacityFunc) []nodeTasks {
	if placement := c.bestRack(c.racks, req, capacity); placement != nil {
		return placement
	}
	for _, racks := range c.dataCentres {
		if placement := c.spreadOverRacks(racks, req, capacity); placement != nil {
			return placement
		}
	}
	return nil
}

// bestNode finds one node for all tasks: the one with the fewest accelerators left
// over, in the rack with the fewest.
func (c *cluster) bestNode(req *request, capacity capacityFunc) []nodeTasks {
	var best *node
	var bestCost int64
	for _, r := range c.racks {
		if !r.mayFit(req) {
			continue
		}
		for _, n := range r.nodes {
			if capacity(n, req) < req.tasks {
				continue
			}
			if cost := nodeCost(n, req); best == nil || cost < bestCost {
				best, bestCost = n, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	return []nodeTasks{{best, req.tasks}}
}

// Costs are in accelerators left over; those of a node weigh more than those of its
// rack.
const (
	nodeWeight = 64
	cellWeight = 16
)

func nodeCost(n *node, req *request) int64 {
	left := n.free.accelerators - req.size().accelerators
	return left*nodeWeight + n.rack.free.accelerators + borrowCost(n, req)
}

// borrowCost counts the accelerators of other customers' cells on the node, which the
// request would borrow: preemption by the owner would discard work of the borrower.
func borrowCost(n *node, req *request) int64 {
	var others int64
	for _, cell := range n.cells {
		if cell.customer != req.customer {
			others += cell.resources.accelerators
		}
	}
	return cellWeight * others
}

// mayFit rules out racks whose sums are too small for the request.
func (r *rack) mayFit(req *request) bool {
	return !r.free.plus(r.releasing).minus(req.size()).negative()
}

func (r *rack) mayFitTask(req *request) bool {
	return !r.free.plus(r.releasing).minus(req.perTask).negative()
}

func (c *cluster) bestRack(racks []*rack, req *request, capacity capacityFunc) []nodeTasks {
	var best []nodeTasks
	var bestCost int64
	for _, r := range racks {
		if !r.mayFit(req) {
			continue
		}
		if best != nil && req.perTask.accelerators == 0 {
			break
		}
		cost := r.cost(req)
		if best != nil && cost >= bestCost {
			continue
		}
		if placement := fillNodes(r.nodes, req, req.tasks, capacity); placement != nil {
			best, bestCost = placement, cost
		}
	}
	return best
}

func (r *rack) cost(req *request) int64 {
	left := r.free.accelerators - req.size().accelerators
	if req.job.DataRack != "" && req.job.DataRack == r.name {
		return math.MinInt64
	}
	var borrowed int64
	for _, n := range r.nodes {
		borrowed += borrowCost(n, req)
	}
	return max(left, 0)*nodeWeight + borrowed
}

// fillNodes places that many tasks on nodes, or returns nil: on partly used nodes
// first, so that empty ones stay empty, and the fullest first.
func fillNodes(nodes []*node, req *request, tasks int64, capacity capacityFunc) []nodeTasks {
	candidates := make([]nodeTasks, 0, len(nodes))
	var sum int64
	for _, n := range nodes {
		if count := capacity(n, req); count > 0 {
			candidates = append(candidates, nodeTasks{n, count})
			sum += count
		}
	}
	if sum < tasks {
		return nil
	}
	return tightestFit(candidates, tasks)
}

// tightestFit places that many tasks on candidates, which have enough capacity for
// them.
func tightestFit(candidates []nodeTasks, tasks int64) []nodeTasks {
	slices.SortStableFunc(candidates, func(x, y nodeTasks) int {
		return cmp.Or(
			cmp.Compare(x.node.entirelyFree(), y.node.entirelyFree()),
			cmp.Compare(x.node.free.accelerators, y.node.free.accelerators),
		)
	})
	return choose(candidates, tasks)
}

// choose takes candidates in order, but finishes early with one that fits the rest
// exactly.
func choose(candidates []nodeTasks, tasks int64) []nodeTasks {
	var chosen []nodeTasks
	for i, candidate := range candidates {
		for _, later := range candidates[i:] {
			if later.tasks == tasks {
				return append(chosen, later)
			}
		}
		candidate.tasks = min(candidate.tasks, tasks)
		chosen = append(chosen, candidate)
		tasks -= candidate.tasks
		if tasks == 0 {
			break
		}
	}
	return chosen
}

func (n *node) entirelyFree() int {
	if n.total.accelerators > 0 && n.free.accelerators == n.total.accelerators {
		return 1
	}
	return 0
}

// spreadOverRacks places a gang over several racks, the fullest first.
func (c *cluster) spreadOverRacks(racks []*rack, req *request, capacity capacityFunc) []nodeTasks {
	order := slices.Clone(racks)
	slices.SortStableFunc(order, func(x, y *rack) int {
		return cmp.Compare(x.free.accelerators, y.free.accelerators)
	})
	var placement []nodeTasks
	left := req.tasks
	for _, r := range order {
		if !r.mayFitTask(req) {
			continue
		}
		var here int64
		for _, n := range r.nodes {
			here += capacity(n, req)
		}
		here = min(here, left)
		if here == 0 {
			continue
		}
		placement = append(placement, fillNodes(r.nodes, req, here, capacity)...)
		if left -= here; left == 0 {
			return placement
		}
	}
	return nil
}
