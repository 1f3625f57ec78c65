package scheduling

import (
	"cmp"
	"math/bits"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// customerID numbers the customers of one pass.
type customerID int

// node is a worker with what is held on it.
type node struct {
	worker *Worker
	rack   *rack
	// at is its place in topology order.
	at int
	// changes is the cluster's log; whatever the room of the node depends on notes its
	// changes there.
	changes *changeLog
	total   amount
	// free is held by no task and promised to no job in this pass.
	free amount
	// ending is held by gangs that are being stopped.
	ending amount
	// kept is withheld for reservations, claims are their parts in cells.
	kept   amount
	claims []share
	// numbers has a bit for each accelerator that no task holds.
	numbers uint64
	// fixed is held by work that can't be preempted, in all and by customer.
	fixed   amount
	fixedBy []share
	// firmBy is the part of fixedBy that counts as fixed in this pass only.
	firmBy []share
	usedBy []share
	cells  []share
	gangs  []*gang
	// pace of the worker.
	pace pace
	// warm room is kept for urgent work.
	warm bool
	// spread counts tasks by step, for jobs that bound them.
	spread map[stepKey]int64
}

// share is what one customer has of a node.
type share struct {
	customer customerID
	amount   amount
}

// rack sums up its nodes, so that a job looks into few of them.
type rack struct {
	name       string
	dataCentre int
	nodes      []*node
	free       amount
	ending     amount
	total      amount
}

// gang is a job that holds workers.
type gang struct {
	job      *controlpb.Job
	customer customerID
	stopping bool
	// preempted gangs were chosen to stop in this pass.
	preempted bool
	held      []holding
	// lost is the work thrown away by stopping now, in accelerator seconds.
	lost float64
	// left is the expected seconds until it ends by itself.
	left float64
}

type holding struct {
	node   *node
	amount amount
}

// cluster is the index of one pass.
type cluster struct {
	nodes       []*node
	byID        map[string]*node
	racks       []*rack
	dataCentres [][]*rack
	// byAdjacency keeps the domains that were asked for: the topology stays as it is.
	byAdjacency map[controlpb.Adjacency][]*domain
	customers   map[string]customerID
	names       []string
	cells       []placedCell
	// paces are those of the workers that are available; none where they don't matter.
	paces   pace
	free    amount
	changes changeLog
	// gangs and holdings are where those of the index are allocated.
	gangs    chunks[gang]
	holdings chunks[holding]
}

func newCluster(workers []Worker) *cluster {
	c := &cluster{
		byID:        make(map[string]*node, len(workers)),
		byAdjacency: map[controlpb.Adjacency][]*domain{},
		customers:   map[string]customerID{},
		changes:     changeLog{limit: len(workers)},
	}
	order := make([]*Worker, len(workers))
	for i := range workers {
		order[i] = &workers[i]
	}
	slices.SortFunc(order, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	for i, worker := range order {
		if i == 0 || order[i-1].DataCentre != worker.DataCentre {
			c.dataCentres = append(c.dataCentres, nil)
		}
		if i == 0 || order[i-1].DataCentre != worker.DataCentre || order[i-1].Rack != worker.Rack {
			c.addRack(worker.Rack)
		}
		c.addNode(worker)
	}
	return c
}

func (c *cluster) addRack(name string) {
	last := len(c.dataCentres) - 1
	r := &rack{name: name, dataCentre: last}
	c.racks = append(c.racks, r)
	c.dataCentres[last] = append(c.dataCentres[last], r)
}

func (c *cluster) addNode(worker *Worker) {
	r := c.racks[len(c.racks)-1]
	size := workerSize(worker)
	n := &node{
		worker: worker, rack: r, at: len(c.nodes), changes: &c.changes,
		pace: paceOf(worker), total: size, free: size, numbers: 1<<uint(size.accelerators) - 1,
	}
	if size.accelerators == maxAccelerators {
		n.numbers = ^uint64(0)
	}
	r.nodes = append(r.nodes, n)
	c.nodes = append(c.nodes, n)
	c.byID[worker.ID] = n
	if worker.Unavailable {
		return
	}
	c.paces |= n.pace
	r.free = r.free.plus(size)
	r.total = r.total.plus(size)
	c.free = c.free.plus(size)
}

func (c *cluster) customer(name string) customerID {
	id, ok := c.customers[name]
	if !ok {
		id = customerID(len(c.names))
		c.customers[name] = id
		c.names = append(c.names, name)
	}
	return id
}

// hold counts in a job that has workers. Parts on lost workers count nowhere.
func (c *cluster) hold(job *controlpb.Job) *gang {
	g := &c.gangs.take(1)[0]
	g.job = job
	g.customer = c.customer(job.Customer)
	g.stopping = job.State == controlpb.JobState_JOB_STATE_STOPPING
	g.held = c.holdings.take(len(job.Placements))[:0]
	each := taskSize(job)
	for _, placement := range job.Placements {
		n, ok := c.byID[placement.Worker]
		if !ok {
			continue
		}
		for _, number := range placement.Accelerators {
			n.numbers &^= 1 << number
		}
		size := each
		size.accelerators = int64(len(placement.Accelerators))
		c.holdOn(n, g, size)
	}
	return g
}

func (c *cluster) holdOn(n *node, g *gang, size amount) {
	c.take(n, size)
	n.countSpread(g.job, 1)
	if last := len(g.held) - 1; last >= 0 && g.held[last].node == n {
		g.held[last].amount = g.held[last].amount.plus(size)
	} else {
		g.held = append(g.held, holding{n, size})
		n.gangs = append(n.gangs, g)
	}
	if g.stopping {
		n.endSoon(size)
		return
	}
	n.use(g.customer, size, !Preemptible(g.job))
}

// use counts size to a customer; a negative size takes it off.
func (n *node) use(customer customerID, size amount, fixed bool) {
	n.changes.add(n)
	add(&n.usedBy, customer, size)
	if fixed {
		add(&n.fixedBy, customer, size)
		n.fixed = n.fixed.plus(size)
	}
}

// take removes from what is free.
func (c *cluster) take(n *node, size amount) {
	n.changes.add(n)
	n.free = n.free.minus(size)
	if n.worker.Unavailable {
		return
	}
	n.rack.free = n.rack.free.minus(size)
	c.free = c.free.minus(size)
}

// takeSoon removes from what is free, and the rest from what is ending.
func (c *cluster) takeSoon(n *node, size amount) {
	now := size.least(n.free)
	c.take(n, now)
	n.endSoon(now.minus(size))
}

func (n *node) endSoon(size amount) {
	n.changes.add(n)
	n.ending = n.ending.plus(size)
	if !n.worker.Unavailable {
		n.rack.ending = n.rack.ending.plus(size)
	}
}

// pick gives that many free accelerator numbers, the lowest first.
func (n *node) pick(count int64) []uint32 {
	var picked []uint32
	for range count {
		number := bits.TrailingZeros64(n.numbers)
		n.numbers &^= 1 << number
		picked = append(picked, uint32(number))
	}
	return picked
}

func add(shares *[]share, customer customerID, size amount) {
	for i := range *shares {
		if (*shares)[i].customer == customer {
			(*shares)[i].amount = (*shares)[i].amount.plus(size)
			return
		}
	}
	*shares = append(*shares, share{customer, size})
}

func of(shares []share, customer customerID) amount {
	for i := range shares {
		if shares[i].customer == customer {
			return shares[i].amount
		}
	}
	return amount{}
}
