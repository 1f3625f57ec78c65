package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

// recoveryElections is the time, in minimum election timeouts, within which a leader
// must exist and an entry must be committed everywhere after the faults have stopped.
// It allows for a few elections and for a snapshot to the slowest replica.
const recoveryElections = 12

// injectedFaults are defects that the checker must detect.
type injectedFaults struct {
	safeguards
	sendBeforeSync bool
	loseVote       bool
	reuseIdentity  bool // a replica restarts with an empty disk under its old identity
	// adaptiveTimeout is not a fault: it makes election timeouts adapt to the observed
	// intervals between messages.
	adaptiveTimeout bool
}

type disk struct {
	discard  bool // set by benchmarks: nothing is stored
	hard     *consensuspb.HardState
	snapshot *consensuspb.SnapshotMeta
	entries  []*consensuspb.Entry
}

// replica is a driver of a Node without clock, socket or disk.
type replica struct {
	identity               string
	node                   *Node
	disk                   disk
	down, diskLost, paused bool
	crashAt                crashPoint
	pending                *Ready
	fetch                  *Fetch
	history                replicaHistory
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

// simulation consists of replicas on a network that drops, delays, duplicates and
// reorders messages. A run is determined by its seed.
type simulation struct {
	rng      *rand.Rand
	faults   injectedFaults
	config   Config
	replicas []*replica
	network  []*consensuspb.Message
	cutLinks map[[2]string]bool
	added    int
	proposed int
	stopWhen func() bool                // optional: ends a drain early
	onSend   func(*consensuspb.Message) // optional: called for every message sent
	checker
}

func newSimulation(seed uint64, size int, config Config, faults injectedFaults) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: faults, config: config, cutLinks: map[[2]string]bool{}}
	sim.checker = newChecker()
	var members []*consensuspb.Member
	for range size {
		members = append(members, &consensuspb.Member{Identity: sim.add().identity, Voter: true})
	}
	first := Bootstrap(members)
	for _, r := range sim.replicas {
		r.disk = disk{hard: first.Hard, snapshot: first.Snapshot}
		sim.start(r)
	}
	return sim
}

func (sim *simulation) add() *replica {
	sim.added++
	r := &replica{identity: fmt.Sprintf("i%d.%d", sim.added, sim.added), down: true}
	sim.replicas = append(sim.replicas, r)
	return r
}

func (sim *simulation) start(r *replica) {
	r.down, r.paused, r.crashAt, r.pending, r.fetch = false, false, noCrash, nil, nil
	config := sim.config
	config.Identity, config.Rand = r.identity, rand.New(rand.NewPCG(sim.rng.Uint64(), 2))
	recovered := Recovered{Hard: r.disk.hard, Snapshot: r.disk.snapshot, Entries: r.disk.entries, Applied: r.disk.snapshot.GetIndex()}
	if sim.faults.loseVote && recovered.Hard != nil {
		recovered.Hard = &consensuspb.HardState{Term: recovered.Hard.Term, Commit: recovered.Hard.Commit}
	}
	r.node = New(config, recovered)
	r.node.disabled = sim.faults.safeguards
	r.history = newReplicaHistory(recovered.Applied)
}

func (sim *simulation) find(identity string) *replica {
	for _, r := range sim.replicas {
		if r.identity == identity {
			return r
		}
	}
	return nil
}

// processReady processes the Readys of a Node. Unless complete is set, it randomly
// leaves a Ready pending after its early messages and before its sync, so that the Node
// receives more input meanwhile.
func (sim *simulation) processReady(r *replica, complete bool) {
	for !r.down && sim.violation == "" {
		if r.pending == nil {
			ready, ok := r.node.Ready()
			if !ok {
				return
			}
			r.pending = &ready
			sim.enqueue(ready.Messages[:ready.Early])
			if !complete && sim.rng.IntN(4) == 0 {
				return
			}
		}
		ready := r.pending
		r.pending = nil
		sim.handleReady(r, ready)
	}
}

func (sim *simulation) handleReady(r *replica, ready *Ready) {
	if sim.faults.sendBeforeSync {
		sim.enqueue(ready.Messages[ready.Early:])
	}
	switch r.crashAt {
	case beforeSync:
		r.down = true
		return
	case tornSync:
		r.disk.write(ready.Entries[:sim.rng.IntN(len(ready.Entries)+1)])
		r.down = true
		return
	}
	if ready.Hard != nil {
		r.disk.hard = ready.Hard
	}
	r.disk.write(ready.Entries)
	sim.checkStored(r, ready.Entries)
	if r.crashAt == beforeSend {
		r.down = true
		return
	}
	if !sim.faults.sendBeforeSync {
		sim.enqueue(ready.Messages[ready.Early:])
	}
	sim.checkApplied(r, ready.Committed)
	sim.checkReads(r, ready.Reads)
	if ready.Fetch != nil {
		r.fetch = ready.Fetch
	}
	r.node.Advance()
	r.down = r.crashAt == afterSend
}

