package scheduling

import (
	"maps"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// pass is the working state of one pass.
type pass struct {
	snapshot *Snapshot
	cluster  *cluster
	plan     *Plan
	// used is each customer's accelerators, by customerID.
	used map[customerID]int64
	// urgentDemand is the accelerators of each customer's urgent workflows; nil
	// until it is asked for.
	urgentDemand map[string]int64
	// waiting has the workflows with work that waits.
	waiting map[string]bool
	// standing has the jobs that stood after the plan before.
	standing map[string]Standing
	// settled jobs have an outcome in this pass, and started ones are assigned.
	settled map[string]bool
	started map[string]bool
	// hopeless holds the shapes that found no room: within a pass room only
	// shrinks, but for what is taken back, which is promised at once.
	hopeless map[shapeKey]ReasonCode
	// barred holds, likewise, the shapes that could not take back.
	barred map[serveKey]bool
	// noRoom holds the least tasks of a shape that startFree refused.
	noRoom map[shapeKey]int64
	// owned lists nodes by the customer whose cells they keep.
	owned     map[customerID][]*node
	mostTasks map[Shape]int64
	// capacity is every accelerator, weights the sum of customers' weights.
	capacity int64
	// total is all that the workers have.
	total   amount
	weights float64
	nowMs   int64
	// cellMoves counts the searches made by startByMovingCells.
	cellMoves int
}

// serveKey adds what a shape may stop. A starving job's age counts too, but the
// oldest is served first, and a younger one may stop less.
type serveKey struct {
	shape shapeKey
	by    right
}

// shapeKey is what decides whether an ask finds room.
type shapeKey struct {
	customer  customerID
	tasks     int64
	each      amount
	fixed     bool
	adjacency controlpb.Adjacency
	urgent    bool
	where     whereKey
}

// whereKey is what decides which workers an ask may use at all.
type whereKey struct {
	service     string
	requirement string
	rack        string
	wide        bool
	// job is set where the answer is the job's own.
	job string
	// step is set where tasks of the step count against each other.
	step stepKey
}

func (a *ask) where() whereKey {
	key := whereKey{service: a.job.Service, requirement: a.job.Requirement, rack: a.rack, wide: a.wide}
	if a.job.MaxAttempts > 0 && len(a.job.Failures) > 0 {
		key.job = a.job.Id
	}
	if a.job.SpreadLimit > 0 {
		key.step = keyOf(a.job)
	}
	return key
}

func (a *ask) key() shapeKey {
	return shapeKey{a.customer, a.tasks, a.each, a.fixed, a.adjacency, a.job.Urgent, a.where()}
}

// roomKey leaves out what free room does not depend on: only fixed work minds
// whose cells it would be in.
func (a *ask) roomKey() shapeKey {
	key := shapeKey{each: a.each, fixed: a.fixed, adjacency: a.adjacency, where: a.where()}
	if a.fixed {
		key.customer = a.customer
	}
	return key
}

// waitKey is what the reason for waiting depends on.
func (a *ask) waitKey() shapeKey {
	key := a.roomKey()
	key.tasks = a.tasks
	return key
}

func newPass(snapshot *Snapshot) *pass {
	p := &pass{
		snapshot: snapshot,
		cluster:  newCluster(snapshot.Workers),
		plan:     &Plan{},
		used:     map[customerID]int64{},
		waiting:  waitingWorkflows(snapshot.Jobs),
		standing: map[string]Standing{},
		settled:  map[string]bool{},
		started:  map[string]bool{},
		hopeless: map[shapeKey]ReasonCode{},
		barred:   map[serveKey]bool{},
		noRoom:   map[shapeKey]int64{},
		nowMs:    snapshot.Now.UnixMilli(),

		mostTasks: map[Shape]int64{},
	}
	for _, stands := range snapshot.Standing {
		p.standing[stands.Job] = stands
	}
	p.plan.QuietSince = quietSince(snapshot.Jobs)
	if p.off(MatchPace) {
		p.cluster.paces = 0
	}
	p.total = p.cluster.free
	p.capacity = p.total.accelerators
	for _, customer := range snapshot.Customers {
		p.weights += max(float64(customer.Weight), 1)
	}
	for _, job := range snapshot.Jobs {
		if len(job.Placements) == 0 {
			continue
		}
		g := p.cluster.hold(job)
		g.lost = p.lostByStopping(job)
		g.left = p.remaining(job)
		if !g.stopping {
			p.used[g.customer] += int64(job.Tasks) * int64(job.Accelerators)
		}
	}
	p.keepWarm()
	return p
}

// warmShare is the share of accelerators, or of cores where there are none, in use from which room is kept for urgent
// work: with more free than that, urgent work finds room anyway, and other work must
// not wait beside it.
const warmShare = 0.5

// keepWarm marks the workers whose room is kept for urgent work.
func (p *pass) keepWarm() {
	free, all := p.cluster.free.accelerators, p.total.accelerators
	if all == 0 {
		free, all = p.cluster.free.cores, p.total.cores
	}
	if p.off(KeepWarm) || float64(free) > (1-warmShare)*float64(all) {
		return
	}
	for _, n := range p.cluster.nodes {
		n.warm = p.snapshot.Warm[n.worker.ID]
	}
}

func (p *pass) off(mechanism Mechanisms) bool { return p.snapshot.Off.has(mechanism) }

func sortedNames[T any](byName map[string]T) []string {
	return slices.Sorted(maps.Keys(byName))
}

// startEntitled serves customers with unclaimed cells. It goes before all other
// work, urgent work too, so that nothing else takes what is being taken back.
// The work counts as fixed for the rest of the pass, even if it is preemptible:
// else it could borrow a cell that its owner asks for in this same pass.
func (p *pass) startEntitled(queue []*ask) {
	unclaimed := p.unclaimedByCustomer()
	for _, a := range queue {
		if a.each.accelerators == 0 || unclaimed[a.customer]+a.claimed() < a.size().accelerators {
			continue
		}
		firm := *a
		firm.fixed, firm.firm = true, !a.fixed
		if p.serve(&firm, rightOwner) {
			unclaimed[a.customer] = p.unclaimedOf(a.customer)
		}
		a.claims = firm.claims
	}
}

// startUrgent serves urgent work, which may stop patient borrowers.
func (p *pass) startUrgent(queue []*ask) {
	for _, a := range queue {
		if a.job.Urgent && !p.settled[a.job.Id] && p.worthTakingBack(a) {
			p.serve(a, rightUrgent)
		}
	}
}

// right is why a job may stop others.
type right int

const (
	// rightOwner is that of a customer in its own unclaimed cells.
	rightOwner right = iota
	// rightUrgent is that of urgent work over patient borrowers.
	rightUrgent
	// rightStarving is that of long-waiting work over younger borrowers.
	rightStarving
)

// serve starts a job, or takes room back for it. Room that is free elsewhere
// goes before a loan, since stopping work loses some of it.
func (p *pass) serve(a *ask, by right) bool {
	key := serveKey{a.key(), by}
	if p.refusedByLimit(a) || (a.reserved == nil && p.barred[key]) {
		return false
	}
	a.letGo()
	if by == rightOwner && p.startOwn(a) {
		return true
	}
	if p.startFree(a) || p.startStood(a) || p.hold(a, by) {
		return true
	}
	a.withhold()
	p.barred[key] = true
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

// startRest serves what is left in order, fairly among customers.
func (p *pass) startRest(queue []*ask) {
	due := p.fairQueue(queue)
	for a := due.next(); a != nil; a = due.next() {
		if p.refusedByLimit(a) {
			continue
		}
		if code, known := p.hopeless[a.waitKey()]; known && a.reserved == nil {
			p.wait(a, code)
			continue
		}
		a.letGo()
		if p.startFree(a) || p.startByMovingCells(a) {
			continue
		}
		code := p.whyNot(a)
		p.hopeless[a.waitKey()] = code
		p.wait(a, code)
	}
}

// refusedByLimit settles a job whose customer would exceed its limit.
func (p *pass) refusedByLimit(a *ask) bool {
	if !p.overLimit(a) {
		return false
	}
	if !p.settled[a.job.Id] {
		p.wait(a, ReasonLimit)
	}
	return true
}

func (p *pass) overLimit(a *ask) bool {
	customer := p.snapshot.Customers[a.job.Customer]
	if customer == nil || customer.MaxAccelerators == 0 {
		return false
	}
	return p.used[a.customer]+a.size().accelerators > int64(customer.MaxAccelerators)
}

// startFree assigns the whole gang if there is room at once. A shape that found
// none is not tried again, nor with more tasks: within a pass such room only
// shrinks, but for what is withheld for the job itself.
func (p *pass) startFree(a *ask) bool {
	key := a.roomKey()
	if least, known := p.noRoom[key]; known && a.reserved == nil && a.tasks >= least {
		return false
	}
	spots := p.cluster.fit(a, roomNow)
	if spots == nil {
		p.noRoom[key] = a.tasks
		return false
	}
	p.assign(a, spots)
	return true
}

// startOwn assigns the gang in its customer's unclaimed cells.
func (p *pass) startOwn(a *ask) bool {
	for _, domain := range groups(p.cellNodes(a.customer), a.adjacency) {
		if spots := fill(domain.nodes, a, a.tasks, unclaimedOnly(roomOwn)); spots != nil {
			p.assign(a, spots)
			return true
		}
	}
	return false
}

// cellNodes lists the nodes that keep cells of the customer, in topology order.
// Cells move only after all owners are served.
func (p *pass) cellNodes(customer customerID) []*node {
	if p.owned == nil {
		p.owned = map[customerID][]*node{}
		for _, n := range p.cluster.nodes {
			for _, cell := range n.cells {
				p.owned[cell.customer] = append(p.owned[cell.customer], n)
			}
		}
	}
	return p.owned[customer]
}

func (p *pass) assign(a *ask, spots []spot) {
	assignment := &controlpb.Assignment{Job: a.job.Id, Epoch: a.job.Epoch}
	var task uint32
	for _, s := range spots {
		for range s.tasks {
			assignment.Placements = append(assignment.Placements, &controlpb.Placement{
				Task: task, Worker: s.node.worker.ID, Accelerators: s.node.pick(a.each.accelerators),
			})
			task++
		}
		size := a.each.times(s.tasks)
		p.cluster.take(s.node, size)
		s.node.countSpread(a.job, s.tasks)
		s.node.use(a.customer, size, a.fixed)
		if a.firm {
			add(&s.node.firmBy, a.customer, size)
		}
	}
	p.used[a.customer] += a.size().accelerators
	p.settled[a.job.Id], p.started[a.job.Id] = true, true
	p.plan.Assignments = append(p.plan.Assignments, assignment)
}

// promise keeps spots for a job whose room is partly ending.
func (p *pass) promise(a *ask, spots []spot) {
	for _, s := range spots {
		size := a.each.times(s.tasks)
		p.cluster.takeSoon(s.node, size)
		s.node.use(a.customer, size, a.fixed)
		if a.fixed {
			add(&s.node.firmBy, a.customer, size)
		}
	}
	p.used[a.customer] += a.size().accelerators
	p.reserve(a, spots)
	p.wait(a, ReasonPreempting)
}

func (p *pass) wait(a *ask, code ReasonCode) {
	p.settled[a.job.Id] = true
	p.plan.Waiting = append(p.plan.Waiting, Reason{
		Job:    a.job.Id,
		Code:   code,
		Wanted: uint32(a.size().accelerators),
		Free:   uint32(max(p.cluster.free.accelerators, 0)),
	})
}

// whyNot says what keeps a job waiting that found no room.
func (p *pass) whyNot(a *ask) ReasonCode {
	switch {
	case !p.feasible(a):
		return ReasonNever
	case p.cluster.fit(a, roomKept) != nil:
		return ReasonReserved
	case a.fixed && p.cluster.fit(a, roomWithoutCells) != nil:
		return ReasonGuarantee
	}
	return ReasonNoCapacity
}

// roomWithoutCells counts what is free and not withheld by a reservation, as if
// nothing were guaranteed.
func roomWithoutCells(n *node, a *ask) int64 {
	if n.worker.Unavailable {
		return 0
	}
	return min(a.tasks, n.free.minus(n.kept).tasks(a.each))
}
