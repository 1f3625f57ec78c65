// Package standby is the node of an instance with a data folder: a replica of
// the log and, as long as that is no member, a follower beside it. An instance
// whose disk was wiped thus goes on serving callers until an operator adds its
// new replica.
package standby

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// lookEvery is how often the replica is asked whether it is a member.
const lookEvery = 100 * time.Millisecond

// Replica is the part that keeps the log.
type Replica interface {
	control.Node
	// Member tells whether it is a member of the newest configuration.
	Member() bool
	// Status is the log's own view of itself.
	Status() consensus.Status
}

// Node joins both.
type Node struct {
	replica  Replica
	follower control.Node
	changed  control.Signal
	// followerStopped is raised when the replica takes the follower's place.
	followerStopped control.Signal
}

// New makes a node.
func New(replica Replica, follower control.Node) *Node {
	return &Node{replica: replica, follower: follower}
}

// Run keeps the log until ctx ends, and follows others while outside of it.
func (n *Node) Run(ctx context.Context) error {
	working, stop := context.WithCancel(ctx)
	defer stop()
	go n.passChanges(working)
	go n.followWhileOutside(working)
	return n.replica.Run(ctx)
}

// followWhileOutside runs the follower whenever the replica is no member or
// not yet fresh.
func (n *Node) followWhileOutside(ctx context.Context) {
	for ctx.Err() == nil {
		if n.inside() {
			control.Pause(ctx, lookEvery)
			continue
		}
		following, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.follower.Run(following)
		}()
		for ctx.Err() == nil && !n.inside() {
			control.Pause(ctx, lookEvery)
		}
		stop()
		if ctx.Err() == nil {
			n.followerStopped.Raise()
		}
		<-ended
	}
}

func (n *Node) inside() bool { return n.replica.Member() && n.replica.Fresh() == nil }

// passChanges wakes who waits for either part.
func (n *Node) passChanges(ctx context.Context) {
	for {
		replica, follower := n.replica.Changed(), n.follower.Changed()
		n.changed.Raise()
		select {
		case <-ctx.Done():
			return
		case <-replica:
		case <-follower:
		}
	}
}

// State is the newer of both. Neither goes back, so it doesn't either.
func (n *Node) State() *store.State {
	own, followed := n.replica.State(), n.follower.State()
	if followed.Index() > own.Index() {
		return followed
	}
	return own
}

// Fresh fails while neither part is fresh. A fresh part's state is no newer
// than what State gives.
func (n *Node) Fresh() error {
	if n.replica.Fresh() == nil {
		return nil
	}
	return n.follower.Fresh()
}

// Changed gives a channel that is closed when the state next changes.
func (n *Node) Changed() <-chan struct{} { return n.changed.Next() }

// Propose commits one command by way of the leader.
func (n *Node) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	return n.acting().Propose(ctx, command)
}

// Leader names the instance that leads, as far as is known.
func (n *Node) Leader() string {
	if leader := n.replica.Leader(); leader != "" {
		return leader
	}
	return n.follower.Leader()
}

// IsLeader tells whether this instance leads.
func (n *Node) IsLeader() bool { return n.replica.IsLeader() }

// Member tells whether the replica is a member of the newest configuration.
func (n *Node) Member() bool { return n.replica.Member() }

// Status is the replica's own view of the log.
func (n *Node) Status() consensus.Status { return n.replica.Status() }

// Term numbers the leaderships of the log as far as this replica knows.
func (n *Node) Term() uint64 { return n.replica.Status().Term }

// ServePropose answers a command that another instance sent.
func (n *Node) ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error) {
	return n.acting().ServePropose(ctx, propose)
}

// ServeFollow sends another instance the log.
func (n *Node) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	stopped := n.followerStopped.Next()
	if n.replica.Fresh() == nil {
		return n.replica.ServeFollow(ctx, follow, stream)
	}
	return n.serveFollowed(ctx, stopped, follow, stream)
}

// serveFollowed sends what the follower has until that stops. A session that went on
// would send a state that only grows old, and all who follow it would lose it at the
// same moment, stale. Ended while they are fresh, they search and find the replica.
func (n *Node) serveFollowed(ctx context.Context, stopped <-chan struct{}, follow *peerpb.Follow, stream control.Stream) error {
	serving, end := control.WithDone(ctx, stopped)
	defer end()
	err := n.follower.ServeFollow(serving, follow, stream)
	select {
	case <-stopped:
		return failure.New(failure.NotReady, "the replica here is fresh again: follow it anew")
	default:
		return err
	}
}

// ServeReplica answers the calls that replicas make among themselves.
func (n *Node) ServeReplica(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	return n.replica.ServeReplica(ctx, call)
}

// ChangeMembers changes who keeps the log.
func (n *Node) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	return n.acting().ChangeMembers(ctx, change)
}

// Role is the replica's part in the log.
func (n *Node) Role() string { return n.replica.Role() }

// Deliver takes one consensus message.
func (n *Node) Deliver(message *consensuspb.Message) { n.replica.Deliver(message) }

func (n *Node) acting() control.Node {
	if n.replica.Member() {
		return n.replica
	}
	return n.follower
}
