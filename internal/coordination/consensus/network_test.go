package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

// settleElections bounds, in shortest election timeouts, the time to a leader
// and a commit everywhere once faults have stopped: a few elections, and a
// snapshot for the slowest.
const settleElections = 12

// planted are faults that the checker must notice.
type planted struct {
	safeguards
	sendBeforeSync bool
	forgetVote     bool
	oldIdentity    bool // a lost disk starts again under its old identity
	// patient is no fault: election timeouts follow the silences that are seen.
	patient bool
}

type disk struct {
	none     bool // benchmarks
	hard     *consensuspb.HardState
	snapshot *consensuspb.SnapshotMeta
	entries  []*consensuspb.Entry
}

// replica is a driver without clock, socket or disk around a Node.
type replica struct {
	identity           string
	node               *Node
	disk               disk
	down, lost, frozen bool
	crashAt            crashPoint
	pending            *Ready
	fetch              *Fetch
	view               view
}

type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	tornSync
	beforeSend
	afterSend
	crashPoints
)

// world is replicas on a network that drops, delays, duplicates and reorders.
// The same seed gives the same run.
type world struct {
	rng      *rand.Rand
	faults   planted
	config   Config
	replicas []*replica
	network  []*consensuspb.Message
	cut      map[[2]string]bool
	started  int
	proposed int
	stop     func() bool                // ends a drain early, where set
	sent     func(*consensuspb.Message) // sees every message sent, where set
	checker
}

func newWorld(seed uint64, size int, config Config, faults planted) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: faults, config: config, cut: map[[2]string]bool{}}
	w.checker = newChecker()
	var members []*consensuspb.Member
	for range size {
		members = append(members, &consensuspb.Member{Identity: w.add().identity, Voter: true})
	}
	first := Bootstrap(members)
	for _, r := range w.replicas {
		r.disk = disk{hard: first.Hard, snapshot: first.Snapshot}
		w.start(r)
	}
	return w
}

func (w *world) add() *replica {
	w.started++
	r := &replica{identity: fmt.Sprintf("i%d.%d", w.started, w.started), down: true}
	w.replicas = append(w.replicas, r)
	return r
}

func (w *world) start(r *replica) {
	r.down, r.frozen, r.crashAt, r.pending, r.fetch = false, false, noCrash, nil, nil
	config := w.config
	config.Identity, config.Rand = r.identity, rand.New(rand.NewPCG(w.rng.Uint64(), 2))
	recovered := Recovered{Hard: r.disk.hard, Snapshot: r.disk.snapshot, Entries: r.disk.entries, Applied: r.disk.snapshot.GetIndex()}
	if w.faults.forgetVote && recovered.Hard != nil {
		recovered.Hard = &consensuspb.HardState{Term: recovered.Hard.Term, Commit: recovered.Hard.Commit}
	}
	r.node = New(config, recovered)
	r.node.disabled = w.faults.safeguards
	r.view = newView(recovered.Applied)
}

func (w *world) find(identity string) *replica {
	for _, r := range w.replicas {
		if r.identity == identity {
			return r
		}
	}
	return nil
}

// pump carries out what the Node wants done. At random it leaves a Ready
// between its early messages and its sync, while the Node takes more input.
func (w *world) pump(r *replica, patient bool) {
	for !r.down && w.violation == "" {
		if r.pending == nil {
			ready, ok := r.node.Ready()
			if !ok {
				return
			}
			r.pending = &ready
			w.deliverLater(ready.Messages[:ready.Early])
			if !patient && w.rng.IntN(4) == 0 {
				return
			}
		}
		ready := r.pending
		r.pending = nil
		w.carryOut(r, ready)
	}
}

func (w *world) carryOut(r *replica, ready *Ready) {
	if w.faults.sendBeforeSync {
		w.deliverLater(ready.Messages[ready.Early:])
	}
	switch r.crashAt {
	case beforeSync:
		r.down = true
		return
	case tornSync:
		r.disk.write(ready.Entries[:w.rng.IntN(len(ready.Entries)+1)])
		r.down = true
		return
	}
	if ready.Hard != nil {
		r.disk.hard = ready.Hard
	}
	r.disk.write(ready.Entries)
	w.checkStored(r, ready.Entries)
	if r.crashAt == beforeSend {
		r.down = true
		return
	}
	if !w.faults.sendBeforeSync {
		w.deliverLater(ready.Messages[ready.Early:])
	}
	w.checkApplied(r, ready.Committed)
	w.checkReads(r, ready.Reads)
	if ready.Fetch != nil {
		r.fetch = ready.Fetch
	}
	r.node.Advance()
	r.down = r.crashAt == afterSend
}

