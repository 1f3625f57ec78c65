package scheduling

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against stale cached tallies. A tally is cached from one urgent job to the
// next and updated for the nodes that changed. If a change were missed, the next job
// would be promised capacity that is gone, or preempt work although capacity is free.
// After passes over seeded clusters, every cached tally, once updated, has to match a
// recount of every node.
func TestCachedTalliesMatchRecount(t *testing.T) {
	cached := 0
	for seed := range uint64(uniformWorlds) {
		cached += checkWorld(t, newSeededWorld(seed)) + checkWorld(t, newUniformWorld(seed))
	}
	if cached < uniformWorlds {
		t.Fatalf("only %d cached tallies", cached)
	}
}

func checkWorld(t *testing.T, w *seededWorld) (cached int) {
	for range goldenSteps {
		p := newPass(w.snapshot)
		p.run()
		for _, domains := range p.cluster.byAdjacency {
			for _, d := range domains {
				cached += checkTallies(t, p.cluster, d)
			}
		}
		w.step()
	}
	return cached
}

func checkTallies(t *testing.T, c *cluster, d *domain) int {
	for _, cached := range d.tallies {
		changed, known := c.changes.since(cached.counted)
		if !known {
			continue
		}
		cached.recount(changed)
		var sum int64
		for _, n := range d.nodes {
			fresh := futureCapacity(n, cached.request)
			if got := *cached.count(n); got != fresh {
				t.Fatalf("%s: %d tasks counted, want %d", n.worker.ID, got, fresh)
			}
			sum += fresh
		}
		if cached.sum != sum {
			t.Fatalf("sum %d, want %d", cached.sum, sum)
		}
	}
	return len(d.tallies)
}

// A node that changes again after a mark is recorded again. A log that is as long as
// the number of nodes is cleared, and has to report so.
func TestChangeLogReportsDiscardedChanges(t *testing.T) {
	c := newCluster(testWorkers(1, 1, 3, 8))
	c.nodes[0].addReleasing(resources{accelerators: 1})
	mark := c.changes.mark()
	for i := range 2 {
		c.nodes[i].addReleasing(resources{accelerators: 1})
		c.nodes[i].addReleasing(resources{accelerators: 1})
		if changed, known := c.changes.since(mark); !known || len(changed) != i+1 || changed[i] != c.nodes[i] {
			t.Fatalf("after %d changes: %v known %v", i+1, changed, known)
		}
	}
	c.nodes[0].use(0, resources{cores: 1}, false)
	if _, known := c.changes.since(mark); known {
		t.Fatal("the log has more changes than nodes but was not cleared")
	}
	if changed, known := c.changes.since(c.changes.mark()); !known || len(changed) != 0 {
		t.Fatalf("%v changed since the newest mark, known %v", changed, known)
	}
}

// A domain of an owner consists of the workers with its cells only: workers between
// them must not be counted.
func TestTallyExcludesNodesOutsideDomain(t *testing.T) {
	c := newCluster(testWorkers(1, 1, 3, 8))
	d := groups([]*node{c.nodes[0], c.nodes[2]}, controlpb.Adjacency_ADJACENCY_RACK)[0]
	req := &request{job: waitingJob("j", "a", 99, 1), tasks: 99, perTask: resources{accelerators: 1}}
	tally := d.tally(c, req, futureCapacity)
	if tally.sum != 16 || tally.contains(c.nodes[1]) || !tally.contains(c.nodes[2]) {
		t.Fatalf("%d tasks, worker outside the domain counted: %v", tally.sum, tally.contains(c.nodes[1]))
	}
}

// Each method that changes something a node's capacity depends on has to record the
// change itself.
func TestNodeChangesAreLogged(t *testing.T) {
	one := resources{accelerators: 1}
	c := newCluster(testWorkers(1, 1, 3, 8))
	n := c.nodes[1]
	unit := unitJob("j", "a", 1, 1, spreadLimit(1))
	set := guaranteedSet{accelerators: 1, adjacency: anywhere}
	for name, change := range map[string]func(){
		"take":        func() { c.allocate(n, one) },
		"endSoon":     func() { n.addReleasing(one) },
		"use":         func() { n.use(0, one, false) },
		"countSpread": func() { n.countStepTasks(unit, 1) },
		"keep":        func() { n.addReserved(one) },
		"keepCell":    func() { n.keepCell(0, 1) },
		"clearCells": func() {
			c.cells = []placedCell{{set, []cellShare{{n, 1}}}}
			c.clearCells()
		},
	} {
		mark := c.changes.mark()
		change()
		changed, known := c.changes.since(mark)
		if known && (len(changed) != 1 || changed[0] != n) {
			t.Errorf("%s: %d nodes recorded", name, len(changed))
		}
		c.changes = changeLog{limit: len(c.nodes)}
	}
}
