package scheduling

import (
	"cmp"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Bounds of the search for cells. Packing sets into racks is bin packing; a
// search that gives up reports sets as unmet although a place may exist, and
// never claims a place that doesn't.
const (
	// searchBranches is how many places are tried for one set.
	searchBranches = 3
	// searchVisits bounds the nodes looked at by one search.
	searchVisits = 200_000
)

// cellChoice is one domain that a set could be kept in.
type cellChoice struct {
	nodes []*node
	// own is how much of the set the customer uses there already.
	own  int64
	room int64
}

// placeCells gives each set the best place by itself, and lists those left.
func (c *cluster) placeCells(sets []guaranteedSet) []guaranteedSet {
	var left []guaranteedSet
	for _, set := range sets {
		choices := c.cellChoices(set)
		if len(choices) == 0 {
			left = append(left, set)
			continue
		}
		c.addCell(placedCell{set, fillCell(set, choices[0].nodes)})
	}
	return left
}

// searchCells looks for a place for all sets together, from none, and falls
// back to placing each by itself. It lists the sets left.
func (c *cluster) searchCells(sets []guaranteedSet) []guaranteedSet {
	visits := searchVisits
	if c.search(sets, &visits) {
		return nil
	}
	c.clearCells()
	return c.placeCells(sets)
}

func (c *cluster) search(sets []guaranteedSet, visits *int) bool {
	if len(sets) == 0 {
		return true
	}
	*visits -= len(c.nodes)
	if *visits < 0 {
		return false
	}
	choices := c.cellChoices(sets[0])
	for _, choice := range choices[:min(len(choices), searchBranches)] {
		c.addCell(placedCell{sets[0], fillCell(sets[0], choice.nodes)})
		if c.search(sets[1:], visits) {
			return true
		}
		c.dropLastCell()
	}
	return false
}

func (c *cluster) dropLastCell() {
	last := len(c.cells) - 1
	cell := c.cells[last]
	c.cells = c.cells[:last]
	for _, part := range cell.parts {
		part.node.keepCell(cell.set.customer, -part.count)
	}
}

// cellChoices lists the domains with room for the set, the best first: where
// the customer's own work runs, then where the least room is left over.
func (c *cluster) cellChoices(set guaranteedSet) []cellChoice {
	var choices []cellChoice
	for _, domain := range c.domains(set.adjacency) {
		choice := cellChoice{nodes: domain.nodes}
		for _, n := range domain.nodes {
			room := n.roomForCell(set.customer)
			choice.room += room
			choice.own += min(room, of(n.usedBy, set.customer).accelerators)
		}
		if choice.room >= set.accelerators {
			choice.own = min(choice.own, set.accelerators)
			choices = append(choices, choice)
		}
	}
	slices.SortStableFunc(choices, func(a, b cellChoice) int {
		return cmp.Or(cmp.Compare(b.own, a.own), cmp.Compare(a.room, b.room))
	})
	return choices
}

// domains lists the groups of nodes within which a gang or set is adjacent.
func (c *cluster) domains(adjacency controlpb.Adjacency) []*domain {
	domains, known := c.byAdjacency[adjacency]
	if !known {
		domains = groups(c.nodes, adjacency)
		c.byAdjacency[adjacency] = domains
	}
	return domains
}

// fillCell divides a set over nodes with room for it: where the customer's work
// runs first, then the least room that is enough, else the most room.
func fillCell(set guaranteedSet, nodes []*node) []cellShare {
	type candidate struct{ own, room int64 }
	candidates := map[*node]candidate{}
	order := make([]*node, 0, len(nodes))
	for _, n := range nodes {
		if room := n.roomForCell(set.customer); room > 0 {
			candidates[n] = candidate{min(room, of(n.usedBy, set.customer).accelerators), room}
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(a, b *node) int {
		x, y := candidates[a], candidates[b]
		return cmp.Or(cmp.Compare(y.own, x.own), cmp.Compare(y.room, x.room))
	})
	left := set.accelerators
	var parts []cellShare
	for i, n := range order {
		if left == 0 {
			break
		}
		for _, later := range order[i+1:] {
			if candidates[later].own == candidates[n].own && candidates[later].room >= left {
				n = later
			}
		}
		count := min(left, candidates[n].room)
		if slices.ContainsFunc(parts, func(p cellShare) bool { return p.node == n }) {
			continue
		}
		parts = append(parts, cellShare{n, count})
		left -= count
	}
	return parts
}
