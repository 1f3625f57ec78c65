package scheduling

import (
	"cmp"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// stopOverhead is the work that each accelerator of a gang loses by a stop and
// a start even with a checkpoint, in seconds.
const stopOverhead = 30

// lostByStopping is the work thrown away by stopping a gang now, in
// accelerator seconds (a task without accelerators counts as one).
func (p *pass) lostByStopping(job *controlpb.Job) float64 {
	width := float64(job.Tasks) * float64(max(job.Accelerators, 1))
	if job.Checkpointable || job.StartedMs == 0 {
		return stopOverhead * width
	}
	ran := float64(max(p.nowMs-job.StartedMs, 0)) / 1000
	return (stopOverhead + ran) * width
}

// offer is a place for an ask, with the gangs to stop for it.
type offer struct {
	spots   []spot
	victims []*gang
	lost    float64
}

// hold finds a place for a job that may take back: first where room is ending
// already, so that a later pass does not stop a second gang for the same job,
// then by stopping the gangs that lose least.
func (p *pass) hold(a *ask, entitled bool) bool {
	soon := room(roomSoon)
	nodes := p.cluster.nodes
	if entitled {
		soon = unclaimedOnly(soon)
		nodes = p.cluster.cellNodes(a.customer)
	}
	best := p.bestOffer(a, nodes, soon, entitled)
	if best == nil {
		return false
	}
	for _, g := range best.victims {
		p.preempt(g)
	}
	p.promise(a, best.spots)
	return true
}

// cellNodes lists the nodes that keep cells of the customer.
func (c *cluster) cellNodes(customer customerID) []*node {
	var nodes []*node
	for _, n := range c.nodes {
		if of(n.cells, customer).accelerators > 0 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// bestOffer compares the domains that the gang's adjacency allows.
func (p *pass) bestOffer(a *ask, nodes []*node, room room, entitled bool) *offer {
	var best *offer
	for _, domain := range groups(nodes, a.job.Adjacency) {
		found := p.offer(a, domain, room, entitled)
		if found == nil || (best != nil && found.lost >= best.lost) {
			continue
		}
		best = found
		if best.lost == 0 {
			break
		}
	}
	return best
}

// groups divides nodes, kept in topology order, into adjacent ones.
func groups(nodes []*node, adjacency controlpb.Adjacency) [][]*node {
	var domains [][]*node
	for i, n := range nodes {
		if i == 0 || !near(nodes[i-1], n, adjacency) {
			domains = append(domains, nil)
		}
		last := len(domains) - 1
		domains[last] = append(domains[last], n)
	}
	return domains
}

// offer adds victims in one domain, the least lost work for each accelerator
// first, until the gang fits, and then lets go of those not needed. It leaves
// the index as it found it.
func (p *pass) offer(a *ask, domain []*node, room room, entitled bool) *offer {
	if potential(domain, a) < a.tasks {
		return nil
	}
	found := &offer{spots: fill(domain, a, a.tasks, room)}
	if found.spots != nil {
		return found
	}
	for _, g := range p.candidates(a, domain) {
		if !p.mayStop(a, g, domain, entitled) {
			continue
		}
		g.release()
		found.victims = append(found.victims, g)
		if found.spots = fill(domain, a, a.tasks, room); found.spots != nil {
			break
		}
	}
	if found.spots != nil {
		found.prune(a, domain, room)
	}
	for _, g := range found.victims {
		g.retake()
		found.lost += g.lost
	}
	if found.spots == nil {
		return nil
	}
	return found
}

// potential is a quick upper bound on the tasks that a domain could take.
func potential(domain []*node, a *ask) int64 {
	var tasks int64
	for _, n := range domain {
		if !n.worker.Unavailable {
			tasks += min(a.tasks, n.total.minus(n.fixed).tasks(a.each))
		}
	}
	return tasks
}

// prune keeps a victim only if the gang does not fit without it, the dearest
// first.
func (o *offer) prune(a *ask, domain []*node, room room) {
	slices.SortStableFunc(o.victims, func(x, y *gang) int { return cmp.Compare(y.lost, x.lost) })
	var needed []*gang
	for _, g := range o.victims {
		g.retake()
		if spots := fill(domain, a, a.tasks, room); spots != nil {
			o.spots = spots
			continue
		}
		g.release()
		needed = append(needed, g)
	}
	o.victims = needed
}

// candidates lists the preemptible gangs of a domain, cheapest first.
func (p *pass) candidates(a *ask, domain []*node) []*gang {
	gain := map[*gang]float64{}
	var candidates []*gang
	for _, n := range domain {
		for _, g := range n.stoppers {
			if g.preempted {
				continue
			}
			if _, seen := gain[g]; !seen {
				candidates = append(candidates, g)
			}
			gain[g] += 1 + float64(g.heldOn(n).accelerators)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *gang) int {
		return cmp.Compare(x.lost/gain[x], y.lost/gain[y])
	})
	return candidates
}

func (g *gang) heldOn(n *node) amount {
	for _, h := range g.held {
		if h.node == n {
			return h.amount
		}
	}
	return amount{}
}

// mayStop tells whether the gang only borrows: on some node of the domain its
// customer uses more than its cells there. Urgent work also stops its own
// customer's patient work, and no urgent work of others.
func (p *pass) mayStop(a *ask, g *gang, domain []*node, entitled bool) bool {
	if g.customer == a.customer {
		return a.job.Urgent && !g.job.Urgent
	}
	if !entitled && g.job.Urgent {
		return false
	}
	if g.job.Accelerators == 0 {
		return true
	}
	for _, h := range g.held {
		borrowed := of(h.node.usedBy, g.customer).accelerators > of(h.node.cells, g.customer).accelerators
		if borrowed && slices.Contains(domain, h.node) {
			return true
		}
	}
	return false
}

// release counts a gang's workers as ending, retake undoes it.
func (g *gang) release() {
	for _, h := range g.held {
		h.node.endSoon(h.amount)
		h.node.use(g.customer, amount{}.minus(h.amount), false)
	}
}

func (g *gang) retake() {
	for _, h := range g.held {
		h.node.endSoon(amount{}.minus(h.amount))
		h.node.use(g.customer, h.amount, false)
	}
}

func (p *pass) preempt(g *gang) {
	g.preempted = true
	g.release()
	p.used[g.customer] -= int64(g.job.Tasks) * int64(g.job.Accelerators)
	p.plan.Preemptions = append(p.plan.Preemptions, &controlpb.Preemption{Job: g.job.Id, Epoch: g.job.Epoch})
}
