package replica

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/snapshot"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// defaultSnapshotEntries bounds what a start applies again, and so how long callers
	// are refused after a loss of all replicas: an entry of a busy system of 350 workers
	// takes up to 0.7 ms of a core that has 0.64 (2,677 entries in 2 s), and a replica
	// whose disk was wiped has them all to catch up with. A snapshot there has 0.5 MB,
	// written every 12 s or more.
	defaultSnapshotEntries = 1_000
	defaultSnapshotBytes   = 16 << 20
	// keptEntries stay in memory behind a snapshot, so that a member that was
	// away for a moment catches up without one.
	keptEntries = 5_000
	// chunkBytes is the size of a part of a snapshot on the wire.
	chunkBytes = 256 << 10
)

// saving is the state of the snapshots made here.
type saving struct {
	running bool
	// index of the newest, and bytes of commands applied since.
	index uint64
	bytes int64
	// notBefore is set after a snapshot that found no room.
	notBefore time.Time
}

// snapshotWhenDue begins a snapshot beside the owner: a State never changes, so
// encoding and writing it holds up no command.
func (c *core) snapshotWhenDue() {
	due := c.state.Index()-c.saving.index >= c.replica.config.SnapshotEntries || c.saving.bytes >= c.replica.config.SnapshotBytes
	if c.saving.running || !due || c.state.Index() == c.saving.index || time.Now().Before(c.saving.notBefore) {
		return
	}
	meta, ok := c.node.SnapshotMeta(c.state.Index())
	if !ok {
		return
	}
	c.saving = saving{running: true, index: meta.Index}
	r, disk, state := c.replica, c.disk, c.state
	go func() {
		err := save(disk, meta, state)
		r.post(func(c *core) { c.saved(meta, err) })
	}()
}

func save(disk *storage, meta *consensuspb.SnapshotMeta, state *store.State) error {
	data, err := encodeState(state)
	if err != nil {
		return err
	}
	return disk.snapshots.Save(&snapshot.Snapshot{Meta: meta, Data: data})
}

// post hands a request to the owner without waiting for its end.
func (r *Replica) post(request func(*core)) {
	select {
	case r.requests <- request:
	case <-r.ended:
	}
}

// saved marks a durable snapshot in the log and drops what both kept
// snapshots cover.
func (c *core) saved(meta *consensuspb.SnapshotMeta, err error) {
	c.saving.running = false
	if err == nil {
		err = c.disk.log.Mark(meta)
	}
	if err == nil {
		err = c.disk.log.Compact(c.disk.snapshots.Oldest())
	}
	if disk.MayTryAgain(err) {
		c.snapshotLater(err)
		return
	}
	if err != nil {
		c.failure = err
		return
	}
	snapshotsMade.Add(1)
	if meta.Index > keptEntries {
		c.node.Compact(meta.Index - keptEntries)
	}
}

// snapshotLater leaves the log as long as it is: the state is whole without the
// snapshot, and the next one covers it.
func (c *core) snapshotLater(cause error) {
	c.saving.notBefore = time.Now().Add(snapshotPauseTicks * c.tick)
	c.replica.config.Logger.WithField("index", c.saving.index).WithField("cause", cause.Error()).Warn("no room for a snapshot")
	c.saving.index = c.disk.newestSnapshot()
}

// startFetch fetches the leader's snapshot beside the owner.
func (c *core) startFetch(ctx context.Context, fetch *consensus.Fetch) {
	if c.fetching {
		return
	}
	c.fetching = true
	r, disk, from := c.replica, c.disk, c.instanceOf(fetch.From)
	go func() {
		s, err := r.fetchSnapshot(ctx, disk, from)
		r.post(func(c *core) { c.install(s, err) })
	}()
}

// fetchSnapshot receives the newest snapshot of an instance. An interrupted one
// is resumed where that instance still has it.
func (r *Replica) fetchSnapshot(ctx context.Context, disk *storage, from string) (*snapshot.Snapshot, error) {
	id, resumed := disk.snapshots.Resumable()
	s, err := r.receive(ctx, disk, from, id)
	if resumed && failure.Is(err, failure.NotFound) {
		return r.receive(ctx, disk, from, snapshot.ID{})
	}
	return s, err
}

