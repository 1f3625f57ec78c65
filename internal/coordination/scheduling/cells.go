package scheduling

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Cell is the capacity reserved for one guaranteed set of a customer. Its parts are
// counts, since the accelerators of one worker are interchangeable.
type Cell struct {
	Customer string
	// Set is the number of the set among all sets of the customer, over all its shapes
	// in declared order.
	Set   int
	Parts []CellPart
}

// CellPart is the part of a cell on one worker.
type CellPart struct {
	Worker       string
	Accelerators uint32
}

// guaranteedSet is one set of a customer's guarantee that needs a cell.
type guaranteedSet struct {
	customer     customerID
	set          int
	accelerators int64
	adjacency    controlpb.Adjacency
}

// placedCell is a guaranteed set with the nodes its cell lies on.
type placedCell struct {
	set   guaranteedSet
	parts []cellShare
}

type cellShare struct {
	node  *node
	count int64
}

// acceleratorEquivalent returns how many accelerators of the node the use occupies,
// where cores and memory count by each accelerator's share of the worker: an
// accelerator whose cores are taken is of no use to a guarantee.
func (n *node) acceleratorEquivalent(use resources) int64 {
	total := n.total.accelerators
	equivalent := use.accelerators
	if n.total.cores > 0 {
		equivalent = max(equivalent, ceilDiv(use.cores*total, n.total.cores))
	}
	if n.total.memory > 0 {
		equivalent = max(equivalent, ceilDiv(use.memory*total, n.total.memory))
	}
	return equivalent
}

func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }

// spareForCells returns how many accelerators the node has for further cells, beyond
// those reserved on it now; negative if it has too few for these. Each customer
// occupies its cells or its non-preemptible work, whichever is more.
//
// Each customer's equivalent is computed before summing. Computing the equivalent of
// the sum would let one customer's cores be hidden by another's accelerators, and the
// first one's cell would be given away.
func (n *node) spareForCells() int64 {
	spare := n.total.accelerators
	for _, cell := range n.cells {
		spare -= max(cell.resources.accelerators, n.acceleratorEquivalent(shareOf(n.nonPreemptibleBy, cell.customer)))
	}
	for _, other := range n.nonPreemptibleBy {
		if !slices.ContainsFunc(n.cells, func(s share) bool { return s.customer == other.customer }) {
			spare -= n.acceleratorEquivalent(other.resources)
		}
	}
	return spare
}

// cellsReclaimable reports whether all cells of the node can be reclaimed at once. With
// no spare accelerators that still holds if every cell is filled by its own customer's
// non-preemptible work and what that work uses beyond the cell covers the deficit: once
// it ends, the cell has to be complete again. Work that is only pinned for this pass
// doesn't count, as it need not lie in its customer's cell.
func (n *node) cellsReclaimable() bool {
	spare := n.spareForCells()
	if spare >= 0 {
		return true
	}
	for _, cell := range n.cells {
		if n.cellGrowth(cell.customer, spare) < 0 {
			return false
		}
	}
	return true
}

// cellGrowth returns by how many accelerators the customer's cells could grow while its
// non-preemptible work still fills them and covers the deficit (a negative spare).
func (n *node) cellGrowth(customer customerID, spare int64) int64 {
	inCells := shareOf(n.cells, customer).accelerators
	return min(n.committed(customer), n.acceleratorEquivalent(shareOf(n.nonPreemptibleBy, customer))+spare) - inCells
}

// committed returns the accelerators that the customer's non-preemptible work holds on
// the node, without work that is only pinned for this pass.
func (n *node) committed(customer customerID) int64 {
	return shareOf(n.nonPreemptibleBy, customer).minus(shareOf(n.pinnedBy, customer)).accelerators
}

// capacityForCell returns how many more accelerators of the node a cell of the customer
// may take.
func (n *node) capacityForCell(customer customerID) int64 {
	if n.worker.Unavailable || n.worker.OnlyFor != "" || n.total.accelerators == 0 {
		return 0
	}
	spare := n.spareForCells()
	if spare >= 0 {
		inCells := shareOf(n.cells, customer).accelerators
		return spare + max(0, n.acceleratorEquivalent(shareOf(n.nonPreemptibleBy, customer))-inCells)
	}
	if !n.cellsReclaimable() {
		return 0
	}
	return max(0, n.cellGrowth(customer, spare))
}

// unclaimed returns how many accelerators the customer's cells reserve on the node
// beyond what the customer itself uses or has reserved there.
func (n *node) unclaimed(customer customerID) int64 {
	used := shareOf(n.usedBy, customer).accelerators + shareOf(n.cellClaims, customer).accelerators
	return max(0, shareOf(n.cells, customer).accelerators-used)
}

// allowsNonPreemptible reports whether all cells of the node stay reclaimable with
// additional non-preemptible work of that size.
func (n *node) allowsNonPreemptible(customer customerID, size resources) bool {
	if len(n.cells) == 0 {
		return true
	}
	n.addNonPreemptible(customer, size)
	reclaimable := n.cellsReclaimable()
	n.addNonPreemptible(customer, resources{}.minus(size))
	return reclaimable
}

func (n *node) addNonPreemptible(customer customerID, size resources) {
	addShare(&n.nonPreemptibleBy, customer, size)
	n.nonPreemptible = n.nonPreemptible.plus(size)
}

