// Package standby implements the control node of an instance with a data directory: a
// replica of the log and, while that is not a member or not fresh, a follower as a
// fallback. An instance whose disk was wiped thus continues to serve callers until an
// operator adds its new replica.
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

// pollInterval is how often the replica is checked for being a fresh member.
const pollInterval = 100 * time.Millisecond

// Replica is a control node that stores the log.
type Replica interface {
	control.Node
	// Member reports whether the replica is a member of the newest configuration.
	Member() bool
	// Status returns the replica's own view of the log.
	Status() consensus.Status
	// Start returns the replica's present start; nil before its log is open.
	Start() *controlpb.ReplicaStart
}

// Node combines a replica and a follower into one control node.
type Node struct {
	replica  Replica
	follower control.Node
	changed  control.Signal
	// followerStopped is raised when the replica takes over from the follower.
	followerStopped control.Signal
}

// New creates a node.
func New(replica Replica, follower control.Node) *Node {
	return &Node{replica: replica, follower: follower}
}

// Run runs the replica until ctx ends, and the follower while the replica is inactive.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	go n.forwardChanges(runCtx)
	go n.followWhileReplicaInactive(runCtx)
	return n.replica.Run(ctx)
}

// followWhileReplicaInactive runs the follower whenever the replica is not a member or
// not fresh.
func (n *Node) followWhileReplicaInactive(ctx context.Context) {
	for ctx.Err() == nil {
		if n.replicaActive() {
			control.Sleep(ctx, pollInterval)
			continue
		}
		followerCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.follower.Run(followerCtx)
		}()
		for ctx.Err() == nil && !n.replicaActive() {
			control.Sleep(ctx, pollInterval)
		}
		stop()
		if ctx.Err() == nil {
			n.followerStopped.Raise()
		}
		<-ended
	}
}

func (n *Node) replicaActive() bool { return n.replica.Member() && n.replica.CheckFresh() == nil }

// forwardChanges raises changed whenever the state of the replica or follower changes.
func (n *Node) forwardChanges(ctx context.Context) {
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

// State returns the newer of both states. Its index never decreases, since neither does.
func (n *Node) State() *store.State {
	own, followed := n.replica.State(), n.follower.State()
	if followed.Index() > own.Index() {
		return followed
	}
	return own
}

// CheckFresh fails while neither the replica nor the follower is fresh. The state that State
// returns is at least as new as that of a fresh one.
func (n *Node) CheckFresh() error {
	if n.replica.CheckFresh() == nil {
		return nil
	}
	return n.follower.CheckFresh()
}

// Changed returns a channel that is closed at the next change of the state.
func (n *Node) Changed() <-chan struct{} { return n.changed.Next() }

// Propose commits one command through the leader.
func (n *Node) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	return n.active().Propose(ctx, command)
}

// Leader returns the name of the leader, or "" if it is not known.
func (n *Node) Leader() string {
	if leader := n.replica.Leader(); leader != "" {
		return leader
	}
	return n.follower.Leader()
}

// IsLeader reports whether this instance is the leader. A replica that can't process anything, as while its disk
// answers nothing, takes itself for the leader long after another one was elected. The state that CheckFresh speaks of
// is then that of the next leader.
func (n *Node) IsLeader() bool { return n.replica.IsLeader() && n.replica.CheckFresh() == nil }

// Member reports whether the replica is a member of the newest configuration.
func (n *Node) Member() bool { return n.replica.Member() }

// Status returns the replica's own view of the log.
func (n *Node) Status() consensus.Status { return n.replica.Status() }

// Start returns the replica's present start; nil before its log is open.
func (n *Node) Start() *controlpb.ReplicaStart { return n.replica.Start() }

// Term returns the newest consensus term known to this replica.
func (n *Node) Term() uint64 { return n.replica.Status().Term }

// ServePropose handles a command forwarded by another instance.
func (n *Node) ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error) {
	return n.active().ServePropose(ctx, propose)
}

// ServeFollow streams the log to another instance.
func (n *Node) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	stopped := n.followerStopped.Next()
	if n.replica.CheckFresh() == nil {
		return n.replica.ServeFollow(ctx, follow, stream)
	}
	return n.serveFromFollower(ctx, stopped, follow, stream)
}

// serveFromFollower streams the follower's state until the follower stops. A session that
// continued would stream a state that only gets older, and all its followers would become
// stale at the same time. If it ends while they are still fresh, they search again and find
// the replica.
func (n *Node) serveFromFollower(ctx context.Context, stopped <-chan struct{}, follow *peerpb.Follow, stream control.Stream) error {
	serving, end := control.WithDone(ctx, stopped)
	defer end()
	err := n.follower.ServeFollow(serving, follow, stream)
	select {
	case <-stopped:
		return failure.New(failure.NotReady, "the replica of this instance is fresh again: reconnect to follow it")
	default:
		return err
	}
}

// ServeReplica handles a call from another replica.
func (n *Node) ServeReplica(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	return n.replica.ServeReplica(ctx, call)
}

// ChangeMembers changes the membership of the consensus group.
func (n *Node) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	return n.active().ChangeMembers(ctx, change)
}

// Role returns the replica's role in the consensus group.
func (n *Node) Role() string { return n.replica.Role() }

// Deliver passes one consensus message to the replica.
func (n *Node) Deliver(message *consensuspb.Message) { n.replica.Deliver(message) }

// active returns the node that forwards commands. A replica that was removed while it was
// cut off still takes itself for a member and knows no leader: commands that waited for it
// would fail for as long as the process lives. The follower is fresh then and knows the
// leader.
func (n *Node) active() control.Node {
	if n.replica.Member() && (n.replica.CheckFresh() == nil || n.follower.CheckFresh() != nil) {
		return n.replica
	}
	return n.follower
}