// write replaces the tail from the first entry on, as a log on disk does.
func (d *disk) write(entries []*consensuspb.Entry) {
	if len(entries) == 0 || d.none {
		return
	}
	kept := 0
	for kept < len(d.entries) && d.entries[kept].Index < entries[0].Index {
		kept++
	}
	d.entries = append(d.entries[:kept:kept], entries...)
}

func (w *world) deliverLater(messages []*consensuspb.Message) {
	w.network = append(w.network, messages...)
	if w.sent != nil {
		for _, m := range messages {
			w.sent(m)
		}
	}
}

// take removes the message at i and hands it over, unless it is lost.
func (w *world) take(i int) {
	m := w.network[i]
	w.network = append(w.network[:i], w.network[i+1:]...)
	w.hand(m)
}

func (w *world) hand(m *consensuspb.Message) {
	r := w.find(m.To)
	if r == nil || r.down || w.cut[[2]string{m.From, m.To}] {
		return
	}
	if r.frozen {
		w.network = append(w.network, m)
		return
	}
	if err := r.node.Step(m); err != nil {
		w.fail("%s: %v", r.identity, err)
	}
}

// install finishes a fetch where its source can still be reached.
func (w *world) install(r *replica) {
	if r.fetch == nil || r.down || r.pending != nil {
		return
	}
	source, wanted := w.find(r.fetch.From), r.fetch.Meta
	r.fetch = nil
	meta := source.disk.snapshot
	if source.down || w.cut[[2]string{source.identity, r.identity}] || meta.Index < wanted.Index || meta.Index <= r.node.log.commit {
		return
	}
	r.disk.snapshot = meta
	r.view.applied = meta.Index
	r.node.Installed(meta)
	w.installed++
}

func (w *world) snapshot(r *replica) {
	meta, ok := r.node.SnapshotMeta(r.view.applied)
	if !ok || meta.Index <= r.disk.snapshot.GetIndex() || r.pending != nil {
		return
	}
	r.disk.snapshot = meta
	for len(r.disk.entries) > 0 && r.disk.entries[0].Index <= meta.Index {
		r.disk.entries = r.disk.entries[1:]
	}
	r.node.Compact(meta.Index - min(meta.Index, w.rng.Uint64N(4)))
}

func (w *world) tick(r *replica) {
	if r.down || r.frozen {
		return
	}
	r.node.Tick()
	r.view.acknowledgedAt = append(r.view.acknowledgedAt, w.acknowledgedTerm)
}

func (w *world) propose(r *replica) bool { return w.proposeAll(r, 1) }

func (w *world) proposeAll(r *replica, count int) bool {
	commands := make([][]byte, count)
	for i := range commands {
		w.proposed++
		commands[i] = []byte(fmt.Sprint("command ", w.proposed))
	}
	_, err := r.node.Propose(commands...)
	return err == nil
}

// round lets a tick pass everywhere and delivers all messages in order.
func (w *world) round() {
	for _, r := range w.replicas {
		w.tick(r)
	}
	w.drain()
}

func (w *world) drain() {
	for budget := 20000; w.violation == ""; budget-- {
		for _, r := range w.replicas {
			w.install(r)
			w.pump(r, true)
			w.checkReplica(r)
		}
		if !slices.ContainsFunc(w.network, func(m *consensuspb.Message) bool { r := w.find(m.To); return r == nil || !r.frozen }) {
			return
		}
		if budget == 0 {
			w.fail("messages without end")
		}
		messages := w.network
		w.network = nil
		for _, m := range messages {
			if w.hand(m); w.stop != nil && w.stop() {
				return
			}
		}
	}
}

// leader is the replica that leads the newest term; nil without one.
func (w *world) leader() *replica {
	var leader *replica
	for _, r := range w.replicas {
		if !r.down && r.node.role == Leader && (leader == nil || r.node.term > leader.node.term) {
			leader = r
		}
	}
	return leader
}
