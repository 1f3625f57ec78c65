package scheduling

// maxCellMoves bounds the searches that one pass makes for fixed work that
// stands before cells; the next pass goes on.
const maxCellMoves = 4

// startByMovingCells gives fixed work the room of cells that can be kept
// elsewhere. Without it a cell that happens to lie in the only rack with room
// would hold back work for ever.
func (p *pass) startByMovingCells(a *ask) bool {
	if !a.fixed || p.cellMoves == maxCellMoves {
		return false
	}
	spots := p.cluster.fit(a, roomWithoutCells)
	if spots == nil {
		return false
	}
	p.cellMoves++
	before := p.cluster.clearCells()
	use(a, spots, 1)
	if p.cluster.keepAll(before) {
		use(a, spots, -1)
		p.assign(a, spots)
		return true
	}
	p.cluster.clearCells()
	use(a, spots, -1)
	p.cluster.restoreCells(before)
	return false
}

func use(a *ask, spots []spot, sign int64) {
	for _, s := range spots {
		s.node.use(a.customer, a.each.times(sign*s.tasks), a.fixed)
	}
}

// keepAll finds a place for every set of those cells: the earlier place where
// it still holds, else any.
func (c *cluster) keepAll(before []placedCell) bool {
	var sets, homeless []guaranteedSet
	for _, cell := range before {
		sets = append(sets, cell.set)
		if c.holds(cell) {
			c.addCell(cell)
		} else {
			homeless = append(homeless, cell.set)
		}
	}
	if len(c.placeCells(homeless)) == 0 {
		return true
	}
	c.clearCells()
	return len(c.searchCells(sets)) == 0
}

func (c *cluster) holds(cell placedCell) bool {
	for _, part := range cell.parts {
		if part.node.roomForCell(cell.set.customer) < part.count {
			return false
		}
	}
	return true
}
