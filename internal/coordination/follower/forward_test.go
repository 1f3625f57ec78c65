package follower

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// callerTimeout is the time left for a command of a caller with a timeout of 3 s.
	callerTimeout = 2850 * time.Millisecond
	// election is the time from a freeze until the source names another leader.
	election = 600 * time.Millisecond
	// resendPause is the maximum delay before the first attempt after a failure.
	resendPause = minRetryDelay
	// pingInterval is the maximum time between two batches from the source.
	pingInterval = bound / pingsPerBound
)

func submission() *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: &controlpb.Workflow{Id: "w"}}}}
}

func drain() *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_Drain{Drain: &controlpb.SetDrain{Upstream: "u", Drained: true}}}
}

// forwarder is a follower of v, which reports the leader.
type forwarder struct {
	*Follower
	network *network
	source  *voter
}

func newForwarder(ctx context.Context, leader string) *forwarder {
	m := newNetwork()
	f := &forwarder{network: m, source: newVoter(m, "v")}
	f.source.otherLeader.Store(&leader)
	m.reply = func(string) (*peerpb.Reply, error) {
		return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: &controlpb.Result{Index: 1}}}, nil
	}
	f.Follower = m.start(ctx, relay(1))
	advance(time.Second)
	return f
}

// delayCalls makes an instance take that long for each call.
func (f *forwarder) delayCalls(instance string, delay time.Duration) {
	f.network.update(func() { f.network.callDelays[instance] = delay })
}

func (f *forwarder) freeze(instance string) { f.delayCalls(instance, time.Hour) }

// elect makes the source report another leader after the delay.
func (f *forwarder) elect(leader string, after time.Duration) {
	time.AfterFunc(after, func() { f.source.otherLeader.Store(&leader) })
}

// refuse makes an instance refuse calls and name another one as the leader.
func (f *forwarder) refuse(instance, leader string) {
	accept := f.network.reply
	f.network.reply = func(to string) (*peerpb.Reply, error) {
		if to != instance {
			return accept(to)
		}
		refusal := failure.New(failure.NotLeader, "another one leads")
		refusal.Leader = leader
		return nil, refusal
	}
}

// propose proposes with the timeout of a caller and returns how long that took.
func (f *forwarder) propose(ctx context.Context, command *controlpb.Command) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	began := time.Now()
	_, err := f.Propose(ctx, command)
	return time.Since(began), err
}

func (f *forwarder) called() []string {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.called
}

// A follower has forwarded a caller's workflow to the leader, which is paused and never
// answers. Its source names the leader elected 0.6 s later. The command must then be
// resent there, instead of failing with unknown outcome at the caller's deadline.
func TestCommandIsResentWhenSourceNamesNewLeader(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newForwarder(ctx, "old")
		f.freeze("old")
		f.elect("new", election)
		took, err := f.propose(ctx, submission())
		t.Logf("took %s", took)
		is.NoErr(err)
		is.Equal(f.called(), []string{"old", "new"})
		is.True(took <= election+pingInterval+resendPause)
	})
}

// As above, but the command is not idempotent and may have run at the frozen leader. It
// must not be resent: the caller waits for its full timeout and receives an unknown outcome.
func TestNonIdempotentCommandIsSentOnce(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newForwarder(ctx, "old")
		f.freeze("old")
		f.elect("new", election)
		took, err := f.propose(ctx, drain())
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.Equal(took, callerTimeout)
		is.Equal(f.called(), []string{"old"})
	})
}

// The leader is paused, and the follower's source keeps naming it because it does not know
// of the next one. After an election timeout and the time for its result to arrive the
// follower asks a voter, which names the next leader. That voter must not be the frozen
// leader, or the rest of the caller's timeout would be spent there.
func TestCommandIsResentWhileSourceNamesFrozenLeader(t *testing.T) {
	for name, voters := range map[string][]string{"voters": {"v"}, "frozen voter first": {"old", "v"}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				is := is.New(t)
				f := newForwarder(ctx, "old")
				f.Follower.config.Voters = voters
				f.freeze("old")
				f.refuse("v", "new")
				took, err := f.propose(ctx, submission())
				t.Logf("took %s", took)
				is.NoErr(err)
				is.Equal(f.called(), []string{"old", "v", "new"})
				is.True(took <= 3*electionTimeout+resendPause+maxRetryDelay)
			})
		})
	}
}

// A refusal names a leader that the follower's source has not named yet. While that leader
// works on the command, the source names it too. The attempt must continue, since it is
// already at the new leader; if it were cancelled, the command would be sent there twice.
func TestAttemptAtNewlyKnownLeaderContinues(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newForwarder(ctx, "old")
		f.refuse("old", "new")
		f.delayCalls("new", election)
		f.elect("new", election/2)
		_, err := f.propose(ctx, submission())
		is.NoErr(err)
		is.Equal(f.called(), []string{"old", "new"})
	})
}

// No instance that could lead answers. The first attempt may still run when the leader
// resumes, and a later refusal with "did not run" applies only to its own attempt. The
// caller must receive an unknown outcome, or it would treat a workflow as refused that
// runs later.
func TestUnknownOutcomeIsNotOverriddenByLaterRefusal(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newForwarder(ctx, "old")
		f.freeze("old")
		f.refuse("v", "")
		_, err := f.propose(ctx, submission())
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.True(len(f.called()) > 2)
		is.True(!slices.Contains(f.called()[1:], "old")) // the remaining time is spent on instances that answer
	})
}
