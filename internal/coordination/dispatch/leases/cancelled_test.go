package leases

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A caller cancels a workflow while a start of one of its tasks waits for its turn. The
// ended workflow keeps no specification, and the start left with an empty one: a worker
// was told to run what nobody had asked for, and after the cancellation at that.
func TestStartThatACancellationOvertakesIsNotSent(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		cancel := &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: "w"}}}
		state, _ := control.Apply(c.State(), &peerpb.LogEntry{Index: 1, Command: cancel})
		c.set(func() { c.state = state })
		_, err := order(k, api.PathTaskStart)
		is.Equal(c.started, nil)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}
