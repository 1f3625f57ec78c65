package follower

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// proposeTimeout limits a proposal while no leader answers. An election takes
// a fraction of it.
const proposeTimeout = 10 * time.Second

// Propose sends the command to the leader. The command is resent after a failure that
// guarantees that it did not run. An idempotent command is also resent after a failure
// with unknown outcome. Any other command that may have run is reported to the caller,
// who knows whether it can be repeated.
func (f *Follower) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	attempts := control.NewProposeAttempts(command)
	known := f.Leader()
	to := target{name: known}
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		to.chooseVoter(f.config.Voters)
		result, err := f.forward(ctx, attempts, known, to.name, command)
		if err == nil {
			return attempts.FinalResult(result)
		}
		resend := attempts.RecordFailure(err)
		refusal := failure.From(err)
		if !resend && !retryElsewhere(refusal) || !f.pauseBefore(ctx, refusal, to.name, pause) {
			return nil, attempts.FinalError(err)
		}
		if resend {
			f.logResend(to.name, err)
		}
		known = f.Leader()
		to.next(refusal, attempts, known)
	}
}

// pauseBefore waits before the next attempt, except after a first refusal that names
// another leader. It reports false if ctx ends first.
func (f *Follower) pauseBefore(ctx context.Context, refusal *failure.Error, tried string, pause time.Duration) bool {
	hinted := refusal.Leader != "" && refusal.Leader != tried
	if hinted && pause == minRetryDelay {
		return true
	}
	return control.Sleep(ctx, f.jitter(pause))
}

// target is the instance to which a command is sent.
type target struct {
	// name is empty if no leader is known.
	name string
	// timedOut is the last instance whose attempt ended with unknown outcome.
	timedOut string
	// votersAsked counts the voters asked because no leader was known.
	votersAsked int
}

// chooseVoter selects the next voter if no leader is known. It skips the voter whose
// attempt has just ended with unknown outcome: that may be the former leader, whose
// process is paused.
func (t *target) chooseVoter(voters []string) {
	if t.name != "" {
		return
	}
	if voters[t.votersAsked%len(voters)] == t.timedOut {
		t.votersAsked++
	}
	t.name = voters[t.votersAsked%len(voters)]
	t.votersAsked++
}

// next selects the leader named by a refusal or, for an idempotent command, the one
// known here unless its attempt has just failed or ended with unknown outcome.
func (t *target) next(refusal *failure.Error, attempts *control.ProposeAttempts, known string) {
	failed := t.name
	if refusal.NotRun != failure.NotRunTrue {
		t.timedOut = failed
	}
	t.name = refusal.Leader
	if t.name == "" && attempts.Idempotent() && known != failed && known != t.timedOut {
		t.name = known
	}
}

// retryElsewhere reports whether the command certainly did not run and another instance
// may be the leader.
func retryElsewhere(refusal *failure.Error) bool {
	if refusal.NotRun != failure.NotRunTrue {
		return false
	}
	return refusal.Code == failure.NotLeader || refusal.Code == failure.NoLeader || refusal.Code == failure.Unreachable
}

func (f *Follower) forward(ctx context.Context, attempts *control.ProposeAttempts, known, to string, command *controlpb.Command) (*controlpb.Result, error) {
	forwarded.Add(1)
	attempt, end := attempts.AttemptContext(ctx, f, known, to, f.config.ElectionTimeout)
	defer end()
	call := &peerpb.Call{Body: &peerpb.Call_Propose{Propose: &peerpb.Propose{Command: command}}}
	reply, err := f.peers.Call(attempt, to, call)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}
