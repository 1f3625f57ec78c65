package follower

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// proposePatience bounds a proposal while no leader answers; an election takes
// a fraction of it.
const proposePatience = 10 * time.Second

// Propose sends the command to the leader. It is sent again only after an
// answer or error that says it surely did not run: what may have run is for
// the caller, who knows whether the command can be repeated.
func (f *Follower) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposePatience)
	defer cancel()
	target, asked := f.Leader(), 0
	for pause := firstRetry; ; pause = min(2*pause, lastRetry) {
		if target == "" {
			target = f.config.Voters[asked%len(f.config.Voters)]
			asked++
		}
		result, err := f.forward(ctx, target, command)
		if err == nil {
			return result, nil
		}
		refusal := failure.From(err)
		if refusal.NotRun != failure.NotRunTrue || !elsewhere(refusal.Code) {
			return nil, err
		}
		hinted := refusal.Leader != "" && refusal.Leader != target
		target = refusal.Leader
		if hinted && pause == firstRetry {
			continue
		}
		if !control.Pause(ctx, f.spread(pause)) {
			return nil, err
		}
	}
}

// elsewhere tells the failures after which another instance may lead.
func elsewhere(code failure.Code) bool {
	return code == failure.NotLeader || code == failure.NoLeader || code == failure.Unreachable
}

func (f *Follower) forward(ctx context.Context, to string, command *controlpb.Command) (*controlpb.Result, error) {
	forwarded.Add(1)
	call := &peerpb.Call{Body: &peerpb.Call_Propose{Propose: &peerpb.Propose{Command: command}}}
	reply, err := f.peers.Call(ctx, to, call)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}
