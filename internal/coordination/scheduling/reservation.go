package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// Reservation withholds workers for a job that waits for them: its room is
// being taken back, or it is a gang that has waited too long. What is withheld
// is given to no other job, however short that declares itself, so that work
// that overruns can't push the start out; only the owner of a cell goes before.
type Reservation struct {
	Job    string
	Places []ReservedPlace
}

// ReservedPlace is a number of the job's tasks on one worker.
type ReservedPlace struct {
	Worker string
	Tasks  uint32
}

const (
	// starveAfter is the wait after which a job gets a reservation and may
	// stop younger borrowers that can go on from a checkpoint.
	starveAfter = 30 * time.Minute
	// starveRuns is that wait in expected run times, if that is longer.
	starveRuns = 1.0
	// mostAttempts is how often work was started that starving work may still
	// stop: some work would else never get done.
	mostAttempts = 4
	// mostStarving is how many of the longest-waiting jobs one pass serves so;
	// those that got their place make room for the next.
	mostStarving = 16
	// reservedShare bounds the accelerators withheld for starving jobs whose
	// room has yet to end, as a share of all; one job is always served.
	reservedShare = 0.25
)

// keepReservations withholds what earlier plans promised to jobs that wait.
func (p *pass) keepReservations(queue []*ask) {
	if len(p.snapshot.Reservations) == 0 {
		return
	}
	waiting := make(map[string]*ask, len(queue))
	for _, a := range queue {
		waiting[a.job.Id] = a
	}
	for _, reservation := range p.snapshot.Reservations {
		if a, ok := waiting[reservation.Job]; ok {
			a.reserved = p.cluster.spotsOf(reservation)
			a.withhold()
		}
	}
}

// spotsOf looks up the places, or gives nil if one is lost.
func (c *cluster) spotsOf(reservation Reservation) []spot {
	var spots []spot
	for _, place := range reservation.Places {
		n, ok := c.byID[place.Worker]
		if !ok || n.worker.Unavailable {
			return nil
		}
		spots = append(spots, spot{n, int64(place.Tasks)})
	}
	return spots
}

// withhold keeps the reserved spots from others.
func (a *ask) withhold() {
	a.claims = nil
	for _, s := range a.reserved {
		size := a.each.times(s.tasks)
		s.node.keep(size)
		claim := s.node.claimFor(a.customer, a.each, s.tasks)
		add(&s.node.claims, a.customer, claim)
		a.claims = append(a.claims, claim)
	}
}

// keep withholds size of the node; a negative size lets it go.
func (n *node) keep(size amount) {
	n.changes.add(n)
	n.kept = n.kept.plus(size)
}

// claimed sums the job's own claims.
func (a *ask) claimed() int64 {
	var sum int64
	for _, claim := range a.claims {
		sum += claim.accelerators
	}
	return sum
}

// claimFor is the tasks of a reservation that lie in the customer's own cells.
// They count as used: else other work of the customer would pass for being in
// the cell, and both together would not fit.
func (n *node) claimFor(customer customerID, each amount, tasks int64) amount {
	if each.accelerators == 0 {
		return amount{}
	}
	kept := of(n.cells, customer).accelerators
	fixed := n.equivalents(of(n.fixedBy, customer))
	return each.times(min(tasks, max(0, kept-fixed)/each.accelerators))
}

// letGo undoes withhold: the job itself is served.
func (a *ask) letGo() {
	for i, s := range a.reserved {
		size := amount{}.minus(a.each.times(s.tasks))
		s.node.keep(size)
		add(&s.node.claims, a.customer, amount{}.minus(a.claims[i]))
	}
}

// reserve records a reservation for the next pass.
func (p *pass) reserve(a *ask, spots []spot) {
	reservation := Reservation{Job: a.job.Id}
	for _, s := range spots {
		reservation.Places = append(reservation.Places, ReservedPlace{s.node.worker.ID, uint32(s.tasks)})
	}
	p.plan.Reservations = append(p.plan.Reservations, reservation)
}

