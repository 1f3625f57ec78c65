package replica

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// callerTimeout is the time left for a command by a caller that waits for 3 s.
const callerTimeout = 2850 * time.Millisecond

func submission(id string) *controlpb.Command {
	w := &controlpb.Workflow{Id: id, Queue: "q", Customer: "c", MaxAttempts: 1, Steps: []*controlpb.Step{{Count: 1, CoresMilli: 1}}}
	return &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: w}}}
}

func cancellation(id string) *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}}
}

// proposeFor proposes a command with the timeout of a caller and returns how long it
// took.
func proposeFor(r *Replica, command *controlpb.Command) (*controlpb.Result, time.Duration, error) {
	ctx, cancel := context.WithTimeout(background(), callerTimeout)
	defer cancel()
	began := time.Now()
	result, err := r.Propose(ctx, command)
	return result, time.Since(began), err
}

// nextLeader sends the time until a replica knows another leader.
func (m *mesh) nextLeader(follower, old *Replica) <-chan time.Duration {
	elected, began := make(chan time.Duration, 1), time.Now()
	go func() {
		for {
			changed := follower.LeaderChanged()
			if leader := follower.Leader(); leader != "" && leader != old.config.Instance {
				elected <- time.Since(began)
				return
			}
			<-changed
		}
	}()
	return elected
}

// Guards against a command that waits for a paused leader until its deadline although
// another replica leads.
func TestCommandMovesFromPausedLeader(t *testing.T) {
	cases := map[string]struct {
		command  *controlpb.Command
		answered bool
	}{
		"submit": {submission("w"), true},
		"cancel": {cancellation("known"), true},
		"read":   {&controlpb.Command{}, true},
		"plain":  {drain("u"), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				old := startAll(m)
				_, _, err := proposeFor(old, submission("known"))
				is.NoErr(err)
				time.Sleep(time.Second)
				m.pause(old.config.Instance)
				follower := m.other(old)
				elected := m.nextLeader(follower, old)
				result, took, err := proposeFor(follower, c.command)
				t.Logf("took %s", took)
				if !c.answered {
					is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
					is.Equal(took, callerTimeout)
					return
				}
				is.NoErr(err)
				is.Equal(result.Code, "")
				is.True(took <= <-elected+maxRetryPause)
			})
		})
	}
}

// Guards against work that runs twice: a submission that a paused leader had committed
// is sent to the next leader.
func TestResendOfCommittedWorkflowChangesNothing(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		time.Sleep(time.Second)
		m.pausesBeforeReply = old.config.Instance
		follower := m.other(old)
		first, _, err := proposeFor(follower, submission("w"))
		is.NoErr(err)
		is.Equal(first.Workflow.Id, "w")
		next := m.leader()
		is.True(next != old)
		is.Equal(len(next.State().Jobs()), 1)
		m.queued[old.config.Instance] = []*peerpb.Propose{{Command: submission("w")}, {Command: submission("w")}}
		m.resume(old.config.Instance)
		time.Sleep(2 * time.Second)
		for _, r := range m.replicas {
			is.NoErr(r.CheckFresh())
			is.Equal(len(r.State().Jobs()), 1)
		}
	})
}

// Guards against a wrong "not run" while an earlier attempt may still be committed.
func TestRejectionLeavesEarlierAttemptUnknown(t *testing.T) {
	lost := failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "answer lost")
	cases := map[string]struct {
		command *controlpb.Command
		second  error
		result  *controlpb.Result
	}{
		"overloaded":  {submission("w"), failure.New(failure.Overloaded, "full"), nil},
		"full disk":   {submission("w"), failure.New(failure.DiskFull, "full"), nil},
		"not found":   {cancellation("w"), nil, &controlpb.Result{Code: string(failure.NotFound)}},
		"other queue": {submission("w"), nil, &controlpb.Result{Code: string(failure.Conflict)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, m *mesh) {
				calls := 0
				r := New(Config{Instance: "i1", ElectionTimeout: time.Second, Logger: discardLogger()}, answeringPeers(func() (*controlpb.Result, error) {
					calls++
					if calls == 1 {
						return nil, lost
					}
					return c.result, c.second
				}))
				r.view.Store(&view{leader: "i2"})
				_, err := r.Propose(background(), c.command)
				is.True(failure.Is(err, failure.OutcomeUnknown))
				is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
				is.Equal(calls, 2)
			})
		})
	}
}

// Guards against a caller that is kept until its deadline by a log that has failed.
func TestClosedLogEndsRetries(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		r := New(Config{Instance: "i1", Now: time.Now, Logger: discardLogger()}, answeringPeers(nil))
		r.view.Store(&view{leader: "i1"})
		close(r.ended)
		_, took, err := proposeFor(r, submission("w"))
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.Equal(took, time.Duration(0))
	})
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// answeringPeers answers every command by calling the function.
type answeringPeers func() (*controlpb.Result, error)

func (a answeringPeers) Call(context.Context, string, *peerpb.Call) (*peerpb.Reply, error) {
	result, err := a()
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: result}}, nil
}

func (a answeringPeers) Messages(context.Context, string) (control.MessageStream, error) {
	return droppingStream{}, nil
}

// droppingStream drops every message.
type droppingStream struct{}

func (droppingStream) Send(...*consensuspb.Message) error { return nil }
func (droppingStream) Close() error                       { return nil }