// write replaces the stored entries from the first new index on, as the log on disk
// does.
func (d *disk) write(entries []*consensuspb.Entry) {
	if len(entries) == 0 || d.discard {
		return
	}
	kept := 0
	for kept < len(d.entries) && d.entries[kept].Index < entries[0].Index {
		kept++
	}
	d.entries = append(d.entries[:kept:kept], entries...)
}

func (sim *simulation) enqueue(messages []*consensuspb.Message) {
	sim.network = append(sim.network, messages...)
	if sim.onSend != nil {
		for _, m := range messages {
			sim.onSend(m)
		}
	}
}

// deliverAt removes the message at position i and delivers it.
func (sim *simulation) deliverAt(i int) {
	m := sim.network[i]
	sim.network = append(sim.network[:i], sim.network[i+1:]...)
	sim.deliver(m)
}

func (sim *simulation) deliver(m *consensuspb.Message) {
	r := sim.find(m.To)
	if r == nil || r.down || sim.cutLinks[[2]string{m.From, m.To}] {
		return
	}
	if r.paused {
		sim.network = append(sim.network, m)
		return
	}
	if err := r.node.Step(m); err != nil {
		sim.fail("%s: %v", r.identity, err)
	}
}

// finishFetch installs the snapshot of a pending fetch if its source is reachable.
func (sim *simulation) finishFetch(r *replica) {
	if r.fetch == nil || r.down || r.pending != nil {
		return
	}
	source, wanted := sim.find(r.fetch.From), r.fetch.Meta
	r.fetch = nil
	meta := source.disk.snapshot
	if source.down || sim.cutLinks[[2]string{source.identity, r.identity}] || meta.Index < wanted.Index || meta.Index <= r.node.log.commit {
		return
	}
	r.disk.snapshot = meta
	r.history.applied = meta.Index
	r.node.Installed(meta)
	sim.installed++
}

func (sim *simulation) snapshot(r *replica) {
	meta, ok := r.node.SnapshotMeta(r.history.applied)
	if !ok || meta.Index <= r.disk.snapshot.GetIndex() || r.pending != nil {
		return
	}
	r.disk.snapshot = meta
	for len(r.disk.entries) > 0 && r.disk.entries[0].Index <= meta.Index {
		r.disk.entries = r.disk.entries[1:]
	}
	r.node.Compact(meta.Index - min(meta.Index, sim.rng.Uint64N(4)))
}

func (sim *simulation) tick(r *replica) {
	if r.down || r.paused {
		return
	}
	r.node.Tick()
	r.history.acknowledgedTermAt = append(r.history.acknowledgedTermAt, sim.acknowledgedTerm)
}

func (sim *simulation) propose(r *replica) bool { return sim.proposeAll(r, 1) }

func (sim *simulation) proposeAll(r *replica, count int) bool {
	commands := make([][]byte, count)
	for i := range commands {
		sim.proposed++
		commands[i] = []byte(fmt.Sprint("command ", sim.proposed))
	}
	_, err := r.node.Propose(commands...)
	return err == nil
}

// round advances all replicas by one tick and delivers all messages in order.
func (sim *simulation) round() {
	for _, r := range sim.replicas {
		sim.tick(r)
	}
	sim.drain()
}

func (sim *simulation) drain() {
	for budget := 20000; sim.violation == ""; budget-- {
		for _, r := range sim.replicas {
			sim.finishFetch(r)
			sim.processReady(r, true)
			sim.checkReplica(r)
		}
		if !slices.ContainsFunc(sim.network, func(m *consensuspb.Message) bool { r := sim.find(m.To); return r == nil || !r.paused }) {
			return
		}
		if budget == 0 {
			sim.fail("messages are exchanged without end")
		}
		messages := sim.network
		sim.network = nil
		for _, m := range messages {
			if sim.deliver(m); sim.stopWhen != nil && sim.stopWhen() {
				return
			}
		}
	}
}

// leader returns the leader of the newest term; nil if there is none.
func (sim *simulation) leader() *replica {
	var leader *replica
	for _, r := range sim.replicas {
		if !r.down && r.node.role == Leader && (leader == nil || r.node.term > leader.node.term) {
			leader = r
		}
	}
	return leader
}
