package leases

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Guards against a start with an empty specification: the workflow was cancelled while
// the start was queued.
func TestStartIsNotSentAfterCancellation(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err := sendCommand(m, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// Guards against starts that cannot be traced because the log does not say what they
// carried or why they were withheld.
func TestStartIsLoggedWithItsParameters(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		output := &bytes.Buffer{}
		m.config.Logger.SetOutput(output)
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		is.True(strings.Contains(output.String(), "specification_bytes=1"))
		withheld := commandsWithheld.Value()
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err = sendCommand(m, api.PathTaskStart)
		is.True(failure.Is(err, failure.StaleEpoch))
		for _, field := range []string{`msg="order withheld"`, "order=" + api.PathTaskStart, "task=w.0.0.0", "run=1", "state=STOPPING", "epoch=1"} {
			is.True(strings.Contains(output.String(), field))
		}
		is.Equal(commandsWithheld.Value(), withheld+1)
	})
}

// apply commits a command to the replicated state.
func (c *fakeCluster) apply(command *controlpb.Command) {
	c.set(func() {
		c.state, _ = control.Apply(c.state, &peerpb.LogEntry{Index: c.state.Index() + 1, Command: command})
	})
}

// Another task of the workflow fails permanently while a start is queued. Like a
// cancelled workflow, the failed one no longer has its specification.
func TestStartIsNotSentAfterWorkflowFailure(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		failing := &controlpb.Job{
			Id: "w.0.0.1", Workflow: "w", Tasks: 1, FirstTask: 1, Epoch: 1, State: controlpb.JobState_JOB_STATE_STOPPING,
			Placements: []*controlpb.Placement{{Worker: "i-1", Incarnation: 1}},
		}
		c.set(func() { c.state = placedState(failing) })
		c.apply(&controlpb.Command{Op: &controlpb.Command_Move{Move: &controlpb.MoveJob{Job: "w.0.0.1", Epoch: 1, State: controlpb.JobState_JOB_STATE_PARKED}}})
		w, _ := c.State().Workflow("w")
		is.Equal(w.State, controlpb.WorkflowState_WORKFLOW_STATE_FAILED)
		_, err := sendCommand(m, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// Guards against a start that is sent after a cancellation, or by an instance that is
// no longer the leader.
func TestStartIsNotSentIfSupersededDuringFirstPoll(t *testing.T) {
	for name, supersede := range map[string]func(c *fakeCluster){
		"cancelled": func(c *fakeCluster) {
			c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		},
		"deposed": func(c *fakeCluster) { c.set(func() { c.leader = false }) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newFakeCluster(placedState())
				c.delay = 600 * time.Millisecond
				m := startManager(t, c)
				done := make(chan error, 1)
				go func() {
					_, err := sendCommand(m, api.PathTaskStart)
					done <- err
				}()
				time.Sleep(100 * time.Millisecond)
				supersede(c)
				is.True(<-done != nil)
				is.Equal(c.started, nil)
			})
		})
	}
}

// A stop of run 1 is queued until the job has been placed again on another worker. It
// must not be sent to the worker of run 2.
func TestCommandOfEarlierRunIsNotSentToOtherWorker(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		rescheduled := placedState()
		job, _ := rescheduled.Job("w.0.0.0")
		job.Epoch = 2
		c.set(func() { c.state = rescheduled })
		for _, path := range []string{api.PathTaskReserve, api.PathTaskStart, api.PathTaskStop} {
			_, err := sendCommand(m, path)
			is.True(failure.Is(err, failure.StaleEpoch))
		}
		is.Equal(len(c.fencedRuns), 0)
		is.Equal(c.started, nil)
	})
}
