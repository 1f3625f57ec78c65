package control

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

// electionTimeoutsPerAttempt limits one attempt, in minimum election timeouts: a
// replica waits for up to two of them before it campaigns, and the election and its
// announcement take up to one more.
const electionTimeoutsPerAttempt = 3

// LeaderWatcher provides the current leader as known to an instance.
type LeaderWatcher interface {
	Leader() string
	// LeaderChanged returns a channel that is closed when another leader next becomes
	// known.
	LeaderChanged() <-chan struct{}
}

// ProposeAttempts tracks the attempts to have the leader commit one command. It is not
// safe for concurrent use.
type ProposeAttempts struct {
	idempotent bool
	// unknownOutcome is the failure of the last attempt that may have been executed.
	unknownOutcome error
}

// NewProposeAttempts returns the ProposeAttempts of a new command.
func NewProposeAttempts(command *controlpb.Command) *ProposeAttempts {
	return &ProposeAttempts{idempotent: store.Idempotent(command)}
}

// AttemptContext derives the context of one attempt from ctx. A paused leader keeps its
// connections open but does not answer: a caller that waited for it would miss its
// deadline, although another leader could answer immediately. The attempt of an
// idempotent command ends when a leader becomes known that is neither the one asked nor
// the one known before, or after electionTimeoutsPerAttempt. Other commands get all of
// ctx, since they are never sent again.
func (a *ProposeAttempts) AttemptContext(ctx context.Context, watcher LeaderWatcher, known, asked string, electionTimeout time.Duration) (context.Context, context.CancelFunc) {
	if !a.idempotent {
		return ctx, func() {}
	}
	attempt, cancel := context.WithTimeout(ctx, electionTimeoutsPerAttempt*electionTimeout)
	go func() {
		defer cancel()
		awaitOtherLeader(attempt, watcher, known, asked)
	}()
	return attempt, cancel
}

// awaitOtherLeader waits until a leader other than known and asked is known, or ctx
// ends.
func awaitOtherLeader(ctx context.Context, watcher LeaderWatcher, known, asked string) {
	for {
		changed := watcher.LeaderChanged()
		if leader := watcher.Leader(); leader != "" && leader != known && leader != asked {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// RecordFailure records a failed attempt and reports whether the command may be sent
// again although the outcome of this attempt is unknown. It returns false if the command
// was certainly not executed.
func (a *ProposeAttempts) RecordFailure(err error) (retry bool) {
	f := failure.From(err)
	if f.NotRun == failure.NotRunTrue {
		return false
	}
	a.unknownOutcome = err
	return a.idempotent && (f.Code == failure.OutcomeUnknown || f.Code == failure.Unreachable)
}

// Idempotent reports whether the command may be executed twice.
func (a *ProposeAttempts) Idempotent() bool { return a.idempotent }

// FinalError returns the error for the caller after the last attempt. Once the outcome of
// an attempt was unknown, it remains unknown: a later rejection gives no information on
// the earlier attempt.
func (a *ProposeAttempts) FinalError(last error) error {
	if a.unknownOutcome != nil {
		return a.unknownOutcome
	}
	return last
}

// FinalResult returns the result for the caller. A rejection by the state normally means
// that the command was not executed, but an earlier attempt may still be queued at a
// leader and be committed later: a cancellation that found no workflow would then
// cancel one submitted afterwards. In that case the earlier failure is returned.
func (a *ProposeAttempts) FinalResult(result *controlpb.Result) (*controlpb.Result, error) {
	if a.idempotent && a.unknownOutcome != nil && result.GetCode() != "" {
		return nil, a.unknownOutcome
	}
	return result, nil
}
