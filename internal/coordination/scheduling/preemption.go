package scheduling

import (
	"cmp"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// maxPreemptionOverhead is the work that each accelerator of a gang loses by a stop
	// and a restart even with a checkpoint, in seconds.
	maxPreemptionOverhead = 30
	// preemptionOverheadShare limits it by the declared run time: short work loads and
	// saves little, and would otherwise seem to cost the same to stop whether it has
	// just started or is about to end.
	preemptionOverheadShare = 0.1
)

func preemptionOverhead(job *controlpb.Job) float64 {
	return min(maxPreemptionOverhead, max(preemptionOverheadShare*float64(job.RunTimeMs)/1000, minRunTime.Seconds()))
}

// lostByPreempting returns the work discarded by stopping a gang now, in
// accelerator-seconds (a task without accelerators counts as one).
func (p *pass) lostByPreempting(job *controlpb.Job) float64 {
	size := weightedSize(job)
	if job.Checkpointable || job.StartedMs == 0 {
		return preemptionOverhead(job) * size
	}
	ran := float64(max(p.nowMs-job.StartedMs, 0)) / 1000
	return (preemptionOverhead(job) + ran) * size
}

// coresPerAccelerator is how many cores weigh as much as one accelerator where work is
// compared.
const coresPerAccelerator = 8

// weightedSize returns what a job holds in accelerators, with cores converted by
// coresPerAccelerator; at least one for each task.
func weightedSize(job *controlpb.Job) float64 {
	cores := float64(milliCores(job.Cores, job.CoresMilli)) / milliPerCore
	return float64(max(job.Tasks, 1)) * max(float64(job.Accelerators)+cores/coresPerAccelerator, 1)
}

// preemptionPlan is a placement for a request, with the gangs to stop for it.
type preemptionPlan struct {
	placement []nodeTasks
	victims   []*gang
	lostWork  float64
}

// preemptFor finds a placement for a job that may preempt: first where capacity is
// already being released, so that a later pass doesn't stop a second gang for the same
// job, then by stopping the gangs that lose the least work.
func (p *pass) preemptFor(req *request, grounds preemptionGrounds) bool {
	capacity := capacityFunc(futureCapacity)
	domains := p.cluster.domains(req.adjacency)
	if grounds == groundsGuarantee {
		capacity = unclaimedCellsOnly(ownerFutureCapacity)
		domains = groups(p.cellNodes(req.customer), req.adjacency)
	}
	best := p.bestPreemption(req, domains, req.limit.capacity(capacity), grounds)
	if best == nil || best.lostWork > p.lossBudget(req) {
		return false
	}
	for _, g := range best.victims {
		p.preempt(g)
	}
	p.reservePlacement(req, best.placement)
	return true
}

// bestPreemption returns the plan that loses the least work among the given domains, or
// nil.
func (p *pass) bestPreemption(req *request, domains []*domain, capacity capacityFunc, grounds preemptionGrounds) *preemptionPlan {
	var best *preemptionPlan
	for _, domain := range domains {
		found := p.planPreemption(req, domain, capacity, grounds)
		if found == nil || (best != nil && found.lostWork >= best.lostWork) {
			continue
		}
		best = found
		if best.lostWork == 0 {
			break
		}
	}
	return best
}

// groups divides nodes, in topology order, into domains of the adjacency.
func groups(nodes []*node, adjacency controlpb.Adjacency) []*domain {
	var domains []*domain
	for i, n := range nodes {
		if i == 0 || !withinAdjacency(nodes[i-1], n, adjacency) {
			domains = append(domains, &domain{})
		}
		last := domains[len(domains)-1]
		last.nodes = append(last.nodes, n)
	}
	return domains
}

// planPreemption adds victims in one domain, those with the least lost work for each
// accelerator first, until the gang fits, and then drops those that aren't needed. It
// restores the index before it returns.
func (p *pass) planPreemption(req *request, domain *domain, capacity capacityFunc, grounds preemptionGrounds) *preemptionPlan {
	if !mayHold(domain.nodes, req, withoutNonPreemptible) {
		return nil
	}
	t := domain.tally(p.cluster, req, capacity)
	found := &preemptionPlan{}
	for _, g := range domain.candidates() {
		if t.fits() {
			break
		}
		if !g.preempted && p.mayPreempt(req, g, t, grounds) {
			g.markReleasing()
			t.recountGang(g)
			found.victims = append(found.victims, g)
		}
	}
	if t.fits() {
		found.prune(t)
		found.placement = t.placement()
	}
	for _, g := range found.victims {
		g.unmarkReleasing()
		found.lostWork += g.lostWork
	}
	if found.placement == nil {
		return nil
	}
	return found
}

// mayHold rules out domains that hold too few tasks even if all that is left of each
// node, as counted by left, were free.
func mayHold(domain []*node, req *request, left func(*node) resources) bool {
	var tasks int64
	for _, n := range domain {
		if n.worker.Unavailable {
			continue
		}
		if tasks += left(n).tasks(req.perTask); tasks >= req.tasks {
			return true
		}
	}
	return false
}

