package control

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

// electionsPerTry is how many of the shortest election timeouts one try may take: a
// replica waits for up to two before it stands for election, and the election and its
// news get one more.
const electionsPerTry = 3

// Leaders tells who leads, as far as an instance knows.
type Leaders interface {
	Leader() string
	// LeaderChanged gives a channel that is closed when another leader is known next.
	LeaderChanged() <-chan struct{}
}

// Tries are the tries to have the leader commit one command.
type Tries struct {
	idempotent bool
	// unknown is the failure of a try that may have run.
	unknown error
}

// NewTries begins the tries of a command.
func NewTries(command *controlpb.Command) *Tries {
	return &Tries{idempotent: store.Idempotent(command)}
}

// Bound gives one try's part of ctx. A frozen leader keeps its connections open and never
// answers: who waited for it would pass its deadline, though another leader would answer
// at once. A try of an idempotent command ends when a leader is known that is neither the
// one asked nor the one known before, or else after electionsPerTry. Others have all of
// ctx, since they are never sent again.
func (t *Tries) Bound(ctx context.Context, leaders Leaders, known, asked string, electionTimeout time.Duration) (context.Context, context.CancelFunc) {
	if !t.idempotent {
		return ctx, func() {}
	}
	try, cancel := context.WithTimeout(ctx, electionsPerTry*electionTimeout)
	go func() {
		defer cancel()
		awaitOther(try, leaders, known, asked)
	}()
	return try, cancel
}

// awaitOther waits until a leader is known that is neither of two, or ctx ends.
func awaitOther(ctx context.Context, leaders Leaders, known, asked string) {
	for {
		changed := leaders.LeaderChanged()
		if leader := leaders.Leader(); leader != "" && leader != known && leader != asked {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Failed notes a failed try and tells whether the command may run again though this
// one's outcome is unknown.
func (t *Tries) Failed(err error) (again bool) {
	f := failure.From(err)
	if f.NotRun == failure.NotRunTrue {
		return false
	}
	t.unknown = err
	return t.idempotent && (f.Code == failure.OutcomeUnknown || f.Code == failure.Unreachable)
}

// Idempotent tells whether the command may run twice.
func (t *Tries) Idempotent() bool { return t.idempotent }

// Failure is what the caller is told after the last try: once an outcome was unknown
// it stays so, for a later refusal says nothing of the try before.
func (t *Tries) Failure(last error) error {
	if t.unknown != nil {
		return t.unknown
	}
	return last
}

// Answer is what the caller is told of a result. A refusal by the state counts as not
// run, but an earlier try may still wait at a leader and be committed after it: a
// cancellation that found no workflow would end one that is submitted next.
func (t *Tries) Answer(result *controlpb.Result) (*controlpb.Result, error) {
	if t.idempotent && t.unknown != nil && result.GetCode() != "" {
		return nil, t.unknown
	}
	return result, nil
}
