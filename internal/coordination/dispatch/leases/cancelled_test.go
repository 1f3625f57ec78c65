package leases

import (
	"bytes"
	"strings"
	"testing"

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
// behind others, and each met its job as the first did, by lines in seconds of one run:
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
		withheld := startsWithheld.Value()
		c.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}})
		_, err = order(k, api.PathTaskStart)
		is.True(failure.Is(err, failure.StaleEpoch))
		for _, field := range []string{`msg="start withheld"`, "task=w.0.0.0", "run=1", "state=STOPPING", "worker=i-1"} {
			is.True(strings.Contains(lines.String(), field))
		}
		is.Equal(startsWithheld.Value(), withheld+1)
	})
}

// apply commits a command.
func (c *cluster) apply(command *controlpb.Command) {
	c.set(func() {
		c.state, _ = control.Apply(c.state, &peerpb.LogEntry{Index: c.state.Index() + 1, Command: command})
	})
}
