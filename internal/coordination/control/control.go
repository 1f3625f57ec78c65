// Package control defines how the other parts of an instance access the replicated
// control state, whether the instance is a voter or follows one.
package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Log is the replicated log as seen by one instance.
type Log interface {
	// State returns the newest applied state. Its index never decreases.
	State() *store.State
	// CheckFresh fails with stale_state while the state is older than the freshness bound: a
	// partitioned instance must reject requests that it would otherwise admit under
	// rules that have since been replaced.
	CheckFresh() error
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
	// Propose commits a command, through the leader, and returns its result.
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
	// Leader returns the name of the leader's instance; empty if unknown.
	Leader() string
	// IsLeader reports whether this instance is the leader.
	IsLeader() bool
}

// Stream is the server side of a follower's stream.
type Stream interface {
	Send(batch *peerpb.FollowBatch) error
	// Receive waits for the next ping of the follower.
	Receive() (*peerpb.FollowPing, error)
}

// SourceStream is the client side of a follower's stream, which receives from a source.
type SourceStream interface {
	Send(ping *peerpb.FollowPing) error
	// Receive waits for the next batch. If the source ends the stream with a reason, it
	// fails with that failure.
	Receive() (*peerpb.FollowBatch, error)
	// BytesReceived returns the number of bytes received, including those of an
	// incomplete batch.
	BytesReceived() uint64
	Close() error
}

// MessageStream sends consensus messages to one replica. Messages may be lost; those
// that arrive are in order.
type MessageStream interface {
	Send(messages ...*consensuspb.Message) error
	Close() error
}

// Node is the member of the log that runs in an instance: a voter, a learner or a
// follower.
type Node interface {
	Log
	// Run operates the node until ctx ends. It fails if the disk fails.
	Run(ctx context.Context) error
	// ServePropose handles a command that another instance forwarded.
	ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error)
	// ServeFollow streams the log to another instance until its stream ends.
	ServeFollow(ctx context.Context, follow *peerpb.Follow, stream Stream) error
	// ServeReplica handles the calls between replicas, and membership changes by an
	// operator.
	ServeReplica(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error)
	// ChangeMembers changes the membership of the log, through the leader.
	ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error
	// Role returns the role of the instance in the log: leader, voter or learner; empty
	// if it only follows.
	Role() string
	// Deliver passes in one consensus message. It does not block.
	Deliver(message *consensuspb.Message)
}

// Reader is the read-only part of a Log.
type Reader interface {
	State() *store.State
	Changed() <-chan struct{}
}

// AwaitIndex waits until the local state includes a log index. It fails with stale_state
// if ctx ends first.
func AwaitIndex(ctx context.Context, log Reader, index uint64) error {
	for {
		changed := log.Changed()
		if log.State().Index() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return failure.Wrap(failure.StaleState, ctx.Err(), "entry %d has not been applied", index)
		}
	}
}

// Barrier waits until the local state includes everything that was committed before the
// call, by committing a command without effect and waiting until it is applied.
func Barrier(ctx context.Context, log Log) error {
	result, err := log.Propose(ctx, &controlpb.Command{})
	if err != nil {
		return err
	}
	return AwaitIndex(ctx, log, result.Index)
}

// Sleep sleeps between two attempts. It returns false if ctx ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// Every calls a function periodically, for the first time after one interval, until ctx
// ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// PublishedState holds the newest state of a node. One goroutine publishes; any number
// may read concurrently.
type PublishedState struct {
	state   atomic.Pointer[store.State]
	changed Signal
	// logger is nil if nothing is logged.
	logger *logrus.Logger
}

// NewPublishedState returns a PublishedState with the empty state.
func NewPublishedState() *PublishedState {
	p := &PublishedState{}
	p.state.Store(store.New())
	return p
}

// WithLogger logs each change of the declarations when the state that contains it is
// published.
func (p *PublishedState) WithLogger(logger *logrus.Logger) *PublishedState {
	p.logger = logger
	return p
}

// State returns the newest published state.
func (p *PublishedState) State() *store.State { return p.state.Load() }

// Changed returns a channel that is closed by the next Publish.
func (p *PublishedState) Changed() <-chan struct{} { return p.changed.Next() }

// Publish replaces the state and wakes all waiting goroutines.
func (p *PublishedState) Publish(state *store.State) {
	before := p.state.Swap(state)
	p.changed.Raise()
	if p.logger != nil && before.Revision() != state.Revision() {
		entry := p.logger.WithFields(logrus.Fields{
			"version": state.Document().GetVersion(), "before": before.Document().GetVersion(),
			"revision": state.Revision(), "index": state.Index(), "digest": Digest(state.Document()),
			"queues": len(state.Queues()), "customers": len(state.Customers()),
		})
		if successors := renamed(before, state); len(successors) > 0 {
			entry = entry.WithField("successors", successors)
		}
		entry.Info("declarations in force")
	}
}

// renamed lists the customers whose work belongs to another name after a change of the declarations,
// for the log.
func renamed(before, after *store.State) []string {
	var changes []string
	for old, successor := range store.Successors(before.Customers(), after.Customers()) {
		if old != successor {
			changes = append(changes, old+">"+successor)
		}
	}
	slices.Sort(changes)
	return changes
}

// digestBytes is the part of a document's hash that is logged.
const digestBytes = 6

// Digest returns the beginning of the hash of a document's content, for the log: a version may
// have been sent with different contents. It is empty if there is no document.
func Digest(document *controlpb.Document) string {
	if document == nil {
		return ""
	}
	hash := sha256.Sum256(document.Content)
	return hex.EncodeToString(hash[:digestBytes])
}

// Apply applies one entry to the state. Voters and followers both use it, so that an
// entry without a command advances the index identically on all of them. Commands
// decided in a term other than the entry's have no effect.
func Apply(state *store.State, entry *peerpb.LogEntry) (*store.State, *controlpb.Result) {
	command := entry.Command
	if command == nil {
		command = &controlpb.Command{}
	}
	state = state.EnterTerm(entry.Term)
	if command.DecidedIn != 0 && command.DecidedIn != entry.Term {
		return skipStaleDecision(state, entry.Index)
	}
	return state.Apply(entry.Index, command)
}

// skipStaleDecision applies an entry without effect because its command was decided by
// an earlier leader. A leader that resumes after a pause acts on outdated state, and
// its proposals are forwarded to the current leader: a run that it considers ended
// would be started a second time while the first is still executing. The decision
// depends only on the terms of the command and of the entry, so that all replicas skip
// the same entries.
func skipStaleDecision(state *store.State, index uint64) (*store.State, *controlpb.Result) {
	next, result := state.Apply(index, &controlpb.Command{})
	result.Code = string(failure.StaleEpoch)
	result.Detail = "decided by an earlier leader"
	return next, result
}