// withoutNonPreemptible is a node's resources without those of work that can't be
// preempted, withoutReserved without those withheld for reservations.
func withoutNonPreemptible(n *node) resources { return n.total.minus(n.nonPreemptible) }
func withoutReserved(n *node) resources       { return n.total.minus(n.reserved) }

// prune keeps a victim only if the gang doesn't fit without it, the one with the most
// lost work first.
func (plan *preemptionPlan) prune(t *tally) {
	slices.SortStableFunc(plan.victims, func(x, y *gang) int { return cmp.Compare(y.lostWork, x.lostWork) })
	var needed []*gang
	for _, g := range plan.victims {
		g.unmarkReleasing()
		t.recountGang(g)
		if t.fits() {
			continue
		}
		g.markReleasing()
		t.recountGang(g)
		needed = append(needed, g)
	}
	plan.victims = needed
}

// candidates lists the preemptible gangs of a domain, cheapest first; some may have
// been preempted since. The list is made once for each pass: sorting all gangs for each
// urgent request would take most of the pass.
func (d *domain) candidates() []*gang {
	if d.cheapest == nil {
		d.cheapest = cheapestFirst(d.nodes)
	}
	return d.cheapest
}

func cheapestFirst(nodes []*node) []*gang {
	gain := map[*gang]float64{}
	candidates := []*gang{}
	for _, n := range nodes {
		for _, g := range n.gangs {
			if g.preempted || g.stopping || !Preemptible(g.job) {
				continue
			}
			if _, seen := gain[g]; !seen {
				candidates = append(candidates, g)
			}
			gain[g] += 1 + float64(g.allocatedOn(n).accelerators)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *gang) int {
		return cmp.Compare(x.lostWork/gain[x], y.lostWork/gain[y])
	})
	return candidates
}

func (g *gang) allocatedOn(n *node) resources {
	for _, h := range g.allocations {
		if h.node == n {
			return h.resources
		}
	}
	return resources{}
}

// mayPreempt reports whether a gang may be stopped for a request on the given grounds.
func (p *pass) mayPreempt(req *request, g *gang, t *tally, grounds preemptionGrounds) bool {
	own := g.customer == req.customer
	switch grounds {
	case groundsUrgency:
		if g.job.Urgent {
			return p.withinGuarantee(req.job) && !p.withinGuarantee(g.job)
		}
		return own || p.borrows(g, t)
	case groundsLongWait:
		younger := g.job.SubmittedMs > req.job.SubmittedMs
		resumable := g.job.Checkpointable && !g.job.Urgent && g.job.Attempts < maxPreemptedAttempts
		return younger && resumable && (own || p.borrows(g, t))
	}
	return !own && g.borrowsIn(t)
}

// borrows reports whether the gang's customer uses more than its guarantee. Its work
// may run outside its cells while these are lent; stopping that work would only make
// the customer reclaim its cells from somebody else.
func (p *pass) borrows(g *gang, t *tally) bool {
	declared := p.snapshot.Customers[p.cluster.names[g.customer]]
	beyond := g.job.Accelerators == 0 || p.used[g.customer] > guaranteedAccelerators(declared)
	return beyond && g.borrowsIn(t)
}

// borrowsIn reports whether the gang uses more of some node of the domain than its
// customer's cells there allow.
func (g *gang) borrowsIn(t *tally) bool {
	if g.job.Accelerators == 0 {
		return true
	}
	for _, h := range g.allocations {
		if t.contains(h.node) && g.borrowsOn(h) {
			return true
		}
	}
	return false
}

// borrowsOn compares what the customer uses preemptibly with what its non-preemptible
// work leaves of its cells. It compares accelerators and, for a gang that uses more
// cores or memory than its share for its accelerators, these too, since they make other
// accelerators unusable. A gang without such excess isn't charged with what other gangs
// of its customer use; stopping it would help nobody, as it could start again at once.
func (g *gang) borrowsOn(h allocation) bool {
	n := h.node
	used, nonPreemptible := shareOf(n.usedBy, g.customer), shareOf(n.nonPreemptibleBy, g.customer)
	entitled := max(0, shareOf(n.cells, g.customer).accelerators-n.acceleratorEquivalent(nonPreemptible))
	if used.accelerators-nonPreemptible.accelerators > entitled {
		return true
	}
	heavy := n.acceleratorEquivalent(h.resources) > h.resources.accelerators
	return heavy && n.acceleratorEquivalent(used.minus(nonPreemptible)) > entitled
}

// markReleasing counts a gang's resources as being released; unmarkReleasing undoes it.
func (g *gang) markReleasing() {
	for _, h := range g.allocations {
		h.node.addReleasing(h.resources)
		h.node.use(g.customer, resources{}.minus(h.resources), false)
	}
}

func (g *gang) unmarkReleasing() {
	for _, h := range g.allocations {
		h.node.addReleasing(resources{}.minus(h.resources))
		h.node.use(g.customer, h.resources, false)
	}
}

func (p *pass) preempt(g *gang) {
	g.preempted = true
	g.markReleasing()
	p.used[g.customer] -= int64(g.job.Tasks) * int64(g.job.Accelerators)
	p.plan.Preemptions = append(p.plan.Preemptions, &controlpb.Preemption{Job: g.job.Id, Epoch: g.job.Epoch})
}
