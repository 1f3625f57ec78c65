package scheduling

import (
	"cmp"
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// window is a choice of nodes, in order of speed, that have room for a request.
type window struct {
	// candidates are the nodes from the fastest to the slowest.
	candidates []nodeTasks
	// equal are the candidates and the slower nodes with which the rank is the same.
	equal []nodeTasks
	// rank is the order among windows, the lowest first.
	rank int64
}

const (
	// rankStep is the step in which the ranks of windows are counted, as a logarithm.
	// Expected ends within a step count as equal, since estimates are no better; then the
	// accelerators left over decide.
	rankStep = 0.05
	// longRank separates windows in which a single task holds its worker for much longer
	// than on others: degraded ones and those away from its data.
	longRank = 250
	// riskyRank separates windows in which a request may end after its objective if its
	// estimate is too low, lateRank those in which it does.
	riskyRank = 500
	lateRank  = 1_000
)

// windowRank orders windows for a request by the time that it runs there. Urgent work, and
// work that ends after its objective, goes where it ends first. A gang that ends in time goes
// where its members idle least while they wait for the slowest. A single task that ends in
// time goes to the slowest worker, and so leaves the others to work that needs them, but to
// a degraded one or away from its data only if there is no other, and then where it ends first.
func (req *request) windowRank(fastest, slowest *node, remote float64) int64 {
	seconds := req.work * remote / slowest.relativeSpeed
	end := -slowest.logSpeed
	if remote > 1 {
		end += logRemoteSlowdown
	}
	switch {
	case seconds > req.secondsLeft:
		return lateRank + rankOf(end)
	case req.job.Urgent || seconds*endMargin > req.secondsLeft:
		return riskyRank + rankOf(end)
	case req.tasks > 1:
		return rankOf(fastest.logSpeed - slowest.logSpeed + gangEnd*end)
	case remote > 1 || slowest.relativeSpeed < degradedBelow:
		return longRank + rankOf(end)
	}
	return rankOf(slowest.logSpeed)
}

var logRemoteSlowdown = math.Log(remoteSlowdown)

func rankOf(value float64) int64 { return int64(math.Round(value / rankStep)) }

// bestRank returns a lower bound of the ranks of the rack's windows. Only for single tasks
// that are not urgent may a slower worker rank before the fastest.
func (r *rack) bestRank(req *request, remote float64) int64 {
	nodes := r.inOrderOfSpeed()
	if req.tasks > 1 || req.job.Urgent {
		nodes = nodes[:1]
	}
	best := int64(math.MaxInt64)
	for _, n := range nodes {
		best = min(best, req.windowRank(n, n, remote))
	}
	return best
}

// endMargin is the share by which an estimate may be too low and work still ends in time.
const endMargin = 1.25

// gangEnd is the weight of the time that a gang runs against the time that its members idle.
const gangEnd = 0.5

// bestWindow returns the best choice of the nodes, which are in order of speed, that has
// room for the request, or false.
func (c *cluster) bestWindow(nodes []*node, req *request, capacity capacityFunc, remote func(*node) float64) (window, bool) {
	candidates := c.scratch[:0]
	for _, n := range nodes {
		if tasks := capacity(n, req); tasks > 0 {
			candidates = append(candidates, nodeTasks{n, tasks})
		}
	}
	c.scratch = candidates
	best, found := window{}, false
	var sum int64
	for first, last := 0, -1; first < len(candidates); first++ {
		for sum < req.tasks && last+1 < len(candidates) {
			last++
			sum += candidates[last].tasks
		}
		if sum < req.tasks {
			break
		}
		slowest := candidates[last].node
		rank := req.windowRank(candidates[first].node, slowest, remote(slowest))
		if !found || rank < best.rank {
			end := last + 1
			for end < len(candidates) && req.windowRank(candidates[first].node, candidates[end].node, remote(candidates[end].node)) == rank {
				end++
			}
			best, found = window{candidates[first : last+1], candidates[first:end], rank}, true
		}
		sum -= candidates[first].tasks
	}
	return best, found
}

// findByEnd finds a placement for the whole gang by its expected end, or nil.
func (c *cluster) findByEnd(req *request, capacity capacityFunc) []nodeTasks {
	if req.adjacency == controlpb.Adjacency_ADJACENCY_WORKER {
		return c.nodeByEnd(req, capacity)
	}
	if placement := c.rackByEnd(req, capacity); placement != nil {
		return placement
	}
	switch req.adjacency {
	case controlpb.Adjacency_ADJACENCY_RACK:
		return nil
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		for i := range c.dataCentres {
			if placement := c.spreadByEnd(req, func(n *node, req *request) int64 {
				if n.rack.dataCentre != i {
					return 0
				}
				return capacity(n, req)
			}); placement != nil {
				return placement
			}
		}
		return nil
	}
	return c.spreadByEnd(req, capacity)
}

func (c *cluster) nodeByEnd(req *request, capacity capacityFunc) []nodeTasks {
	var best *node
	var bestRank, bestCost int64
	for _, r := range c.racks {
		if !r.mayFit(req) {
			continue
		}
		remote := remoteFactor(req.job, r.name, false)
		for _, n := range r.nodes {
			if capacity(n, req) < req.tasks {
				continue
			}
			rank, cost := req.windowRank(n, n, remote), nodeCost(n, req)
			if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
				best, bestRank, bestCost = n, rank, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	return []nodeTasks{{best, req.tasks}}
}

// rackByEnd finds a placement in the rack with the best window.
func (c *cluster) rackByEnd(req *request, capacity capacityFunc) []nodeTasks {
	var best []nodeTasks
	var bestRank, bestCost int64
	for _, r := range c.racks {
		if !r.mayFit(req) {
			continue
		}
		remote := remoteFactor(req.job, r.name, false)
		bound := r.bestRank(req, remote)
		if best != nil && bound > bestRank {
			continue
		}
		cost := r.cost(req)
		if best != nil && bound == bestRank && cost >= bestCost {
			continue
		}
		found, ok := c.bestWindow(r.inOrderOfSpeed(), req, capacity, func(*node) float64 { return remote })
		if !ok || best != nil && found.rank > bestRank {
			continue
		}
		if best == nil || found.rank < bestRank || cost < bestCost {
			best, bestRank, bestCost = tightestFit(slices.Clone(found.candidates), req.tasks), found.rank, cost
		}
	}
	return best
}

// spreadByEnd places a gang over several racks: among the nodes of the best window, and the
// slower ones with which its rank stays the same, over as few racks as fit.
func (c *cluster) spreadByEnd(req *request, capacity capacityFunc) []nodeTasks {
	if c.bySpeed == nil {
		c.bySpeed = inOrderOfSpeed(c.nodes)
	}
	remote := remoteFactor(req.job, "", true)
	found, ok := c.bestWindow(c.bySpeed, req, capacity, func(*node) float64 { return remote })
	if !ok {
		return nil
	}
	return fewestRacks(found.equal, req.tasks)
}

// fewestRacks places that many tasks on candidates, which have enough capacity for them: in
// the racks with the most room first, the fullest of equal ones, and at the end in the
// one with the least room that takes the rest.
func fewestRacks(candidates []nodeTasks, tasks int64) []nodeTasks {
	var racks []*rack
	inRack, room := map[*rack][]nodeTasks{}, map[*rack]int64{}
	for _, candidate := range candidates {
		r := candidate.node.rack
		if inRack[r] == nil {
			racks = append(racks, r)
		}
		inRack[r] = append(inRack[r], candidate)
		room[r] += candidate.tasks
	}
	slices.SortStableFunc(racks, func(x, y *rack) int {
		return cmp.Or(cmp.Compare(room[y], room[x]), cmp.Compare(x.free.accelerators, y.free.accelerators))
	})
	var placement []nodeTasks
	for i, r := range racks {
		for _, smaller := range racks[i+1:] {
			if room[smaller] >= tasks && room[smaller] < room[r] {
				r = smaller
			}
		}
		here := min(room[r], tasks)
		placement = append(placement, tightestFit(inRack[r], here)...)
		if tasks -= here; tasks == 0 {
			break
		}
	}
	return placement
}

func (r *rack) inOrderOfSpeed() []*node {
	if r.bySpeed == nil {
		r.bySpeed = inOrderOfSpeed(r.nodes)
	}
	return r.bySpeed
}

// inOrderOfSpeed returns the nodes, the fastest first.
func inOrderOfSpeed(nodes []*node) []*node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(x, y *node) int { return cmp.Compare(y.relativeSpeed, x.relativeSpeed) })
	return sorted
}
