// Package feed streams the applied log to followers, from a bounded tail in
// memory or, if the tail does not reach back far enough, as a snapshot in parts.
// Voters and followers both use it, so that followers can follow followers.
//
// Freshness: a follower numbers its pings and records when it sent each one. A
// batch echoes the newest ping that was read before the sender computed the age
// of its own state. That state therefore holds everything that was committed
// `age` before the follower sent that ping. Only durations measured on one machine are
// added up and no two clocks are compared. A batch that was buffered while a
// link was partitioned or a process was paused is not mistaken for a recent one.
package feed

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// MaxBatchBytes limits the encoded entries, or the snapshot part, of one batch.
	// Other traffic on the link queues behind a batch, for 66 ms at 2 Mbit/s.
	MaxBatchBytes = 16 << 10
	// windowBytes limits the bytes sent to a follower and not yet acknowledged. Three
	// batches keep a link of 2 Mbit/s busy and delay calls and soft state on it
	// by 0.2 s at most. Without a limit a transfer fills every buffer on the path.
	windowBytes = 3 * MaxBatchBytes
	// TailBytes limits the memory for the entries retained for followers.
	TailBytes = 8 << 20
	// MaxFollowers limits the streams that one instance serves. A follower that
	// is refused asks the next source, so that the followers form a tree.
	MaxFollowers = 16
	// maxRelayedTransfers limits the snapshots that an instance without a disk sends
	// concurrently: at 2 Mbit/s a snapshot of 250 KB takes 1 s, and n at once take n s each.
	maxRelayedTransfers = 1
	// MaxPathLength limits the instances between a voter and a follower, the voter
	// included. Each adds to the age, which must stay below the freshness bound.
	MaxPathLength = 4
)

var (
	followers      = expvar.NewInt("feed_followers")
	batchesSent    = expvar.NewInt("feed_batches_sent")
	snapshotsSent  = expvar.NewInt("feed_snapshots_sent")
	followsRefused = expvar.NewInt("feed_follows_refused")
)

// Source provides the state that a Server streams.
type Source interface {
	State() *store.State
	Changed() <-chan struct{}
	Leader() string
	// Age returns an upper limit on the staleness of the state: a State read after Age
	// returned holds everything that was committed that long ago or earlier. It fails
	// with stale_state if the age is unknown or exceeds the freshness bound.
	Age() (time.Duration, error)
	// Path returns the names of the instances from a voter to this one, inclusive.
	Path() []string
}

// Server streams one instance's state to its followers.
type Server struct {
	source    Source
	tail      *Tail
	retained  retainedStates
	snapshots *snapshotCache
	slots     slots
	// transfers counts the snapshots that are being sent.
	transfers atomic.Int64
}

// NewServer creates a server. The owner of the source calls EntriesApplied before it
// publishes the state that results from the entries.
func NewServer(source Source) *Server {
	return &Server{source: source, tail: NewTail(TailBytes), snapshots: newSnapshotCache()}
}

// EntriesApplied retains applied entries for followers.
func (s *Server) EntriesApplied(entries ...*peerpb.LogEntry) { s.tail.Append(entries...) }

// StateApplied offers the state after each applied entry for retention as a snapshot.
func (s *Server) StateApplied(state *store.State) { s.retained.add(state) }

// SnapshotInstalled records that a snapshot replaced the state. It is called after the last
// entry was applied and before the owner publishes the state. The retained entries
// end before the snapshot: a follower that received only those would never catch up.
func (s *Server) SnapshotInstalled(state *store.State) {
	s.tail.Reset()
	s.retained.reset(state)
}

