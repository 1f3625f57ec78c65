package scheduling

import (
	"cmp"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Limits of the search for cells. Packing sets into racks is bin packing. A search that
// gives up reports sets as unmet although a place may exist, and never reports a place
// that doesn't.
const (
	// searchBranches is how many domains are tried for one set.
	searchBranches = 3
	// searchVisits limits the nodes examined by one search.
	searchVisits = 200_000
)

// cellChoice is one domain that could hold a set's cell.
type cellChoice struct {
	nodes []*node
	// ownUse is how many accelerators of the set the customer uses there already.
	ownUse   int64
	capacity int64
}

// placeCells places each set by itself in its best domain, and returns the sets left
// without a place.
func (c *cluster) placeCells(sets []guaranteedSet) []guaranteedSet {
	var unplaced []guaranteedSet
	for _, set := range sets {
		choices := c.cellChoices(set)
		if len(choices) == 0 {
			unplaced = append(unplaced, set)
			continue
		}
		c.addCell(placedCell{set, fillCell(set, choices[0].nodes)})
	}
	return unplaced
}

// searchCells searches, starting without any cells, for a placement of all sets
// together, and falls back to placing each by itself. It returns the sets left without
// a place.
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

// cellChoices lists the domains with capacity for the set, best first: where the
// customer's own work runs, then where the least capacity is left over.
func (c *cluster) cellChoices(set guaranteedSet) []cellChoice {
	var choices []cellChoice
	for _, domain := range c.domains(set.adjacency) {
		choice := cellChoice{nodes: domain.nodes}
		for _, n := range domain.nodes {
			capacity := n.capacityForCell(set.customer)
			choice.capacity += capacity
			choice.ownUse += min(capacity, shareOf(n.usedBy, set.customer).accelerators)
		}
		if choice.capacity >= set.accelerators {
			choice.ownUse = min(choice.ownUse, set.accelerators)
			choices = append(choices, choice)
		}
	}
	slices.SortStableFunc(choices, func(a, b cellChoice) int {
		return cmp.Or(cmp.Compare(b.ownUse, a.ownUse), cmp.Compare(a.capacity, b.capacity))
	})
	return choices
}

// domains lists the groups of nodes within which a gang or set satisfies the adjacency.
func (c *cluster) domains(adjacency controlpb.Adjacency) []*domain {
	domains, known := c.byAdjacency[adjacency]
	if !known {
		domains = groups(c.nodes, adjacency)
		c.byAdjacency[adjacency] = domains
	}
	return domains
}

// fillCell divides a set over nodes with enough capacity in sum: where the customer's
// work runs first, then the smallest node that holds the rest, otherwise the largest.
func fillCell(set guaranteedSet, nodes []*node) []cellShare {
	type candidate struct{ ownUse, capacity int64 }
	candidates := map[*node]candidate{}
	order := make([]*node, 0, len(nodes))
	for _, n := range nodes {
		if capacity := n.capacityForCell(set.customer); capacity > 0 {
			candidates[n] = candidate{min(capacity, shareOf(n.usedBy, set.customer).accelerators), capacity}
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(a, b *node) int {
		x, y := candidates[a], candidates[b]
		return cmp.Or(cmp.Compare(y.ownUse, x.ownUse), cmp.Compare(y.capacity, x.capacity))
	})
	remaining := set.accelerators
	var parts []cellShare
	for i, n := range order {
		if remaining == 0 {
			break
		}
		for _, later := range order[i+1:] {
			if candidates[later].ownUse == candidates[n].ownUse && candidates[later].capacity >= remaining {
				n = later
			}
		}
		count := min(remaining, candidates[n].capacity)
		if slices.ContainsFunc(parts, func(p cellShare) bool { return p.node == n }) {
			continue
		}
		parts = append(parts, cellShare{n, count})
		remaining -= count
	}
	return parts
}
