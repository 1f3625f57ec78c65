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

// A worker is told to run nothing: the start waited while its workflow was cancelled.
func TestStartThatACancellationOvertakesIsNotSent(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err := order(k, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// A start that cannot be traced, since no line says what it carried or why it was withheld.
func TestLineOfAStartTellsWhatItCarried(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		lines := &bytes.Buffer{}
		k.config.Logger.SetOutput(lines)
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		is.True(strings.Contains(lines.String(), "specification_bytes=1"))
		withheld := ordersWithheld.Value()
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err = order(k, api.PathTaskStart)
		is.True(failure.Is(err, failure.StaleEpoch))
		for _, field := range []string{`msg="order withheld"`, "order=" + api.PathTaskStart, "task=w.0.0.0", "run=1", "state=STOPPING", "epoch=1"} {
			is.True(strings.Contains(lines.String(), field))
		}
		is.Equal(ordersWithheld.Value(), withheld+1)
	})
}

// apply commits a command.
func (c *cluster) apply(command *controlpb.Command) {
	c.set(func() {
		c.state, _ = control.Apply(c.state, &peerpb.LogEntry{Index: c.state.Index() + 1, Command: command})
	})
}

// Another task of the workflow fails for good while a start waits for its turn. The failed
// workflow keeps no specification either.
func TestStartThatTheWorkflowsFailureOvertakesIsNotSent(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		failing := &controlpb.Job{
			Id: "w.0.0.1", Workflow: "w", Tasks: 1, FirstTask: 1, Epoch: 1, State: controlpb.JobState_JOB_STATE_STOPPING,
			Placements: []*controlpb.Placement{{Worker: "i-1", Incarnation: 1}},
		}
		c.set(func() { c.state = placed(failing) })
		c.apply(&controlpb.Command{Op: &controlpb.Command_Move{Move: &controlpb.MoveJob{Job: "w.0.0.1", Epoch: 1, State: controlpb.JobState_JOB_STATE_PARKED}}})
		w, _ := c.State().Workflow("w")
		is.Equal(w.State, controlpb.WorkflowState_WORKFLOW_STATE_FAILED)
		_, err := order(k, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// A start that leaves after a cancellation, or from a leader that leads no more.
func TestStartThatIsOvertakenWhileItAwaitsALookIsNotSent(t *testing.T) {
	for name, overtake := range map[string]func(c *cluster){
		"cancelled": func(c *cluster) {
			c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		},
		"deposed": func(c *cluster) { c.set(func() { c.leads = false }) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newCluster(placed())
				c.slow = 600 * time.Millisecond
				k := keep(t, c)
				done := make(chan error, 1)
				go func() {
					_, err := order(k, api.PathTaskStart)
					done <- err
				}()
				time.Sleep(100 * time.Millisecond)
				overtake(c)
				is.True(<-done != nil)
				is.Equal(c.started, nil)
			})
		})
	}
}

// A stop of run 1 waits for its turn until the job has been placed again, elsewhere. It
// must not go to the worker of run 2, which has nothing to do with it.
func TestOrderOfAnEarlierRunGoesToNoOtherWorker(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		again := placed()
		job, _ := again.Job("w.0.0.0")
		job.Epoch = 2
		c.set(func() { c.state = again })
		for _, path := range []string{api.PathTaskReserve, api.PathTaskStart, api.PathTaskStop} {
			_, err := order(k, path)
			is.True(failure.Is(err, failure.StaleEpoch))
		}
		is.Equal(len(c.barred), 0)
		is.Equal(c.started, nil)
	})
}
