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
	// defaultSnapshotEntries limits the entries that a start replays, and so how long
	// callers are refused after a loss of all replicas: an entry of a busy system of 350
	// workers takes up to 0.7 ms on a processor share of 0.64 cores (2,677 entries in 2
	// s), and a replica whose disk was wiped has to apply all of them. A snapshot of
	// that system has 0.5 MB and is written every 12 s or more.
	defaultSnapshotEntries = 1_000
	defaultSnapshotBytes   = 16 << 20
	// retainedEntries, and at most retainedBytes of them, stay in memory after a snapshot, so
	// that a member that was briefly away catches up without one. Entries with large
	// documents would otherwise fill the memory of all replicas at the same time.
	retainedEntries = 5_000
	retainedBytes   = 16 << 20
	// chunkBytes is the size of a chunk of a snapshot on the wire.
	chunkBytes = 256 << 10
)

// saving is the status of this replica's own snapshots.
type saving struct {
	running bool
	// index of the newest snapshot, and bytes of commands applied since.
	index uint64
	bytes int64
	// notBefore is set after a snapshot that failed for lack of free space.
	notBefore time.Time
}

// snapshotWhenDue starts a snapshot in a goroutine of its own: a State is immutable, so
// encoding and writing it delays no command.
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

// post queues a request for the goroutine that owns the log without waiting for its end.
func (r *Replica) post(request func(*core)) {
	select {
	case r.requests <- request:
	case <-r.ended:
	}
}

// saved marks a durable snapshot in the log and removes the entries that are covered by
// both retained snapshots.
func (c *core) saved(meta *consensuspb.SnapshotMeta, err error) {
	c.saving.running = false
	if err == nil {
		err = c.disk.log.MarkSnapshot(meta)
	}
	if err == nil {
		err = c.disk.log.Compact(c.disk.snapshots.CompactionIndex())
	}
	if disk.Retryable(err) {
		c.postponeSnapshot(err)
		return
	}
	if err != nil {
		c.failure = err
		return
	}
	snapshotsMade.Add(1)
	c.node.Compact(min(meta.Index, c.node.RetentionIndex(retainedEntries, retainedBytes)))
}

// postponeSnapshot leaves the log as long as it is: the state is complete without the
// snapshot, and the next one covers it.
func (c *core) postponeSnapshot(cause error) {
	c.saving.notBefore = time.Now().Add(snapshotRetryTicks * c.tick)
	c.replica.config.Logger.WithField("index", c.saving.index).WithField("cause", cause.Error()).Warn("no room for a snapshot")
	c.saving.index = c.disk.newestSnapshot()
}

// startFetch fetches the leader's snapshot in a goroutine of its own.
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

// fetchSnapshot receives the newest snapshot of an instance. An interrupted transfer is
// resumed if that instance still has the snapshot.
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
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	request := &peerpb.FetchSnapshot{Index: id.Index, Term: id.Term, Offset: offset}
	reply, err := r.peers.Call(ctx, from, &peerpb.Call{Body: &peerpb.Call_FetchSnapshot{FetchSnapshot: request}})
	if failure.Is(err, failure.DiskFailed) || disk.Retryable(err) {
		// The disk of the source failed, not this replica's, whose failure would end the
		// process.
		return nil, failure.Wrap(failure.Unreachable, err, "%s cannot read its snapshot", from)
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

// serveChunk returns a chunk of one of this replica's snapshots.
func (r *Replica) serveChunk(request *peerpb.FetchSnapshot) (*peerpb.SnapshotChunk, error) {
	id := snapshot.ID{Index: request.Index, Term: request.Term}
	if id == (snapshot.ID{}) {
		newest, ok := r.disk.snapshots.Newest()
		if !ok {
			return nil, failure.New(failure.NotFound, "no snapshot yet")
		}
		id = newest
	}
	chunk, err := r.disk.snapshots.ReadChunk(id, request.Offset, chunkBytes)
	if err != nil {
		return nil, err
	}
	return &peerpb.SnapshotChunk{Index: id.Index, Term: id.Term, Total: chunk.Total, Offset: chunk.Offset, Data: chunk.Data}, nil
}

// install replaces the state by a fetched snapshot. After a failed fetch, or without
// free space for the snapshot, the leader requests it again later; a failed disk stops
// the replica.
func (c *core) install(s *snapshot.Snapshot, err error) {
	c.fetching = false
	if failure.Is(err, failure.DiskFailed) {
		c.failure = err
	}
	if err != nil || s.Meta.Index <= max(c.state.Index(), c.node.Status().Commit) {
		return
	}
	if c.deferred != nil {
		// The deferred append is older than the snapshot: written after the snapshot's
		// mark, it would leave a gap in the log.
		return
	}
	state, err := decodeState(s.Data)
	if err != nil {
		c.failure = err
		return
	}
	err = c.disk.log.MarkSnapshot(s.Meta)
	if disk.Retryable(err) {
		return
	}
	if err != nil {
		c.failure = err
		return
	}
	c.node.Installed(s.Meta)
	c.state = state
	c.saving.index, c.saving.bytes = s.Meta.Index, 0
	c.failCoveredProposals(s.Meta.Index)
	snapshotsInstalled.Add(1)
	c.replica.feed.SnapshotInstalled(state)
	c.replica.published.Publish(state)
}

// failCoveredProposals fails the proposals up to an index that a snapshot covers: it is
// unknown whether the snapshot includes them.
func (c *core) failCoveredProposals(upTo uint64) {
	for index, p := range c.pending {
		if index <= upTo {
			delete(c.pending, index)
			p.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "entry %d is covered by an installed snapshot", index))
		}
	}
}
