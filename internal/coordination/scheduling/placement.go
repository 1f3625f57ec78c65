package scheduling

import (
	"cmp"
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// ask is a job that wants a place.
type ask struct {
	job      *controlpb.Job
	customer customerID
	tasks    int64
	each     amount
	fixed    bool
	// adjacency is the job's, or narrower while it pays to wait for that; rack is
	// where it may run only, for the same reason, or empty.
	adjacency controlpb.Adjacency
	rack      string
	// wide asks may go wherever the job may run, also to room kept for urgent work.
	wide bool
	// firm work is preemptible but counts as fixed in this pass.
	firm bool
	// rank and score order the queue; the lower goes first.
	rank  int
	score float64
	// reserved is what an earlier plan withholds for the job.
	reserved []spot
	// claims is the part of each reserved spot that lies in the customer's cells.
	claims []amount
}

func (p *pass) ask(job *controlpb.Job) *ask {
	a := p.plainAsk(job)
	p.narrow(a)
	return a
}

// plainAsk asks for what the job says.
func (p *pass) plainAsk(job *controlpb.Job) *ask {
	return &ask{
		job:       job,
		customer:  p.cluster.customer(job.Customer),
		tasks:     int64(max(job.Tasks, 1)),
		each:      taskSize(job),
		fixed:     !Preemptible(job),
		adjacency: job.Adjacency,
	}
}

func (a *ask) size() amount { return a.each.times(a.tasks) }

// spot is a number of a gang's tasks on one node.
type spot struct {
	node  *node
	tasks int64
}

// room tells how many tasks of an ask a node takes.
type room func(n *node, a *ask) int64

// roomNow counts what is free and not withheld by a reservation.
func roomNow(n *node, a *ask) int64 {
	return n.limit(a, n.free.minus(n.kept).tasks(a.each))
}

// roomKept counts what is free, withheld or not.
func roomKept(n *node, a *ask) int64 { return n.limit(a, n.free.tasks(a.each)) }

// roomSoon counts also what is ending, but for what is withheld.
func roomSoon(n *node, a *ask) int64 {
	return n.limit(a, n.free.plus(n.ending).minus(n.kept).tasks(a.each))
}

// roomOwn counts what is free but for other owners' claims: an owner goes before
// every other reservation in its own cells.
func roomOwn(n *node, a *ask) int64 {
	return n.limit(a, n.free.minus(n.othersClaims(a.customer)).tasks(a.each))
}

// roomOwnSoon counts also what is ending. What other owners may yet claim is
// left aside: stopping their work for it would only make them take it back.
func roomOwnSoon(n *node, a *ask) int64 {
	soon := n.free.plus(n.ending).minus(n.othersClaims(a.customer))
	for _, cell := range n.cells {
		if cell.customer != a.customer {
			soon.accelerators -= n.unclaimed(cell.customer)
		}
	}
	return n.limit(a, soon.tasks(a.each))
}

func (n *node) othersClaims(customer customerID) amount {
	var sum amount
	for _, claim := range n.claims {
		if claim.customer != customer {
			sum = sum.plus(claim.amount)
		}
	}
	return sum
}

// limit bounds a count by what the node may give: nothing if it is to be left
// alone, and no fixed work where it would break another customer's cell.
func (n *node) limit(a *ask, tasks int64) int64 {
	if n.worker.Unavailable || tasks <= 0 || !n.allows(a) {
		return 0
	}
	tasks = min(tasks, a.tasks, n.spreadLeft(a.job))
	if !a.fixed {
		return tasks
	}
	for tasks > 0 && !n.takesFixed(a.customer, a.each.times(tasks)) {
		tasks--
	}
	return tasks
}

// unclaimedOnly narrows a room to the customer's own unclaimed cells.
func unclaimedOnly(inner room) room {
	return func(n *node, a *ask) int64 {
		if a.each.accelerators == 0 {
			return 0
		}
		claimable := n.unclaimed(a.customer) / a.each.accelerators
		if claimable == 0 {
			return 0
		}
		return min(claimable, inner(n, a))
	}
}

// fit finds a place for the whole gang, or nil: on workers of the pace that suits it,
// or else on any.
func (c *cluster) fit(a *ask, room room) []spot {
	for _, set := range paceSets(a) {
		if c.paces&^set == 0 {
			break
		}
		if c.paces&set == 0 {
			continue
		}
		if spots := c.fitIn(a, only(set, room)); spots != nil {
			return spots
		}
	}
	return c.fitIn(a, room)
}

// fitIn finds a place in the domain where the gang leaves the least behind that larger
// gangs could not use.
func (c *cluster) fitIn(a *ask, room room) []spot {
	switch a.adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return c.bestNode(a, room)
	case controlpb.Adjacency_ADJACENCY_RACK:
		return c.bestRack(c.racks, a, room)
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return c.bestDataCentre(a, room)
	}
	if spots := c.bestRack(c.racks, a, room); spots != nil {
		return spots
	}
	return c.spread(c.racks, a, room)
}

