package scheduling

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A tally is kept from one urgent job to the next and told which nodes changed. Were a
// change not told, the next job would be promised room that is gone, or stop work for
// room that is free. After passes over seeded clusters every tally that was kept, brought
// up to date, says of every node what a fresh look says.
func TestTalliesKeptAreThoseCountedAfresh(t *testing.T) {
	kept := 0
	for seed := range uint64(alikeWorlds) {
		kept += checkWorld(t, newSeededWorld(seed)) + checkWorld(t, newAlikeWorld(seed))
	}
	if kept < alikeWorlds {
		t.Fatalf("only %d tallies kept", kept)
	}
}

func checkWorld(t *testing.T, w *seededWorld) (kept int) {
	for range goldenSteps {
		p := newPass(w.snapshot)
		p.run()
		for _, domains := range p.cluster.byAdjacency {
			for _, d := range domains {
				kept += checkTallies(t, p.cluster, d)
			}
		}
		w.step()
	}
	return kept
}

func checkTallies(t *testing.T, c *cluster, d *domain) int {
	for _, kept := range d.tallies {
		changed, known := c.changes.since(kept.seen)
		if !known {
			continue
		}
		kept.recount(changed)
		var sum int64
		for _, n := range d.nodes {
			fresh := roomSoon(n, kept.ask)
			if got := *kept.count(n); got != fresh {
				t.Fatalf("%s: %d tasks counted, %d have room", n.worker.ID, got, fresh)
			}
			sum += fresh
		}
		if kept.sum != sum {
			t.Fatalf("sum %d, want %d", kept.sum, sum)
		}
	}
	return len(d.tallies)
}

// A node that changes again after a mark is listed again; a log forgets what it lists when
// that is as much as there are nodes, and says so.
func TestChangesAreKnownOrSaidToBeForgotten(t *testing.T) {
	c := newCluster(testWorkers(1, 1, 3, 8))
	c.nodes[0].endSoon(amount{accelerators: 1})
	mark := c.changes.now()
	for i := range 2 {
		c.nodes[i].endSoon(amount{accelerators: 1})
		c.nodes[i].endSoon(amount{accelerators: 1})
		if changed, known := c.changes.since(mark); !known || len(changed) != i+1 || changed[i] != c.nodes[i] {
			t.Fatalf("after %d changes: %v known %v", i+1, changed, known)
		}
	}
	c.nodes[0].use(0, amount{cores: 1}, false)
	if _, known := c.changes.since(mark); known {
		t.Fatal("the log has more changes than nodes, and forgot none")
	}
	if changed, known := c.changes.since(c.changes.now()); !known || len(changed) != 0 {
		t.Fatalf("%v changed since now, known %v", changed, known)
	}
}

// The owner's domains are its cells' workers only: those between them are not counted.
func TestTallyOfAnOwnerLeavesOutOtherWorkers(t *testing.T) {
	c := newCluster(testWorkers(1, 1, 3, 8))
	d := groups([]*node{c.nodes[0], c.nodes[2]}, controlpb.Adjacency_ADJACENCY_RACK)[0]
	a := &ask{job: waitingJob("j", "a", 99, 1), tasks: 99, each: amount{accelerators: 1}}
	tally := d.tally(c, a, roomSoon)
	if tally.sum != 16 || tally.has(c.nodes[1]) || !tally.has(c.nodes[2]) {
		t.Fatalf("%d tasks, worker between counted: %v", tally.sum, tally.has(c.nodes[1]))
	}
}

// Whatever the room of a node depends on is noted when it changes, by itself.
func TestEachChangeOfANodeIsNoted(t *testing.T) {
	one := amount{accelerators: 1}
	c := newCluster(testWorkers(1, 1, 3, 8))
	n := c.nodes[1]
	spread := unitJob("j", "a", 1, 1, spreadBy(1))
	set := guaranteedSet{accelerators: 1, adjacency: anywhere}
	for name, change := range map[string]func(){
		"take":        func() { c.take(n, one) },
		"endSoon":     func() { n.endSoon(one) },
		"use":         func() { n.use(0, one, false) },
		"countSpread": func() { n.countSpread(spread, 1) },
		"keep":        func() { n.keep(one) },
		"keepCell":    func() { n.keepCell(0, 1) },
		"clearCells": func() {
			c.cells = []placedCell{{set, []cellShare{{n, 1}}}}
			c.clearCells()
		},
	} {
		mark := c.changes.now()
		change()
		changed, known := c.changes.since(mark)
		if known && (len(changed) != 1 || changed[0] != n) {
			t.Errorf("%s: %d nodes noted", name, len(changed))
		}
		c.changes = changeLog{limit: len(c.nodes)}
	}
}
