package scheduling

import (
	"cmp"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// mostStopOverhead is the work that each accelerator of a gang loses by a stop
	// and a start even with a checkpoint, in seconds.
	mostStopOverhead = 30
	// stopOverheadShare bounds it by the declared run time: short work loads and
	// saves little, and would else seem to cost the same to stop whether it has
	// just begun or is about to end.
	stopOverheadShare = 0.1
)

func stopOverhead(job *controlpb.Job) float64 {
	return min(mostStopOverhead, max(stopOverheadShare*float64(job.RunTimeMs)/1000, leastRunTime.Seconds()))
}

// lostByStopping is the work thrown away by stopping a gang now, in
// accelerator seconds (a task without accelerators counts as one).
func (p *pass) lostByStopping(job *controlpb.Job) float64 {
	width := workWidth(job)
	if job.Checkpointable || job.StartedMs == 0 {
		return stopOverhead(job) * width
	}
	ran := float64(max(p.nowMs-job.StartedMs, 0)) / 1000
	return (stopOverhead(job) + ran) * width
}

// coresPerAccelerator is how many cores weigh as much as one accelerator where
// work is compared.
const coresPerAccelerator = 8

// workWidth is what a job holds, in accelerators and as many cores as weigh the
// same; at least one for each task.
func workWidth(job *controlpb.Job) float64 {
	cores := float64(milliCores(job.Cores, job.CoresMilli)) / milliPerCore
	return float64(max(job.Tasks, 1)) * max(float64(job.Accelerators)+cores/coresPerAccelerator, 1)
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
func (p *pass) hold(a *ask, by right) bool {
	soon := room(roomSoon)
	domains := p.cluster.domains(a.adjacency)
	if by == rightOwner {
		soon = unclaimedOnly(roomOwnSoon)
		domains = groups(p.cellNodes(a.customer), a.adjacency)
	}
	best := p.bestOffer(a, domains, soon, by)
	if best == nil || best.lost > p.mayLose(a) {
		return false
	}
	for _, g := range best.victims {
		p.preempt(g)
	}
	p.promise(a, best.spots)
	return true
}

// bestOffer compares the domains that the gang's adjacency allows.
func (p *pass) bestOffer(a *ask, domains []*domain, room room, by right) *offer {
	var best *offer
	for _, domain := range domains {
		found := p.offer(a, domain, room, by)
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
func groups(nodes []*node, adjacency controlpb.Adjacency) []*domain {
	var domains []*domain
	for i, n := range nodes {
		if i == 0 || !near(nodes[i-1], n, adjacency) {
			domains = append(domains, &domain{})
		}
		last := domains[len(domains)-1]
		last.nodes = append(last.nodes, n)
	}
	return domains
}

// offer adds victims in one domain, the least lost work for each accelerator
// first, until the gang fits, and then lets go of those not needed. It leaves
// the index as it found it.
func (p *pass) offer(a *ask, domain *domain, room room, by right) *offer {
	if !couldHold(domain.nodes, a, butFixed) {
		return nil
	}
	t := domain.tally(p.cluster, a, room)
	found := &offer{}
	for _, g := range domain.candidates() {
		if t.fits() {
			break
		}
		if !g.preempted && p.mayStop(a, g, t, by) {
			g.release()
			t.recountGang(g)
			found.victims = append(found.victims, g)
		}
	}
	if t.fits() {
		found.prune(t)
		found.spots = t.spots()
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

// couldHold is a quick no: the domain takes too few tasks even if all that is left of
// each node, as left counts it, were free.
func couldHold(domain []*node, a *ask, left func(*node) amount) bool {
	var tasks int64
	for _, n := range domain {
		if n.worker.Unavailable {
			continue
		}
		if tasks += left(n).tasks(a.each); tasks >= a.tasks {
			return true
		}
	}
	return false
}

// butFixed is a node's room without work that can't be preempted, butKept without what
// is withheld for reservations.
func butFixed(n *node) amount { return n.total.minus(n.fixed) }
func butKept(n *node) amount  { return n.total.minus(n.kept) }

// prune keeps a victim only if the gang does not fit without it, the dearest
// first.
func (o *offer) prune(t *tally) {
	slices.SortStableFunc(o.victims, func(x, y *gang) int { return cmp.Compare(y.lost, x.lost) })
	var needed []*gang
	for _, g := range o.victims {
		g.retake()
		t.recountGang(g)
		if t.fits() {
			continue
		}
		g.release()
		t.recountGang(g)
		needed = append(needed, g)
	}
	o.victims = needed
}

// candidates lists the preemptible gangs of a domain, cheapest first; some may have
// been preempted since. The list is made once a pass: to sort all gangs for each urgent
// ask would be most of the pass.
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

// mayStop tells whether a gang may be stopped for an ask, by the ask's right.
func (p *pass) mayStop(a *ask, g *gang, t *tally, by right) bool {
	own := g.customer == a.customer
	switch by {
	case rightUrgent:
		if g.job.Urgent {
			return p.assured(a.job) && !p.assured(g.job)
		}
		return own || p.borrows(g, t)
	case rightStarving:
		younger := g.job.SubmittedMs > a.job.SubmittedMs
		movable := g.job.Checkpointable && !g.job.Urgent && g.job.Attempts < mostAttempts
		return younger && movable && (own || p.borrows(g, t))
	}
	return !own && g.borrowsIn(t)
}

// borrows tells whether the gang's customer uses more than its guarantee. Its
// work may run outside its cells while these are lent; stopping that would only
// make the customer take its cells back from somebody else.
func (p *pass) borrows(g *gang, t *tally) bool {
	declared := p.snapshot.Customers[p.cluster.names[g.customer]]
	beyond := g.job.Accelerators == 0 || p.used[g.customer] > guaranteed(declared)
	return beyond && g.borrowsIn(t)
}

// borrowsIn tells whether the gang uses more of some node of the domain than its
// customer's cells there give it.
func (g *gang) borrowsIn(t *tally) bool {
	if g.job.Accelerators == 0 {
		return true
	}
	for _, h := range g.held {
		if t.has(h.node) && g.borrowsOn(h) {
			return true
		}
	}
	return false
}

// borrowsOn compares what the customer uses preemptibly with what its fixed work
// leaves of its cells: in accelerators, and for a gang that uses more cores or
// memory than go with its accelerators in these too, since they make other
// accelerators useless. A lighter gang is not at fault for what others of its
// customer use; stopping it would help nobody, for it may start again at once.
func (g *gang) borrowsOn(h holding) bool {
	n := h.node
	used, fixed := of(n.usedBy, g.customer), of(n.fixedBy, g.customer)
	lawful := max(0, of(n.cells, g.customer).accelerators-n.equivalents(fixed))
	if used.accelerators-fixed.accelerators > lawful {
		return true
	}
	heavy := n.equivalents(h.amount) > h.amount.accelerators
	return heavy && n.equivalents(used.minus(fixed)) > lawful
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