// Serve sends the log after the requested index until the stream ends or
// this instance's own state is stale.
func (s *Server) Serve(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	if err := s.admit(follow); err != nil {
		followsRefused.Add(1)
		return err
	}
	defer s.release(follow)
	session := &session{
		server: s, stream: stream, after: follow.After, held: follow.Held, windowed: follow.Windowed,
		pinged: make(chan struct{}, 1),
	}
	session.ping.Store(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go session.receive(cancel)
	return session.run(ctx)
}

// admit refuses a follower that this instance itself follows, directly or through
// others: a cycle of relays has no voter to confirm its state. The ages in a cycle grow
// until every member is stale, which ensures safety; the refusal detects the cycle sooner.
func (s *Server) admit(follow *peerpb.Follow) error {
	if _, err := s.source.Age(); err != nil {
		return err
	}
	path := s.source.Path()
	if slices.Contains(path, follow.Instance) {
		return failure.New(failure.NotReady, "would form a cycle: this instance follows %s", follow.Instance)
	}
	if len(path) > MaxPathLength {
		return failure.New(failure.NotReady, "path to a voter has %d instances, more than the limit", len(path))
	}
	if !s.slots.acquire(follow, isReplica(s.source.State().Replicas(), follow.Instance)) {
		return s.overloaded("limit of %d followers reached", MaxFollowers)
	}
	followers.Add(1)
	return nil
}

// overloaded returns a refusal for lack of capacity, which lists other sources of the state.
func (s *Server) overloaded(format string, args ...any) error {
	refusal := failure.New(failure.Overloaded, format, args...)
	refusal.Sources = append(replicaSources(s.source.State().Replicas()), s.slots.sources()...)
	return refusal
}

func (s *Server) release(follow *peerpb.Follow) {
	s.slots.release(follow.Instance)
	followers.Add(-1)
}

// session is one follower's stream.
type session struct {
	server *Server
	stream control.Stream
	after  uint64
	// held describes the part of a snapshot that the follower has from an earlier source.
	held *peerpb.HeldSnapshot
	// windowed is true if the follower acknowledges the bytes it has received.
	windowed bool
	// sent counts the bytes of snapshot parts and entries sent.
	sent uint64
	// ping and taken are from the newest ping read; pinged wakes run.
	ping   atomic.Uint64
	taken  atomic.Uint64
	pinged chan struct{}
	leader string
	path   []string
}

// receive reads pings. It ends the session when the stream ends.
func (s *session) receive(cancel context.CancelFunc) {
	defer cancel()
	for {
		ping, err := s.stream.Receive()
		if err != nil {
			return
		}
		s.ping.Store(ping.Number)
		s.taken.Store(ping.Taken)
		select {
		case s.pinged <- struct{}{}:
		default:
		}
	}
}

func (s *session) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.awaitWindow(ctx); err != nil {
			return err
		}
		changed := s.server.source.Changed()
		caughtUp, err := s.step(ctx)
		if err != nil {
			return err
		}
		if !caughtUp {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.pinged:
		}
	}
	return nil
}

// step sends the next batch and reports whether the follower is then up to date.
// The order of reads matters: ping, then age, then state. The state then holds
// everything that the age covers, and the age was computed after the ping was read.
func (s *session) step(ctx context.Context) (bool, error) {
	batch := &peerpb.FollowBatch{Echo: s.ping.Load()}
	age, err := s.server.source.Age()
	if err != nil {
		return false, err
	}
	state := s.server.source.State()
	batch.AgeMs = (age + time.Millisecond - 1).Milliseconds()
	batch.Commit = state.Index()
	s.describe(batch)
	if s.after >= state.Index() {
		return true, s.send(batch)
	}
	entries, ok := s.server.tail.After(s.after, MaxBatchBytes, s.encoding())
	if !ok {
		return false, s.sendSnapshot(ctx, state, batch)
	}
	batch.Entries = entries
	if err := s.send(batch); err != nil {
		return false, err
	}
	if len(entries) > 0 {
		s.after = entries[len(entries)-1].Index
	}
	return s.after >= state.Index(), nil
}

// encoding returns the encoding that the follower supports for large entries; followers
// of an earlier version support only plain.
func (s *session) encoding() encoding {
	if s.windowed {
		return packed
	}
	return plain
}

// awaitWindow waits until fewer than windowBytes are unacknowledged.
func (s *session) awaitWindow(ctx context.Context) error {
	for s.windowed && s.sent-s.taken.Load() >= windowBytes {
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.Unreachable, ctx.Err(), "the follower left")
		case <-s.pinged:
		}
	}
	return nil
}

