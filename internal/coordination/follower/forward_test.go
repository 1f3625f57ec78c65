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
	// callersTime is what a caller that waits for 3 s leaves a command.
	callersTime = 2850 * time.Millisecond
	// election is how long after a freeze the source names another leader.
	election = 600 * time.Millisecond
	// resendPause is the longest pause before the first try after a failure.
	resendPause = firstRetry
	// news is how long a follower waits for its source's next word.
	news = bound / pingsPerBound
)

func submission() *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: &controlpb.Workflow{Id: "w"}}}}
}

func drain() *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_Drain{Drain: &controlpb.SetDrain{Upstream: "u", Drained: true}}}
}

// front is a follower of v, which names the leader.
type front struct {
	*Follower
	mesh   *mesh
	source *voter
}

func newFront(ctx context.Context, leader string) *front {
	m := newMesh()
	f := &front{mesh: m, source: newVoter(m, "v")}
	f.source.led.Store(&leader)
	m.reply = func(string) (*peerpb.Reply, error) {
		return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: &controlpb.Result{Index: 1}}}, nil
	}
	f.Follower = m.start(ctx, relay(1))
	pass(time.Second)
	return f
}

// slow has an instance work on each call for a while.
func (f *front) slow(instance string, takes time.Duration) {
	f.mesh.update(func() { f.mesh.takes[instance] = takes })
}

func (f *front) freeze(instance string) { f.slow(instance, time.Hour) }

// elect has the source name another leader after a while.
func (f *front) elect(leader string, after time.Duration) {
	time.AfterFunc(after, func() { f.source.led.Store(&leader) })
}

// refuse has an instance say that another one leads.
func (f *front) refuse(instance, leader string) {
	accept := f.mesh.reply
	f.mesh.reply = func(to string) (*peerpb.Reply, error) {
		if to != instance {
			return accept(to)
		}
		refusal := failure.New(failure.NotLeader, "another one leads")
		refusal.Leader = leader
		return nil, refusal
	}
}

// proposeFor proposes with a caller's time and tells how long that took.
func (f *front) proposeFor(ctx context.Context, command *controlpb.Command) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callersTime)
	defer cancel()
	began := time.Now()
	_, err := f.Propose(ctx, command)
	return time.Since(began), err
}

func (f *front) called() []string {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	return f.mesh.called
}

// A front has sent a caller's workflow to the leader, whose machine stands still and
// never answers. Its source names the leader that was elected 0.6 s later. The caller
// is answered with that news, not told at its deadline that the outcome is unknown.
func TestCommandLeavesAFrozenLeaderWithTheNews(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newFront(ctx, "old")
		f.freeze("old")
		f.elect("new", election)
		took, err := f.proposeFor(ctx, submission())
		t.Logf("took %s", took)
		is.NoErr(err)
		is.Equal(f.called(), []string{"old", "new"})
		is.True(took <= election+news+resendPause)
	})
}

// As before, but the command may not run twice: it may have run at the frozen leader.
// The caller waits for its whole time, and hears that the outcome is unknown.
func TestPlainCommandIsSentOnce(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newFront(ctx, "old")
		f.freeze("old")
		f.elect("new", election)
		took, err := f.proposeFor(ctx, drain())
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.Equal(took, callersTime)
		is.Equal(f.called(), []string{"old"})
	})
}

// The leader's machine stands still and the front's source names it on and on: it has
// not heard of the next one. The front asks a voter after the time of an election and
// its news; that one names the next leader. The voter that is asked must not be the
// frozen one again, or the caller's time would go there.
func TestCommandLeavesAFrozenLeaderWithoutNews(t *testing.T) {
	for name, voters := range map[string][]string{"voters": {"v"}, "frozen voter first": {"old", "v"}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				is := is.New(t)
				f := newFront(ctx, "old")
				f.Follower.config.Voters = voters
				f.freeze("old")
				f.refuse("v", "new")
				took, err := f.proposeFor(ctx, submission())
				t.Logf("took %s", took)
				is.NoErr(err)
				is.Equal(f.called(), []string{"old", "v", "new"})
				is.True(took <= 3*electionTimeout+resendPause+lastRetry)
			})
		})
	}
}

// The asked instance names a leader that this front's source has not named yet. While
// that one works on the command the source's news come: the try goes on, since the
// leader that is known now is the one asked. Ended, it would be sent there twice.
func TestTryAtTheLeaderThatIsNewsGoesOn(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newFront(ctx, "old")
		f.refuse("old", "new")
		f.slow("new", election)
		f.elect("new", election/2)
		_, err := f.proposeFor(ctx, submission())
		is.NoErr(err)
		is.Equal(f.called(), []string{"old", "new"})
	})
}

// All that could lead stands still. The first try may run when its machine goes on,
// and what refuses later as surely not run speaks of its own try only: the caller must
// hear "unknown", or it would take a workflow for refused that runs later.
func TestUnknownOutcomeOfAFrontStaysUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := newFront(ctx, "old")
		f.freeze("old")
		f.refuse("v", "")
		_, err := f.proposeFor(ctx, submission())
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.True(len(f.called()) > 2)
		is.True(!slices.Contains(f.called()[1:], "old")) // the time goes to those that answer
	})
}
