package scheduling

// domain is a group of nodes, in topology order, within which a gang or set is adjacent.
type domain struct {
	nodes []*node
	// cheapest is what cheapestFirst gives, once asked for.
	cheapest []*gang
	// tallies are kept from one ask to the next of the same kind.
	tallies map[tallyKey]*tally
}

// tally counts the tasks that a domain takes, node by node. It is kept for the next ask
// of its kind, and then looks only at the nodes that changed in between: counted afresh
// for each urgent ask, a pass would grow with the square of the workers.
type tally struct {
	ask  *ask
	room room
	// nodes are the cluster's from the domain's first to its last, tasks the count of
	// each, or outside.
	nodes []*node
	tasks []int64
	sum   int64
	// seen is up to where the cluster's changes are counted in.
	seen changeMark
}

// outside marks a node between the domain's first and last that is not of the domain.
const outside = -1

// tallyKey is what the room of a node depends on beside the node itself.
type tallyKey struct {
	shape       shapeKey
	spreadLimit uint32
	// yields is set for work that leaves warm room to urgent work.
	yields bool
}

func (a *ask) tallyKey() tallyKey {
	return tallyKey{a.waitKey(), a.job.SpreadLimit, a.yieldsWarmRoom()}
}

// tally counts the domain for an ask. The same room must be asked for in all calls.
func (d *domain) tally(c *cluster, a *ask, room room) *tally {
	key := a.tallyKey()
	t, kept := d.tallies[key]
	if !kept {
		t = newTally(c, d, room)
		if d.tallies == nil {
			d.tallies = map[tallyKey]*tally{}
		}
		d.tallies[key] = t
	}
	t.ask = a
	if changed, known := c.changes.since(t.seen); kept && known && len(changed) < len(d.nodes) {
		t.recount(changed)
	} else {
		t.recount(d.nodes)
	}
	t.seen = c.changes.now()
	return t
}

func newTally(c *cluster, d *domain, room room) *tally {
	first, last := d.nodes[0].at, d.nodes[len(d.nodes)-1].at
	t := &tally{room: room, nodes: c.nodes[first : last+1], tasks: make([]int64, last+1-first)}
	if len(t.nodes) == len(d.nodes) {
		return t
	}
	for i := range t.tasks {
		t.tasks[i] = outside
	}
	for _, n := range d.nodes {
		t.tasks[n.at-first] = 0
	}
	return t
}

// count gives the place of a node's count, or nil if it is not of the domain.
func (t *tally) count(n *node) *int64 {
	i := n.at - t.nodes[0].at
	if i < 0 || i >= len(t.tasks) || t.tasks[i] == outside {
		return nil
	}
	return &t.tasks[i]
}

func (t *tally) has(n *node) bool { return t.count(n) != nil }

func (t *tally) fits() bool { return t.sum >= t.ask.tasks }

func (t *tally) recount(nodes []*node) {
	for _, n := range nodes {
		t.recountNode(n)
	}
}

func (t *tally) recountGang(g *gang) {
	for _, h := range g.held {
		t.recountNode(h.node)
	}
}

func (t *tally) recountNode(n *node) {
	count := t.count(n)
	if count == nil {
		return
	}
	before := *count
	*count = t.room(n, t.ask)
	t.sum += *count - before
}

// spots places the whole ask, which fits. It allocates for the nodes that have room only:
// in a busy cluster they are few.
func (t *tally) spots() []spot {
	var candidates []spot
	for i, tasks := range t.tasks {
		if tasks > 0 {
			candidates = append(candidates, spot{t.nodes[i], tasks})
		}
	}
	return tightest(candidates, t.ask.tasks)
}
