// Package control is what the rest of an instance sees of the replicated
// control state, whether the instance is a voter or follows one.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Log is the replicated log of one instance.
type Log interface {
	// State is the newest applied state; it never goes back.
	State() *store.State
	// Fresh fails with stale_state while the state is older than the
	// freshness bound: an instance that is cut off must refuse what it would
	// otherwise admit under rules since replaced.
	Fresh() error
	// Changed gives a channel that is closed when the state next changes.
	Changed() <-chan struct{}
	// Propose commits one command, by way of the leader, and gives its result.
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
	// Leader names the instance that leads as far as is known, or is empty.
	Leader() string
	// IsLeader tells whether this instance leads.
	IsLeader() bool
}

// Stream is the serving end of one follower's stream.
type Stream interface {
	Send(batch *peerpb.FollowBatch) error
	// Receive waits for the follower's next ping.
	Receive() (*peerpb.FollowPing, error)
}

// SourceStream is the following end of a stream.
type SourceStream interface {
	Send(ping *peerpb.FollowPing) error
	// Receive waits for the next batch; a source that ends the stream with a
	// reason makes it fail with that failure.
	Receive() (*peerpb.FollowBatch, error)
	// Arrived counts the bytes that have come, those of an unfinished batch too.
	Arrived() uint64
	Close() error
}

// MessageStream carries consensus messages to one replica. A message may be
// lost; those that arrive are in order.
type MessageStream interface {
	Send(messages ...*consensuspb.Message) error
	Close() error
}

// Node is an instance's part in the log: a voter or a follower.
type Node interface {
	Log
	// Run takes part until ctx ends; it fails when the disk does.
	Run(ctx context.Context) error
	// ServePropose answers a command that another instance sent.
	ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error)
	// ServeFollow sends another instance the log until its stream ends.
	ServeFollow(ctx context.Context, follow *peerpb.Follow, stream Stream) error
	// ServeReplica answers the calls that replicas make among themselves, and
	// an operator's change of members.
	ServeReplica(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error)
	// ChangeMembers changes who keeps the log, by way of the leader.
	ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error
	// Role is the instance's part in the log: leader, voter, learner, or empty
	// where it follows.
	Role() string
	// Deliver takes one consensus message; it does not wait.
	Deliver(message *consensuspb.Message)
}

// Reader is the reading part of a Log.
type Reader interface {
	State() *store.State
	Changed() <-chan struct{}
}

// Await waits until the instance's own state holds a log index, and fails with
// stale_state when ctx ends first.
func Await(ctx context.Context, log Reader, index uint64) error {
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

// Read waits until the instance's own state holds everything that was committed
// before the call: an entry without effect goes through the log behind it all.
func Read(ctx context.Context, log Log) error {
	result, err := log.Propose(ctx, &controlpb.Command{})
	if err != nil {
		return err
	}
	return Await(ctx, log, result.Index)
}

// Pause waits between two tries; it reports false where ctx ends first.
func Pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// Every does something at an interval, the first time after one, until ctx ends.
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

// Published is the newest state of a node. One goroutine publishes; any reads.
type Published struct {
	state   atomic.Pointer[store.State]
	changed Signal
}

// NewPublished holds the empty state.
func NewPublished() *Published {
	p := &Published{}
	p.state.Store(store.New())
	return p
}

// State is the newest published state.
func (p *Published) State() *store.State { return p.state.Load() }

// Changed gives a channel that is closed by the next Publish.
func (p *Published) Changed() <-chan struct{} { return p.changed.Next() }

// Publish replaces the state and wakes everyone who waits.
func (p *Published) Publish(state *store.State) {
	p.state.Store(state)
	p.changed.Raise()
}

// Apply moves the state over one entry. Voters and followers both use it, so
// that an entry without a command moves the index alike on all of them.
func Apply(state *store.State, entry *peerpb.LogEntry) (*store.State, *controlpb.Result) {
	command := entry.Command
	if command == nil {
		command = &controlpb.Command{}
	}
	if command.DecidedIn != 0 && command.DecidedIn != entry.Term {
		return outdated(state, entry.Index)
	}
	return state.Apply(entry.Index, command)
}

// outdated passes over what an earlier leader decided. A leader that was frozen wakes
// with its old beliefs, and what it proposes is forwarded to the leader of now: a run
// that it takes for ended would be started again beside itself. The term of the entry
// is that of the leader that wrote it, so every replica passes over the same ones.
func outdated(state *store.State, index uint64) (*store.State, *controlpb.Result) {
	next, result := state.Apply(index, &controlpb.Command{})
	result.Code = string(failure.StaleEpoch)
	result.Detail = "decided by an earlier leader"
	return next, result
}
