package scheduling

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// customerID is the number of a customer within one pass.
type customerID int

// node is a worker with the resources allocated on it.
type node struct {
	worker *Worker
	rack   *rack
	// index is its position in topology order.
	index int
	// changes is the cluster's change log. Every change to something that the node's
	// capacity depends on is recorded there.
	changes *changeLog
	total   resources
	// free is allocated to no task and promised to no job in this pass.
	free resources
	// releasing is held by gangs that are being stopped.
	releasing resources
	// reserved is withheld for reservations; cellClaims are the parts of these that lie
	// in the customers' own cells.
	reserved   resources
	cellClaims []share
	// freeMask has a bit for each accelerator that no task holds.
	freeMask uint64
	// isolationPassed is set once this pass has given the node work although it is kept for another job.
	isolationPassed bool
	// probed is set once this pass has given the node work although it is quarantined.
	probed bool
	// nonPreemptible is held by work that can't be preempted, in total and by customer.
	nonPreemptible   resources
	nonPreemptibleBy []share
	// pinnedBy is the part of nonPreemptibleBy that counts as non-preemptible in this
	// pass only.
	pinnedBy []share
	usedBy   []share
	cells    []share
	gangs    []*gang
	// speed is the worker's speed class.
	speed speedClass
	// relativeSpeed is the worker's speed, 1 if it is unknown, and logSpeed its logarithm.
	relativeSpeed, logSpeed float64
	// warm is set where free capacity is kept for urgent work.
	warm bool
	// stepTasks counts tasks by workflow step, for jobs with a spread limit.
	stepTasks map[stepKey]int64
}

// share is what one customer holds of a node.
type share struct {
	customer  customerID
	resources resources
}

// rack holds the sums of its nodes, so that most racks can be ruled out without
// examining their nodes.
type rack struct {
	name       string
	dataCentre int
	nodes      []*node
	free       resources
	releasing  resources
	total      resources
	// bySpeed has the nodes, the fastest first; nil until it is needed.
	bySpeed []*node
}

// gang is a job that has workers allocated.
type gang struct {
	job      *controlpb.Job
	customer customerID
	stopping bool
	// preempted is set on gangs that this pass chose to stop.
	preempted   bool
	allocations []allocation
	// lostWork is the work discarded by stopping the gang now, in accelerator-seconds.
	lostWork float64
	// remainingSeconds is the expected time until it ends by itself.
	remainingSeconds float64
	// class caches interferenceClass.
	class string
}

type allocation struct {
	node      *node
	resources resources
}

// cluster is the index of workers and allocations that one pass works on.
type cluster struct {
	nodes       []*node
	byID        map[string]*node
	racks       []*rack
	dataCentres [][]*rack
	// byAdjacency caches the domains by adjacency: the topology doesn't change within a
	// pass.
	byAdjacency map[controlpb.Adjacency][]*domain
	customers   map[string]customerID
	names       []string
	cells       []placedCell
	// speeds is the set of speed classes of the available workers; empty where speed
	// doesn't matter.
	speeds speedClass
	// hasEvacuated is set if workers are unavailable because of an evacuation.
	hasEvacuated bool
	// expectedEnd is set where placements are chosen by their expected end, bySpeed has the
	// nodes, the fastest first, and scratch is reused by bestWindow.
	expectedEnd bool
	bySpeed     []*node
	scratch     []nodeTasks

	free    resources
	changes changeLog
	// gangSlab and allocationSlab allocate the gangs and allocations of the index.
	gangSlab       slab[gang]
	allocationSlab slab[allocation]
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
		worker: worker, rack: r, index: len(c.nodes), changes: &c.changes,
		speed: speedClassOf(worker), total: size, free: size, freeMask: 1<<uint(size.accelerators) - 1,
	}
	n.relativeSpeed = usableSpeed(worker.Speed)
	n.logSpeed = math.Log(n.relativeSpeed)
	if size.accelerators == maxAccelerators {
		n.freeMask = ^uint64(0)
	}
	r.nodes = append(r.nodes, n)
	c.nodes = append(c.nodes, n)
	c.byID[worker.ID] = n
	c.hasEvacuated = c.hasEvacuated || worker.Evacuated
	if worker.Unavailable {
		return
	}
	c.speeds |= n.speed
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

