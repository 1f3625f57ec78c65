package replica

import (
	"context"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// ServeFollow sends the log to another instance.
func (r *Replica) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return r.feed.Serve(ctx, follow, stream)
}

// ServePropose executes a command forwarded by another instance. It is not forwarded
// again: a command could circulate forever between two instances that each take the
// other for the leader.
func (r *Replica) ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.submit(ctx, propose.Command)
}

// ServeReplica answers the calls between replicas.
func (r *Replica) ServeReplica(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	select {
	case <-r.opened:
	default:
		return nil, failure.New(failure.NotReady, "the log is not open yet")
	}
	switch body := call.Body.(type) {
	case *peerpb.Call_Introduce:
		r.introductions.peerIntroduced(call.From)
		introduction := r.introduction()
		introduction.KnownStart = r.knownStart(body.Introduce.GetIdentity())
		return &peerpb.Reply{Body: &peerpb.Reply_Introduction{Introduction: introduction}}, nil
	case *peerpb.Call_Confirm:
		confirmation, err := r.serveConfirm(ctx, body.Confirm)
		if err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Confirmation{Confirmation: confirmation}}, nil
	case *peerpb.Call_FetchSnapshot:
		chunk, err := r.serveChunk(body.FetchSnapshot)
		if err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_SnapshotChunk{SnapshotChunk: chunk}}, nil
	case *peerpb.Call_ChangeMembers:
		if !r.IsLeader() {
			f := failure.New(failure.NotLeader, "another replica leads")
			f.Leader = r.Leader()
			return nil, f
		}
		if err := r.ChangeMembers(ctx, body.ChangeMembers); err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}}, nil
	}
	return nil, failure.New(failure.BadRequest, "unknown call")
}
