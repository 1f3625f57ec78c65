package scheduling

// maxCellMoves limits how many searches one pass makes to move cells out of the way of
// non-preemptible work; the next pass continues.
const maxCellMoves = 4

// startByMovingCells starts non-preemptible work on capacity reserved for cells that
// can be placed elsewhere. Without it a cell that happens to lie in the only rack with
// enough free capacity would block the work indefinitely.
func (p *pass) startByMovingCells(req *request) bool {
	if !req.nonPreemptible || p.cellMoves == maxCellMoves {
		return false
	}
	placement := p.cluster.findPlacement(req, capacityIgnoringCells)
	if placement == nil {
		return false
	}
	p.cellMoves++
	before := p.cluster.clearCells()
	useNodes(req, placement, 1)
	if p.cluster.restoreOrMoveCells(before) {
		useNodes(req, placement, -1)
		p.assign(req, placement)
		return true
	}
	p.cluster.clearCells()
	useNodes(req, placement, -1)
	p.cluster.restoreCells(before)
	return false
}

func useNodes(req *request, placement []nodeTasks, sign int64) {
	for _, part := range placement {
		part.node.use(req.customer, req.perTask.times(sign*part.tasks), req.nonPreemptible)
	}
}

// restoreOrMoveCells finds a place for the set of every given cell: the previous place
// where it is still valid, otherwise any. It reports whether all sets have one.
func (c *cluster) restoreOrMoveCells(before []placedCell) bool {
	var sets, unplaced []guaranteedSet
	for _, cell := range before {
		sets = append(sets, cell.set)
		if c.cellStillFits(cell) {
			c.addCell(cell)
		} else {
			unplaced = append(unplaced, cell.set)
		}
	}
	if len(c.placeCells(unplaced)) == 0 {
		return true
	}
	c.clearCells()
	return len(c.searchCells(sets)) == 0
}

func (c *cluster) cellStillFits(cell placedCell) bool {
	for _, part := range cell.parts {
		if part.node.capacityForCell(cell.set.customer) < part.count {
			return false
		}
	}
	return true
}
