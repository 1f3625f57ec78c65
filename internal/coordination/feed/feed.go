// Package feed serves the applied log to followers, from a bounded tail in
// memory or, where that no longer reaches, by a snapshot in parts. Voters and
// followers both serve through it, so that followers can follow followers.
//
// Freshness: a follower numbers its pings and keeps when it sent each one. A
// batch names the newest ping that was read before the sender took the age of
// its own state, so that state was confirmed at the latest `age` before the
// follower sent that ping. Only durations of one machine are added up; no two
// clocks are compared, and a batch that lay in a buffer while a link was cut or
// a process was stopped cannot pass for news.
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
	// MaxBatchBytes bounds the encoded entries, or the snapshot part, of one batch:
	// what else goes over the link waits behind it, 66 ms at 2 Mbit/s.
	MaxBatchBytes = 16 << 10
	// windowBytes bounds what is on its way to a follower and not yet taken: three
	// batches keep a link of 2 Mbit/s busy and hold up calls and soft state on it
	// for 0.2 s at most. Without a bound a transfer fills every buffer on the way.
	windowBytes = 3 * MaxBatchBytes
	// TailBytes is the memory that the entries kept for followers may take.
	TailBytes = 8 << 20
	// MaxFollowers bounds the streams that one instance serves; a follower that
	// is refused asks the next source, so that a tree arises.
	MaxFollowers = 16
	// mostRelayedTransfers bounds the snapshots that an instance without a disk sends
	// at a time: on 2 Mbit/s one of 250 KB takes 1 s, and as many seconds as there are.
	mostRelayedTransfers = 1
	// MaxPath bounds the instances between a voter and a follower, the voter
	// counted: each adds to the age, which must stay under the freshness bound.
	MaxPath = 4
)

var (
	followers      = expvar.NewInt("feed_followers")
	batchesSent    = expvar.NewInt("feed_batches_sent")
	snapshotsSent  = expvar.NewInt("feed_snapshots_sent")
	followsRefused = expvar.NewInt("feed_follows_refused")
)

// Source is the state that a feed serves.
type Source interface {
	State() *store.State
	Changed() <-chan struct{}
	Leader() string
	// Age is such that a State read after it returned holds everything that was
	// committed that long ago or earlier. It fails with stale_state where that
	// is unknown or longer than the freshness bound.
	Age() (time.Duration, error)
	// Path names the instances from a voter down to this one, itself included.
	Path() []string
}

// Server serves one instance's state to its followers.
type Server struct {
	source    Source
	tail      *Tail
	kept      keptStates
	snapshots *snapshotCache
	places    places
	// transfers counts the followers that are being sent a snapshot.
	transfers atomic.Int64
}

// NewServer makes a server. The source's owner calls Applied before it
// publishes the state that the entries lead to.
func NewServer(source Source) *Server {
	return &Server{source: source, tail: NewTail(TailBytes), snapshots: newSnapshotCache()}
}

// Applied keeps entries for followers.
func (s *Server) Applied(entries ...*peerpb.LogEntry) { s.tail.Append(entries...) }

// Passed tells of each state that an entry led to.
func (s *Server) Passed(state *store.State) { s.kept.pass(state) }

// Installed tells that the state was replaced by a snapshot, after the last
// entry and before the owner publishes it. The entries kept no longer lead to
// the state: a follower that got only those would wait for the rest for ever.
func (s *Server) Installed(state *store.State) {
	s.tail.Reset()
	s.kept.reset(state)
}

// Serve sends the log from after the asked index until the stream ends, or
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

// admit refuses a follower that this instance itself depends on: a loop of
// relays would confirm itself. Ages in a loop grow until all are stale, so the
// refusal is for speed; safety rests on the ages.
func (s *Server) admit(follow *peerpb.Follow) error {
	if _, err := s.source.Age(); err != nil {
		return err
	}
	path := s.source.Path()
	if slices.Contains(path, follow.Instance) {
		return failure.New(failure.NotReady, "this instance follows %s", follow.Instance)
	}
	if len(path) > MaxPath {
		return failure.New(failure.NotReady, "%d instances lie between here and a voter", len(path))
	}
	if !s.places.take(follow, keepsTheLog(s.source.State().Replicas(), follow.Instance)) {
		return s.full("%d followers are served already", MaxFollowers)
	}
	followers.Add(1)
	return nil
}

