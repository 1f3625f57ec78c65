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

// callersTime is what a caller that waits for 3 s leaves a command.
const callersTime = 2850 * time.Millisecond

func submission(id string) *controlpb.Command {
	w := &controlpb.Workflow{Id: id, Queue: "q", Customer: "c", MaxAttempts: 1, Steps: []*controlpb.Step{{Count: 1, CoresMilli: 1}}}
	return &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: w}}}
}

func cancellation(id string) *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}}
}

// proposeFor proposes with a caller's time and tells how long that took.
func proposeFor(r *Replica, command *controlpb.Command) (*controlpb.Result, time.Duration, error) {
	ctx, cancel := context.WithTimeout(background(), callersTime)
	defer cancel()
	began := time.Now()
	result, err := r.Propose(ctx, command)
	return result, time.Since(began), err
}

// nextLeader tells how long it takes until a replica knows another leader.
func (m *mesh) nextLeader(asked, old *Replica) <-chan time.Duration {
	elected, began := make(chan time.Duration, 1), time.Now()
	go func() {
		for {
			changed := asked.LeaderChanged()
			if leader := asked.Leader(); leader != "" && leader != old.config.Instance {
				elected <- time.Since(began)
				return
			}
			<-changed
		}
	}()
	return elected
}

// A command that waits for a frozen leader until its deadline, though another one leads.
func TestCommandLeavesAFrozenLeader(t *testing.T) {
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
				m.freeze(old.config.Instance)
				asked := m.other(old)
				elected := m.nextLeader(asked, old)
				result, took, err := proposeFor(asked, c.command)
				t.Logf("took %s", took)
				if !c.answered {
					is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
					is.Equal(took, callersTime)
					return
				}
				is.NoErr(err)
				is.Equal(result.Code, "")
				is.True(took <= <-elected+lastPause)
			})
		})
	}
}

// Work run twice: a submission that a frozen leader had committed is sent to the next.
func TestSecondTryOfACommittedWorkflowChangesNothing(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		old := startAll(m)
		time.Sleep(time.Second)
		m.freezing = old.config.Instance
		asked := m.other(old)
		first, _, err := proposeFor(asked, submission("w"))
		is.NoErr(err)
		is.Equal(first.Workflow.Id, "w")
		next := m.leader()
		is.True(next != old)
		is.Equal(len(next.State().Jobs()), 1)
		m.held[old.config.Instance] = []*peerpb.Propose{{Command: submission("w")}, {Command: submission("w")}}
		m.thaw(old.config.Instance)
		time.Sleep(2 * time.Second)
		for _, r := range m.replicas {
			is.NoErr(r.Fresh())
			is.Equal(len(r.State().Jobs()), 1)
		}
	})
}

// A "not run" that is not true, since an earlier try may still be committed.
func TestRefusalSaysNothingOfAnEarlierTry(t *testing.T) {
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
				asked := 0
				r := New(Config{Instance: "i1", ElectionTimeout: time.Second, Logger: silentLogger()}, answering(func() (*controlpb.Result, error) {
					asked++
					if asked == 1 {
						return nil, lost
					}
					return c.result, c.second
				}))
				r.view.Store(&view{leader: "i2"})
				_, err := r.Propose(background(), c.command)
				is.True(failure.Is(err, failure.OutcomeUnknown))
				is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
				is.Equal(asked, 2)
			})
		})
	}
}

// A caller that is kept until its deadline by a log that has failed.
func TestClosedLogEndsTheTries(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		r := New(Config{Instance: "i1", Now: time.Now, Logger: silentLogger()}, answering(nil))
		r.view.Store(&view{leader: "i1"})
		close(r.ended)
		_, took, err := proposeFor(r, submission("w"))
		is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
		is.Equal(took, time.Duration(0))
	})
}

func silentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// answering is peers that answer every command alike.
type answering func() (*controlpb.Result, error)

func (a answering) Call(context.Context, string, *peerpb.Call) (*peerpb.Reply, error) {
	result, err := a()
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: result}}, nil
}

func (a answering) Messages(context.Context, string) (control.MessageStream, error) {
	return droppingStream{}, nil
}

// droppingStream loses every message.
type droppingStream struct{}

func (droppingStream) Send(...*consensuspb.Message) error { return nil }
func (droppingStream) Close() error                       { return nil }