func (r *Replica) receive(ctx context.Context, disk *storage, from string, id snapshot.ID) (*snapshot.Snapshot, error) {
	if id == (snapshot.ID{}) {
		first, err := r.fetchChunk(ctx, from, id, 0)
		if err != nil {
			return nil, err
		}
		id = first.ID
	}
	incoming, err := disk.snapshots.Receive(id)
	if err != nil {
		return nil, err
	}
	for {
		chunk, err := r.fetchChunk(ctx, from, id, incoming.Offset())
		if err != nil {
			incoming.Close()
			return nil, err
		}
		last, err := incoming.Add(chunk)
		if err != nil {
			incoming.Close()
			return nil, err
		}
		if last {
			return incoming.Finish()
		}
	}
}

func (r *Replica) fetchChunk(ctx context.Context, from string, id snapshot.ID, offset int64) (*snapshot.Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, proposePatience)
	defer cancel()
	ask := &peerpb.FetchSnapshot{Index: id.Index, Term: id.Term, Offset: offset}
	reply, err := r.peers.Call(ctx, from, &peerpb.Call{Body: &peerpb.Call_FetchSnapshot{FetchSnapshot: ask}})
	if failure.Is(err, failure.DiskFailed) || disk.MayTryAgain(err) {
		// The source's disk, and not this replica's: that would end its process.
		return nil, failure.Wrap(failure.Unreachable, err, "%s can't read its snapshot", from)
	}
	if err != nil {
		return nil, err
	}
	c := reply.GetSnapshotChunk()
	return &snapshot.Chunk{
		ID:     snapshot.ID{Index: c.GetIndex(), Term: c.GetTerm()},
		Total:  c.GetTotal(),
		Offset: c.GetOffset(),
		Data:   c.GetData(),
	}, nil
}

// serveChunk gives a part of a snapshot of this replica.
func (r *Replica) serveChunk(ask *peerpb.FetchSnapshot) (*peerpb.SnapshotChunk, error) {
	id := snapshot.ID{Index: ask.Index, Term: ask.Term}
	if id == (snapshot.ID{}) {
		newest, ok := r.disk.snapshots.Newest()
		if !ok {
			return nil, failure.New(failure.NotFound, "no snapshot yet")
		}
		id = newest
	}
	chunk, err := r.disk.snapshots.ReadChunk(id, ask.Offset, chunkBytes)
	if err != nil {
		return nil, err
	}
	return &peerpb.SnapshotChunk{Index: id.Index, Term: id.Term, Total: chunk.Total, Offset: chunk.Offset, Data: chunk.Data}, nil
}

// install replaces the state by a fetched snapshot. A failed fetch, or one that
// finds no room, is begun again when the leader next asks for it; a failed disk
// stops the replica.
func (c *core) install(s *snapshot.Snapshot, err error) {
	c.fetching = false
	if failure.Is(err, failure.DiskFailed) {
		c.failure = err
	}
	if err != nil || s.Meta.Index <= max(c.state.Index(), c.node.Status().Commit) {
		return
	}
	if c.held != nil {
		// The append that waits for room is older than the snapshot: written behind
		// its mark, it would leave a gap in the log.
		return
	}
	state, err := decodeState(s.Data)
	if err != nil {
		c.failure = err
		return
	}
	err = c.disk.log.Mark(s.Meta)
	if disk.MayTryAgain(err) {
		return
	}
	if err != nil {
		c.failure = err
		return
	}
	c.node.Installed(s.Meta)
	c.state = state
	c.saving.index, c.saving.bytes = s.Meta.Index, 0
	c.forget(s.Meta.Index)
	snapshotsGot.Add(1)
	c.replica.feed.Installed(state)
	c.replica.published.Publish(state)
}

// forget ends the proposals that a snapshot covers: whether they are in it
// cannot be told.
func (c *core) forget(upTo uint64) {
	for index, p := range c.pending {
		if index <= upTo {
			delete(c.pending, index)
			p.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "entry %d came by a snapshot", index))
		}
	}
}