// full refuses for want of room and names who else has the state.
func (s *Server) full(format string, args ...any) error {
	refusal := failure.New(failure.Overloaded, format, args...)
	refusal.Sources = append(replicaSources(s.source.State().Replicas()), s.places.sources()...)
	return refusal
}

func (s *Server) release(follow *peerpb.Follow) {
	s.places.leave(follow.Instance)
	followers.Add(-1)
}

// session is one follower's stream.
type session struct {
	server *Server
	stream control.Stream
	after  uint64
	// held is what an earlier source sent of a snapshot.
	held *peerpb.HeldSnapshot
	// windowed tells whether the follower says what it has taken.
	windowed bool
	// sent counts the bytes of snapshot parts and entries.
	sent uint64
	// ping and taken are the newest read; pinged wakes run.
	ping   atomic.Uint64
	taken  atomic.Uint64
	pinged chan struct{}
	leader string
	path   []string
}

// receive reads pings; the end of the stream ends the session.
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

// step sends what comes next and tells whether the follower then has it all.
// The order matters: ping, then age, then state. The state then holds all that
// the age speaks of, and the age is not older than the ping.
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
	entries, ok := s.server.tail.After(s.after, MaxBatchBytes, s.form())
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

// form is how the follower reads large entries; an older one knows only the plain.
func (s *session) form() form {
	if s.windowed {
		return packed
	}
	return plain
}

// awaitWindow waits until less than the window is on its way to the follower.
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

// sendSnapshot sends a state in parts, from where an earlier transfer of the same
// one broke off. Commit and age of the first batch hold for every part: the
// follower is at commit only after the last.
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

// awaitEncoded answers pings until the snapshot is encoded: a follower leaves a source
// that says nothing for 0.75 s, and the encoding goes with the last of them. With a
// large state and little of a core no follower would ever get it.
func (s *session) awaitEncoded(ctx context.Context, encoded *encodedSnapshot) error {
	for {
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.Unreachable, ctx.Err(), "the follower left")
		case <-encoded.done:
			return encoded.err
		case <-s.pinged:
		}
		// Without an echo it says that this source is alive, and confirms no state.
		if err := s.send(&peerpb.FollowBatch{}); err != nil {
			return err
		}
	}
}

// beginTransfer refuses a second snapshot at a time where this instance follows
// another one: its link is thin, and four followers that share it get a state four
// times as late as one, while others have room. The refused one asks the next source.
func (s *Server) beginTransfer() error {
	relay := len(s.source.Path()) > 1
	if s.transfers.Add(1) > mostRelayedTransfers && relay {
		s.transfers.Add(-1)
		return s.full("%d snapshot is being sent already", mostRelayedTransfers)
	}
	return nil
}

// snapshotOf chooses the state to send: the one whose transfer broke off, else the
// newest that is kept, and the current one where the entries behind that are gone.
func (s *session) snapshotOf(current *store.State) *store.State {
	kept := s.server.kept.at(s.held.GetIndex())
	if kept == nil {
		kept = s.server.kept.newest(current.Index())
	}
	if kept == nil || kept.Index() <= s.after {
		return current
	}
	if _, reaches := s.server.tail.After(kept.Index(), 0, plain); !reaches {
		return current
	}
	return kept
}

func (s *session) send(batch *peerpb.FollowBatch) error {
	batchesSent.Add(1)
	s.sent += BulkBytes(batch)
	return s.stream.Send(batch)
}

// describe adds leader and path where they changed since the last batch.
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

// BulkBytes is what a batch counts in the window: the bytes of its snapshot part
// and its entries.
func BulkBytes(batch *peerpb.FollowBatch) uint64 {
	bytes := uint64(len(batch.GetSnapshot().GetData()))
	for _, entry := range batch.Entries {
		bytes += uint64(proto.Size(entry))
	}
	return bytes
}