// startStarving serves jobs that waited too long, the longest first: they start
// where room is, or stop younger borrowers, or get a reservation where running
// work is expected to end first. Since only younger work is stopped, two jobs
// never stop each other in turn, and the oldest job always makes headway.
func (p *pass) startStarving(queue []*ask) {
	var starving []*ask
	for _, a := range queue {
		if !p.settled[a.job.Id] && p.starving(a) && p.feasible(a) {
			starving = append(starving, a)
		}
	}
	slices.SortStableFunc(starving, func(x, y *ask) int {
		return cmp.Compare(x.job.SubmittedMs, y.job.SubmittedMs)
	})
	starving = starving[:min(len(starving), mostStarving)]
	left := int64(reservedShare * float64(p.capacity))
	for i, a := range starving {
		if p.refusedByLimit(a) {
			continue
		}
		if p.serve(a, rightStarving) {
			continue
		}
		if size := a.size().accelerators; i == 0 || size <= left {
			left -= size
			p.reserveEarliest(a)
		}
	}
}

// starving tells whether a job waited, its earlier runs not counted, for long by
// itself and beside its expected run.
//
// Units of workflows never starve in this sense: their work ends within seconds, and
// what stands empty while it gathers for a wide gang costs more than the gang is worth.
// In a replay of 50 days of 85 workers with more work than room, room kept for units
// that had waited for 1 s made days worth 0.636 where they are worth 0.681 without, and
// the widest gangs were served less often too: 0.264 in time, 0.335 without.
func (p *pass) starving(a *ask) bool {
	if a.job.Workflow != "" {
		return false
	}
	waited := float64(p.nowMs-a.job.SubmittedMs-a.job.CheckpointedMs) / 1000
	return waited >= max(starveAfter.Seconds(), starveRuns*p.remaining(a.job))
}

// reserveEarliest keeps the job's reservation, or makes one where its room is
// expected first.
func (p *pass) reserveEarliest(a *ask) {
	if a.reserved == nil {
		a.reserved = p.earliest(a)
		a.withhold()
	}
	if a.reserved == nil {
		return
	}
	p.reserve(a, a.reserved)
	p.wait(a, ReasonReserving)
}

// earliest finds the spots that are expected to be free first, if gangs end as
// their remaining time says, or nil if work that may run for ever is in the way.
func (p *pass) earliest(a *ask) []spot {
	var best []spot
	var bestTime float64
	for _, domain := range p.cluster.domains(a.adjacency) {
		if !couldHold(domain.nodes, a, butKept) {
			continue
		}
		spots, ready := p.readyIn(a, domain.nodes)
		if spots != nil && (best == nil || ready < bestTime) {
			best, bestTime = spots, ready
		}
	}
	return best
}

// readyIn lets the gangs of one domain end in the order of their remaining
// time, and finds the fewest ends after which the ask fits.
func (p *pass) readyIn(a *ask, domain []*node) ([]spot, float64) {
	var gangs []*gang
	seen := map[*gang]bool{}
	for _, n := range domain {
		for _, g := range n.gangs {
			if !seen[g] && !g.preempted && !g.stopping {
				seen[g] = true
				gangs = append(gangs, g)
			}
		}
	}
	slices.SortStableFunc(gangs, func(x, y *gang) int { return cmp.Compare(x.left, y.left) })
	released := 0
	fits := func(ends int) []spot {
		for ; released < ends; released++ {
			gangs[released].release()
		}
		for ; released > ends; released-- {
			gangs[released-1].retake()
		}
		return fill(domain, a, a.tasks, roomSoon)
	}
	low, high := 0, len(gangs)
	for low < high {
		middle := (low + high) / 2
		if fits(middle) != nil {
			high = middle
		} else {
			low = middle + 1
		}
	}
	spots := fits(low)
	fits(0)
	if low == 0 {
		return spots, 0
	}
	return spots, gangs[low-1].left
}
