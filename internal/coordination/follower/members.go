package follower

import (
	"context"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// ServeReplica tells a replica that is about to bootstrap a cluster whether one
// exists: a follower that has state received it from a cluster.
func (f *Follower) ServeReplica(_ context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	if call.GetIntroduce() == nil {
		refusal := failure.New(failure.NotLeader, "this instance follows")
		refusal.Leader = f.Leader()
		return nil, refusal
	}
	introduction := &peerpb.Introduction{Cluster: f.State().Index() > 0}
	return &peerpb.Reply{Body: &peerpb.Reply_Introduction{Introduction: introduction}}, nil
}

// ChangeMembers forwards an operator's membership change to the leader.
func (f *Follower) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	leader := f.Leader()
	if leader == "" {
		return failure.New(failure.NoLeader, "no leader is known")
	}
	_, err := f.peers.Call(ctx, leader, &peerpb.Call{Body: &peerpb.Call_ChangeMembers{ChangeMembers: change}})
	return err
}

// Role is empty: a follower is not a member of the consensus group.
func (f *Follower) Role() string { return "" }

// Deliver drops a consensus message: a follower has no replica.
func (f *Follower) Deliver(*consensuspb.Message) {}
