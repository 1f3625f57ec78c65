package follower

import (
	"context"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// ServeReplica tells a replica that wants to found a cluster whether one
// exists: a follower that holds state has it from one.
func (f *Follower) ServeReplica(_ context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	if call.GetIntroduce() == nil {
		refusal := failure.New(failure.NotLeader, "this instance follows")
		refusal.Leader = f.Leader()
		return nil, refusal
	}
	introduction := &peerpb.Introduction{Cluster: f.State().Index() > 0}
	return &peerpb.Reply{Body: &peerpb.Reply_Introduction{Introduction: introduction}}, nil
}

// ChangeMembers sends an operator's change of members to the leader.
func (f *Follower) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	leader := f.Leader()
	if leader == "" {
		return failure.New(failure.NoLeader, "no leader is known")
	}
	_, err := f.peers.Call(ctx, leader, &peerpb.Call{Body: &peerpb.Call_ChangeMembers{ChangeMembers: change}})
	return err
}

// Role is empty: a follower is no member.
func (f *Follower) Role() string { return "" }

// Deliver drops a consensus message: a follower has no replica.
func (f *Follower) Deliver(*consensuspb.Message) {}