// keepCell reserves that many accelerators for a cell; a negative count releases them.
func (n *node) keepCell(customer customerID, count int64) {
	n.changes.add(n)
	addShare(&n.cells, customer, resources{accelerators: count})
}

// guaranteedSets lists every set of every customer, the hardest to place first: by
// narrower adjacency, then by size.
func (p *pass) guaranteedSets() []guaranteedSet {
	var sets []guaranteedSet
	for _, name := range sortedNames(p.snapshot.Customers) {
		number := 0
		for _, shape := range p.snapshot.Customers[name].Guarantee {
			for range shape.Sets {
				sets = append(sets, guaranteedSet{p.cluster.customer(name), number, int64(shape.Accelerators), shape.Adjacency})
				number++
			}
		}
	}
	slices.SortStableFunc(sets, func(a, b guaranteedSet) int {
		if byWidth := width(a.adjacency) - width(b.adjacency); byWidth != 0 {
			return byWidth
		}
		return int(b.accelerators - a.accelerators)
	})
	return sets
}

func width(adjacency controlpb.Adjacency) int {
	switch adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return 0
	case controlpb.Adjacency_ADJACENCY_RACK:
		return 1
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return 2
	}
	return 3
}

// assignCells assigns a cell to every guaranteed set: the one of the previous plan
// where that is still valid, otherwise a new one.
func (p *pass) assignCells() {
	sets := p.guaranteedSets()
	var unplaced []guaranteedSet
	previous := p.previousCells()
	for _, set := range sets {
		if !p.cluster.restoreCell(set, previous[cellKey{set.customer, set.set}]) {
			unplaced = append(unplaced, set)
		}
	}
	unmet := p.cluster.placeCells(unplaced)
	if len(unmet) > 0 && p.repack(sets, len(unmet)) {
		return
	}
	for _, set := range unmet {
		p.plan.Unmet = append(p.plan.Unmet, p.cluster.unmet(set))
	}
}

func (c *cluster) unmet(set guaranteedSet) Unmet {
	return Unmet{c.names[set.customer], set.set, uint32(set.accelerators), set.adjacency}
}

// repack searches a place for all sets together when keeping the previous cells leaves
// some sets unplaced: the previous cells may be what blocks them.
func (p *pass) repack(sets []guaranteedSet, unmet int) bool {
	before := p.cluster.clearCells()
	unplaced := p.cluster.searchCells(sets)
	if len(unplaced) >= unmet {
		p.cluster.clearCells()
		p.cluster.restoreCells(before)
		return false
	}
	for _, set := range unplaced {
		p.plan.Unmet = append(p.plan.Unmet, p.cluster.unmet(set))
	}
	return true
}

type cellKey struct {
	customer customerID
	set      int
}

func (p *pass) previousCells() map[cellKey]*Cell {
	previous := make(map[cellKey]*Cell, len(p.snapshot.Cells))
	for i := range p.snapshot.Cells {
		cell := &p.snapshot.Cells[i]
		previous[cellKey{p.cluster.customer(cell.Customer), cell.Set}] = cell
	}
	return previous
}

// restoreCell keeps a cell of the previous plan if its workers still exist, its size is
// the declared one, its parts are adjacent, and non-preemptible work leaves it
// reclaimable.
func (c *cluster) restoreCell(set guaranteedSet, cell *Cell) bool {
	if cell == nil {
		return false
	}
	var parts []cellShare
	var sum int64
	for _, part := range cell.Parts {
		n, ok := c.byID[part.Worker]
		if !ok || n.capacityForCell(set.customer) < int64(part.Accelerators) {
			return false
		}
		parts = append(parts, cellShare{n, int64(part.Accelerators)})
		sum += int64(part.Accelerators)
	}
	if sum != set.accelerators || !adjacent(parts, set.adjacency) {
		return false
	}
	c.addCell(placedCell{set, parts})
	return true
}

func adjacent(parts []cellShare, adjacency controlpb.Adjacency) bool {
	first := parts[0].node
	for _, part := range parts[1:] {
		if !withinAdjacency(first, part.node, adjacency) {
			return false
		}
	}
	return true
}

func withinAdjacency(a, b *node, adjacency controlpb.Adjacency) bool {
	switch adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return a == b
	case controlpb.Adjacency_ADJACENCY_RACK:
		return a.rack == b.rack
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return a.rack.dataCentre == b.rack.dataCentre
	}
	return true
}

func (c *cluster) addCell(cell placedCell) {
	for _, part := range cell.parts {
		part.node.keepCell(cell.set.customer, part.count)
	}
	c.cells = append(c.cells, cell)
}

func (c *cluster) restoreCells(cells []placedCell) {
	for _, cell := range cells {
		c.addCell(cell)
	}
}

// clearCells removes every cell and returns those removed.
func (c *cluster) clearCells() []placedCell {
	before := c.cells
	for _, cell := range before {
		for _, part := range cell.parts {
			part.node.changes.add(part.node)
			part.node.cells = nil
		}
	}
	c.cells = nil
	return before
}

func (c *cluster) cellList() []Cell {
	cells := make([]Cell, len(c.cells))
	for i, placed := range c.cells {
		cells[i] = Cell{Customer: c.names[placed.set.customer], Set: placed.set.set}
		for _, part := range placed.parts {
			cells[i].Parts = append(cells[i].Parts, CellPart{part.node.worker.ID, uint32(part.count)})
		}
	}
	return cells
}