// sendSnapshot sends a state in parts, resuming at the offset where an earlier transfer
// of the same snapshot was interrupted. Commit and age of the first batch apply to every
// part: the follower reaches the commit index only after the last.
func (s *session) sendSnapshot(ctx context.Context, state *store.State, first *peerpb.FollowBatch) error {
	if err := s.server.beginTransfer(); err != nil {
		return err
	}
	defer s.server.transfers.Add(-1)
	sending := s.snapshotOf(state)
	encoded := s.server.snapshots.begin(sending, s.windowed)
	defer s.server.snapshots.release()
	if err := s.awaitEncoded(ctx, encoded); err != nil {
		return err
	}
	snapshotsSent.Add(1)
	for _, part := range encoded.parts(encoded.resumeAt(s.held)) {
		if err := s.awaitWindow(ctx); err != nil {
			return err
		}
		batch := &peerpb.FollowBatch{Echo: first.Echo, AgeMs: first.AgeMs, Commit: first.Commit, Snapshot: part}
		batch.Leader, batch.Path, first.Leader, first.Path = first.Leader, first.Path, "", nil
		if err := s.send(batch); err != nil {
			return err
		}
	}
	s.after, s.held = sending.Index(), nil
	return nil
}

// awaitEncoded answers pings until the snapshot is encoded. A follower leaves a source
// that sends nothing for 0.75 s, and the encoding is discarded with the last follower.
// With a large state and a small share of a CPU core no follower would ever receive it.
func (s *session) awaitEncoded(ctx context.Context, encoded *encodedSnapshot) error {
	for {
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.Unreachable, ctx.Err(), "the follower left")
		case <-encoded.done:
			return encoded.err
		case <-s.pinged:
		}
		// A batch without an echo shows that this source is alive but confirms no state.
		if err := s.send(&peerpb.FollowBatch{}); err != nil {
			return err
		}
	}
}

// beginTransfer refuses a second concurrent snapshot if this instance follows another
// one: its link is slow, and four followers that share it receive a state four times as
// late as one would, while other sources have capacity. A refused follower asks the next
// source.
func (s *Server) beginTransfer() error {
	relay := len(s.source.Path()) > 1
	if s.transfers.Add(1) > maxRelayedTransfers && relay {
		s.transfers.Add(-1)
		return s.overloaded("already sending %d snapshot, the limit of a relay", maxRelayedTransfers)
	}
	return nil
}

// snapshotOf chooses the state to send: the one whose transfer was interrupted, else the
// newest retained one, or the current one if the tail lacks entries after the retained one.
func (s *session) snapshotOf(current *store.State) *store.State {
	retained := s.server.retained.at(s.held.GetIndex())
	if retained == nil {
		retained = s.server.retained.newest(current.Index())
	}
	if retained == nil || retained.Index() <= s.after {
		return current
	}
	if _, reaches := s.server.tail.After(retained.Index(), 0, plain); !reaches {
		return current
	}
	return retained
}

func (s *session) send(batch *peerpb.FollowBatch) error {
	batchesSent.Add(1)
	s.sent += BulkBytes(batch)
	return s.stream.Send(batch)
}

// describe adds leader and path to the batch if they changed since the last one.
func (s *session) describe(batch *peerpb.FollowBatch) {
	if leader := s.server.source.Leader(); leader != s.leader {
		s.leader = leader
		batch.Leader = leader
	}
	if path := s.server.source.Path(); !slices.Equal(path, s.path) {
		s.path = path
		batch.Path = path
	}
}

// BulkBytes returns the bytes by which a batch counts towards the send window: those of
// its snapshot part and its entries.
func BulkBytes(batch *peerpb.FollowBatch) uint64 {
	bytes := uint64(len(batch.GetSnapshot().GetData()))
	for _, entry := range batch.Entries {
		bytes += uint64(proto.Size(entry))
	}
	return bytes
}
