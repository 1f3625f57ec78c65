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

// Propose sends the command to the leader. It is sent again after an answer or
// error that says it surely did not run, and where it is idempotent also after one
// that leaves this open: another that may have run is for the caller, who knows
// whether it can be repeated.
func (f *Follower) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposePatience)
	defer cancel()
	attempts := control.NewProposeAttempts(command)
	known := f.Leader()
	to := target{name: known}
	for pause := firstRetry; ; pause = min(2*pause, lastRetry) {
		to.settle(f.config.Voters)
		result, err := f.forward(ctx, attempts, known, to.name, command)
		if err == nil {
			return attempts.FinalResult(result)
		}
		again := attempts.RecordFailure(err)
		refusal := failure.From(err)
		if !again && !elsewhere(refusal) || !f.pauseBefore(ctx, refusal, to.name, pause) {
			return nil, attempts.FinalError(err)
		}
		if again {
			f.logAgain(to.name, err)
		}
		known = f.Leader()
		to.next(refusal, attempts, known)
	}
}

// pauseBefore waits before the next try, but for the first refusal that names another
// leader; it reports false where ctx ends first.
func (f *Follower) pauseBefore(ctx context.Context, refusal *failure.Error, tried string, pause time.Duration) bool {
	hinted := refusal.Leader != "" && refusal.Leader != tried
	if hinted && pause == firstRetry {
		return true
	}
	return control.Pause(ctx, f.spread(pause))
}

// target is whom a command is sent to.
type target struct {
	// name is empty where no leader is known.
	name string
	// silent is the last one whose try ended with its outcome unknown.
	silent string
	// asked counts the voters asked for want of a leader.
	asked int
}

// settle takes the next voter where no leader is known, but not one that has just
// kept silent: it may be the leader of before, whose machine stands still.
func (t *target) settle(voters []string) {
	if t.name != "" {
		return
	}
	if voters[t.asked%len(voters)] == t.silent {
		t.asked++
	}
	t.name = voters[t.asked%len(voters)]
	t.asked++
}

// next goes to the leader that a refusal names, or, with an idempotent command, to
// the one known here unless that has just failed or kept silent.
func (t *target) next(refusal *failure.Error, attempts *control.ProposeAttempts, known string) {
	failed := t.name
	if refusal.NotRun != failure.NotRunTrue {
		t.silent = failed
	}
	t.name = refusal.Leader
	if t.name == "" && attempts.Idempotent() && known != failed && known != t.silent {
		t.name = known
	}
}

// elsewhere tells the failures of commands that surely did not run, after which another
// instance may lead.
func elsewhere(refusal *failure.Error) bool {
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
