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

// A caller cancels a workflow while the starts of its tasks wait for their turn at the
// leader, 256 of which may be on their way. The cancellation takes the specification
// from the ended workflow and leaves the epoch of its jobs. The epoch was all that a
// start was checked by, so a worker was told to begin run 1 with an empty specification:
// work that nobody had sent. Under a burst of wide steps 25 starts waited for over 100 ms
// behind others, and each met its job as the first did, by lines in seconds of one run
// without the check (the second line was written for that run):
//
//	5.2145  workflow ended         state=CANCELLED took_ms=90 index=1159
//	5.3551  a start's turn comes   run=1 index=1177 state=STOPPING specification_bytes=0 checkpoint=""
//	5.3573  start refused or lost  run=1 index=1177 detail="answers status 400 unknown"
func TestStartThatACancellationOvertakesIsNotSent(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err := order(k, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// An engineer asks why a task that was placed never began. The leader's line names the
// task and what its job had become when the start's turn came; a start that left names
// the size of what it was to run.
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

// A new leader's first look at a worker takes 0.6 s, and a start waits for it. Meanwhile
// the caller cancels and the leadership is lost. What decides is the moment at which the
// start leaves: it must not leave half a second after a cancellation, nor from an instance
// that leads no more.
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