func (c *cluster) bestDataCentre(a *ask, room room) []spot {
	if spots := c.bestRack(c.racks, a, room); spots != nil {
		return spots
	}
	for _, racks := range c.dataCentres {
		if spots := c.spread(racks, a, room); spots != nil {
			return spots
		}
	}
	return nil
}

// bestNode finds one node for all tasks: the one with the fewest accelerators
// left over, in the rack with the fewest.
func (c *cluster) bestNode(a *ask, room room) []spot {
	var best *node
	var bestCost int64
	for _, r := range c.racks {
		if !r.couldTake(a) {
			continue
		}
		for _, n := range r.nodes {
			if room(n, a) < a.tasks {
				continue
			}
			if cost := nodeCost(n, a); best == nil || cost < bestCost {
				best, bestCost = n, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	return []spot{{best, a.tasks}}
}

// Costs are in accelerators left behind; a node's weigh more than its rack's.
const (
	nodeWeight = 64
	cellWeight = 16
)

func nodeCost(n *node, a *ask) int64 {
	left := n.free.accelerators - a.size().accelerators
	return left*nodeWeight + n.rack.free.accelerators + borrowCost(n, a)
}

// borrowCost counts the accelerators of other customers' cells that the
// ask would borrow: a loan that is taken back costs its borrower work.
func borrowCost(n *node, a *ask) int64 {
	var others int64
	for _, cell := range n.cells {
		if cell.customer != a.customer {
			others += cell.amount.accelerators
		}
	}
	return cellWeight * others
}

// couldTake is a quick no: the rack holds too little in all.
func (r *rack) couldTake(a *ask) bool {
	return !r.free.plus(r.ending).minus(a.size()).negative()
}

func (r *rack) couldTakeOne(a *ask) bool {
	return !r.free.plus(r.ending).minus(a.each).negative()
}

func (c *cluster) bestRack(racks []*rack, a *ask, room room) []spot {
	var best []spot
	var bestCost int64
	for _, r := range racks {
		if !r.couldTake(a) {
			continue
		}
		if best != nil && a.each.accelerators == 0 {
			break
		}
		cost := r.cost(a)
		if best != nil && cost >= bestCost {
			continue
		}
		if spots := fill(r.nodes, a, a.tasks, room); spots != nil {
			best, bestCost = spots, cost
		}
	}
	return best
}

func (r *rack) cost(a *ask) int64 {
	left := r.free.accelerators - a.size().accelerators
	if a.job.DataRack != "" && a.job.DataRack == r.name {
		return math.MinInt64
	}
	var borrowed int64
	for _, n := range r.nodes {
		borrowed += borrowCost(n, a)
	}
	return max(left, 0)*nodeWeight + borrowed
}

// fill places that many tasks on nodes, or gives nil: partly used nodes first,
// so that whole ones stay whole, and the tightest first.
func fill(nodes []*node, a *ask, tasks int64, room room) []spot {
	candidates := make([]spot, 0, len(nodes))
	var sum int64
	for _, n := range nodes {
		if count := room(n, a); count > 0 {
			candidates = append(candidates, spot{n, count})
			sum += count
		}
	}
	if sum < tasks {
		return nil
	}
	return tightest(candidates, tasks)
}

// tightest places that many tasks on candidates, which have room for them.
func tightest(candidates []spot, tasks int64) []spot {
	slices.SortStableFunc(candidates, func(x, y spot) int {
		return cmp.Or(
			cmp.Compare(x.node.wholeFree(), y.node.wholeFree()),
			cmp.Compare(x.node.free.accelerators, y.node.free.accelerators),
		)
	})
	return choose(candidates, tasks)
}

// choose takes candidates in order, but ends early on one that fits the rest
// exactly.
func choose(candidates []spot, tasks int64) []spot {
	var chosen []spot
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

func (n *node) wholeFree() int {
	if n.total.accelerators > 0 && n.free.accelerators == n.total.accelerators {
		return 1
	}
	return 0
}

// spread places a gang over several racks, the fullest first.
func (c *cluster) spread(racks []*rack, a *ask, room room) []spot {
	order := slices.Clone(racks)
	slices.SortStableFunc(order, func(x, y *rack) int {
		return cmp.Compare(x.free.accelerators, y.free.accelerators)
	})
	var spots []spot
	left := a.tasks
	for _, r := range order {
		if !r.couldTakeOne(a) {
			continue
		}
		var here int64
		for _, n := range r.nodes {
			here += room(n, a)
		}
		here = min(here, left)
		if here == 0 {
			continue
		}
		spots = append(spots, fill(r.nodes, a, here, room)...)
		if left -= here; left == 0 {
			return spots
		}
	}
	return nil
}
