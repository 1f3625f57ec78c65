package scheduling

// domain is a group of nodes, in topology order, within which a gang or set satisfies
// its adjacency.
type domain struct {
	nodes []*node
	// cheapest caches the result of cheapestFirst.
	cheapest []*gang
	// tallies are cached for further requests of the same kind.
	tallies map[tallyKey]*tally
}

// tally counts, node by node, the tasks that a domain can take. It is cached for the
// next request of its kind, and then updated only for the nodes that changed in
// between. With a full recount for each urgent request, the cost of a pass would grow
// with the square of the number of workers.
type tally struct {
	request  *request
	capacity capacityFunc
	// nodes are the cluster's from the domain's first to its last; tasks has the count
	// of each, or notInDomain.
	nodes []*node
	tasks []int64
	sum   int64
	// counted is the position up to which the cluster's changes are included.
	counted changeMark
}

// notInDomain marks a node between the domain's first and last that isn't part of the
// domain.
const notInDomain = -1

// tallyKey is what a node's capacity depends on besides the node itself.
type tallyKey struct {
	shape       shapeKey
	spreadLimit uint32
	// avoidsWarmNodes is set for work that leaves capacity kept warm to urgent work.
	avoidsWarmNodes bool
	limit           speedLimit
}

func (req *request) tallyKey() tallyKey {
	return tallyKey{req.waitKey(), req.job.SpreadLimit, req.avoidsWarmNodes(), req.limit}
}

// tally returns the up-to-date count of the domain for a request. All calls must use
// the same capacity function.
func (d *domain) tally(c *cluster, req *request, capacity capacityFunc) *tally {
	key := req.tallyKey()
	t, cached := d.tallies[key]
	if !cached {
		t = newTally(c, d, capacity)
		if d.tallies == nil {
			d.tallies = map[tallyKey]*tally{}
		}
		d.tallies[key] = t
	}
	t.request = req
	if changed, known := c.changes.since(t.counted); cached && known && len(changed) < len(d.nodes) {
		t.recount(changed)
	} else {
		t.recount(d.nodes)
	}
	t.counted = c.changes.mark()
	return t
}

func newTally(c *cluster, d *domain, capacity capacityFunc) *tally {
	first, last := d.nodes[0].index, d.nodes[len(d.nodes)-1].index
	t := &tally{capacity: capacity, nodes: c.nodes[first : last+1], tasks: make([]int64, last+1-first)}
	if len(t.nodes) == len(d.nodes) {
		return t
	}
	for i := range t.tasks {
		t.tasks[i] = notInDomain
	}
	for _, n := range d.nodes {
		t.tasks[n.index-first] = 0
	}
	return t
}

// count returns a pointer to a node's count, or nil if the node isn't in the domain.
func (t *tally) count(n *node) *int64 {
	i := n.index - t.nodes[0].index
	if i < 0 || i >= len(t.tasks) || t.tasks[i] == notInDomain {
		return nil
	}
	return &t.tasks[i]
}

func (t *tally) contains(n *node) bool { return t.count(n) != nil }

func (t *tally) fits() bool { return t.sum >= t.request.tasks }

func (t *tally) recount(nodes []*node) {
	for _, n := range nodes {
		t.recountNode(n)
	}
}

func (t *tally) recountGang(g *gang) {
	for _, h := range g.allocations {
		t.recountNode(h.node)
	}
}

func (t *tally) recountNode(n *node) {
	count := t.count(n)
	if count == nil {
		return
	}
	before := *count
	*count = t.capacity(n, t.request)
	t.sum += *count - before
}

// placement places the whole request, which must fit. It allocates only for the nodes
// that have capacity; in a busy cluster these are few.
func (t *tally) placement() []nodeTasks {
	var candidates []nodeTasks
	for i, tasks := range t.tasks {
		if tasks > 0 {
			candidates = append(candidates, nodeTasks{t.nodes[i], tasks})
		}
	}
	return tightestFit(candidates, t.request.tasks)
}
