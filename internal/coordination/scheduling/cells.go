package scheduling

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Cell is the place kept for one guaranteed set of a customer. Its parts are
// counts: accelerators of one worker are alike.
type Cell struct {
	Customer string
	// Set counts the customer's sets over all its shapes, in declared order.
	Set   int
	Parts []CellPart
}

// CellPart is what a cell has of one worker.
type CellPart struct {
	Worker       string
	Accelerators uint32
}

// guaranteedSet is one set to find a cell for.
type guaranteedSet struct {
	customer     customerID
	set          int
	accelerators int64
	adjacency    controlpb.Adjacency
}

// placedCell is a set with its place.
type placedCell struct {
	set   guaranteedSet
	parts []cellShare
}

type cellShare struct {
	node  *node
	count int64
}

// equivalents is the accelerators that use takes from the node, counting cores
// and memory by each accelerator's share of the worker: an accelerator whose
// cores are gone is no use to a guarantee.
func (n *node) equivalents(use amount) int64 {
	all := n.total.accelerators
	most := use.accelerators
	if n.total.cores > 0 {
		most = max(most, ceilDiv(use.cores*all, n.total.cores))
	}
	if n.total.memory > 0 {
		most = max(most, ceilDiv(use.memory*all, n.total.memory))
	}
	return most
}

func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }

// spareForCells is how many accelerators the node has for cells beyond those
// kept on it now: each customer occupies its cells or its fixed work, whichever
// is more.
//
// Customers are summed by their own equivalents: taking the equivalents of the
// sum instead would let one customer's cores hide behind another's accelerators
// and give the first one's cell away.
func (n *node) spareForCells() int64 {
	spare := n.total.accelerators
	for _, cell := range n.cells {
		spare -= max(cell.amount.accelerators, n.equivalents(of(n.fixedBy, cell.customer)))
	}
	for _, fixed := range n.fixedBy {
		if !slices.ContainsFunc(n.cells, func(s share) bool { return s.customer == fixed.customer }) {
			spare -= n.equivalents(fixed.amount)
		}
	}
	return spare
}

// cellsWhole tells whether all cells of the node can be taken back at once.
// With nothing to spare that still holds if every cell is used by its own
// customer's fixed work, and what that work uses beyond the cell covers the
// lack: when it ends, the cell must be whole again. Work that counts as fixed
// in this pass only is not in its cell for sure.
func (n *node) cellsWhole() bool {
	spare := n.spareForCells()
	if spare >= 0 {
		return true
	}
	for _, cell := range n.cells {
		if n.excess(cell.customer, spare) < 0 {
			return false
		}
	}
	return true
}

// excess is how much larger the customer's cells could be while its fixed work
// still fills them and covers the lack.
func (n *node) excess(customer customerID, spare int64) int64 {
	kept := of(n.cells, customer).accelerators
	return min(n.claimed(customer), n.equivalents(of(n.fixedBy, customer))+spare) - kept
}

// claimed is what the customer's fixed work surely holds of the node.
func (n *node) claimed(customer customerID) int64 {
	return of(n.fixedBy, customer).minus(of(n.firmBy, customer)).accelerators
}

// roomForCell is how many more accelerators of the node a cell may take.
func (n *node) roomForCell(customer customerID) int64 {
	if n.worker.Unavailable || n.total.accelerators == 0 {
		return 0
	}
	spare := n.spareForCells()
	if spare >= 0 {
		kept := of(n.cells, customer).accelerators
		return spare + max(0, n.equivalents(of(n.fixedBy, customer))-kept)
	}
	if !n.cellsWhole() {
		return 0
	}
	return max(0, n.excess(customer, spare))
}

// unclaimed is what the customer's cells keep on the node beyond its own use.
func (n *node) unclaimed(customer customerID) int64 {
	used := of(n.usedBy, customer).accelerators + of(n.claims, customer).accelerators
	return max(0, of(n.cells, customer).accelerators-used)
}

// takesFixed tells whether fixed work of that size leaves every cell of the
// node whole.
func (n *node) takesFixed(customer customerID, size amount) bool {
	if len(n.cells) == 0 {
		return true
	}
	n.addFixed(customer, size)
	whole := n.cellsWhole()
	n.addFixed(customer, amount{}.minus(size))
	return whole
}

func (n *node) addFixed(customer customerID, size amount) {
	add(&n.fixedBy, customer, size)
	n.fixed = n.fixed.plus(size)
}

// keepCell keeps that many accelerators for a cell; a negative count takes them off.
func (n *node) keepCell(customer customerID, count int64) {
	n.changes.add(n)
	add(&n.cells, customer, amount{accelerators: count})
}

// guaranteedSets lists every set of every customer, the hardest to place first.
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

// keepCells gives every guaranteed set a cell: the one it had, where that still
// holds, else a new one.
func (p *pass) keepCells() {
	sets := p.guaranteedSets()
	var homeless []guaranteedSet
	had := p.earlierCells()
	for _, set := range sets {
		if !p.cluster.restoreCell(set, had[cellKey{set.customer, set.set}]) {
			homeless = append(homeless, set)
		}
	}
	left := p.cluster.placeCells(homeless)
	if len(left) > 0 && p.repack(sets, len(left)) {
		return
	}
	for _, set := range left {
		p.plan.Unmet = append(p.plan.Unmet, p.cluster.unmet(set))
	}
}

func (c *cluster) unmet(set guaranteedSet) Unmet {
	return Unmet{c.names[set.customer], set.set, uint32(set.accelerators), set.adjacency}
}

// repack looks for a place for all sets at once, when keeping the earlier cells
// leaves some without: the earlier ones may stand in their way.
func (p *pass) repack(sets []guaranteedSet, unmet int) bool {
	before := p.cluster.clearCells()
	left := p.cluster.searchCells(sets)
	if len(left) >= unmet {
		p.cluster.clearCells()
		p.cluster.restoreCells(before)
		return false
	}
	for _, set := range left {
		p.plan.Unmet = append(p.plan.Unmet, p.cluster.unmet(set))
	}
	return true
}

type cellKey struct {
	customer customerID
	set      int
}

func (p *pass) earlierCells() map[cellKey]*Cell {
	had := make(map[cellKey]*Cell, len(p.snapshot.Cells))
	for i := range p.snapshot.Cells {
		cell := &p.snapshot.Cells[i]
		had[cellKey{p.cluster.customer(cell.Customer), cell.Set}] = cell
	}
	return had
}

// restoreCell keeps an earlier cell if its workers are there, its size is the
// declared one and fixed work leaves it whole.
func (c *cluster) restoreCell(set guaranteedSet, cell *Cell) bool {
	if cell == nil {
		return false
	}
	var parts []cellShare
	var sum int64
	for _, part := range cell.Parts {
		n, ok := c.byID[part.Worker]
		if !ok || n.roomForCell(set.customer) < int64(part.Accelerators) {
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
		if !near(first, part.node, adjacency) {
			return false
		}
	}
	return true
}

func near(a, b *node, adjacency controlpb.Adjacency) bool {
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

// clearCells removes every cell and gives what they were.
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