// addGang adds a job that has workers to the index. Placements on workers that are no
// longer known are ignored, and so are members whose end the log records: their worker has
// reported it, and their cores and memory are free while the job waits for the others.
func (c *cluster) addGang(job *controlpb.Job) *gang {
	g := &c.gangSlab.alloc(1)[0]
	g.job = job
	g.customer = c.customer(job.Customer)
	g.stopping = job.State == controlpb.JobState_JOB_STATE_STOPPING
	g.allocations = c.allocationSlab.alloc(len(job.Placements))[:0]
	perTask := taskSize(job)
	for _, placement := range job.Placements {
		n, ok := c.byID[placement.Worker]
		if !ok || memberEnded(job, placement.Task) {
			continue
		}
		for _, number := range placement.Accelerators {
			n.freeMask &^= 1 << number
		}
		size := perTask
		size.accelerators = int64(len(placement.Accelerators))
		c.allocateToGang(n, g, size)
	}
	return g
}

// memberEnded reports whether the log records that the member no longer runs.
func memberEnded(job *controlpb.Job, task uint32) bool {
	if slices.Contains(job.DoneTasks, task) {
		return true
	}
	return slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool { return t.Task == task })
}

func (c *cluster) allocateToGang(n *node, g *gang, size resources) {
	c.allocate(n, size)
	n.countStepTasks(g.job, 1)
	if last := len(g.allocations) - 1; last >= 0 && g.allocations[last].node == n {
		g.allocations[last].resources = g.allocations[last].resources.plus(size)
	} else {
		g.allocations = append(g.allocations, allocation{n, size})
		n.gangs = append(n.gangs, g)
	}
	if g.stopping {
		n.addReleasing(size)
		return
	}
	n.use(g.customer, size, !Preemptible(g.job))
}

// use adds size to what the customer uses on the node; a negative size subtracts.
func (n *node) use(customer customerID, size resources, nonPreemptible bool) {
	n.changes.add(n)
	addShare(&n.usedBy, customer, size)
	if nonPreemptible {
		addShare(&n.nonPreemptibleBy, customer, size)
		n.nonPreemptible = n.nonPreemptible.plus(size)
	}
}

// allocate removes size from the free resources.
func (c *cluster) allocate(n *node, size resources) {
	n.changes.add(n)
	n.free = n.free.minus(size)
	if n.worker.Unavailable {
		return
	}
	n.rack.free = n.rack.free.minus(size)
	c.free = c.free.minus(size)
}

// allocateFreeOrReleasing takes size from the free resources, and the rest from those
// being released.
func (c *cluster) allocateFreeOrReleasing(n *node, size resources) {
	fromFree := size.elementMin(n.free)
	c.allocate(n, fromFree)
	n.addReleasing(fromFree.minus(size))
}

func (n *node) addReleasing(size resources) {
	n.changes.add(n)
	n.releasing = n.releasing.plus(size)
	if !n.worker.Unavailable {
		n.rack.releasing = n.rack.releasing.plus(size)
	}
}

// takeAccelerators allocates that many free accelerators and returns their numbers, the
// lowest first.
func (n *node) takeAccelerators(count int64) []uint32 {
	var picked []uint32
	for range count {
		number := bits.TrailingZeros64(n.freeMask)
		n.freeMask &^= 1 << number
		picked = append(picked, uint32(number))
	}
	return picked
}

func addShare(shares *[]share, customer customerID, size resources) {
	for i := range *shares {
		if (*shares)[i].customer == customer {
			(*shares)[i].resources = (*shares)[i].resources.plus(size)
			return
		}
	}
	*shares = append(*shares, share{customer, size})
}

func shareOf(shares []share, customer customerID) resources {
	for i := range shares {
		if shares[i].customer == customer {
			return shares[i].resources
		}
	}
	return resources{}
}
