package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A task that ended well runs again, since its worker said goodbye right after.
func TestEndBeforeADepartureCounts(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		c.end(Done)
		time.Sleep(2 * lookWait)
		c.set(func() { c.departed = true })
		time.Sleep(4 * turnEvery)
		views := k.Live(worker.Kind)
		is.Equal(len(views), 1)
		is.True(views[0].Leaving)
		is.Equal(len(views[0].Tasks), 1)
		is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_COMPLETED)
		answer, err := order(k, api.PathTaskStop)
		is.NoErr(err)
		is.Equal(answer.Phase, api.PhaseCompleted)
	})
}

// The same where the worker falls silent after it has listed the end: its lease runs
// out, and the task must not begin elsewhere.
func TestEndBeforeASilenceCounts(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		c.end(Done)
		time.Sleep(2 * lookWait)
		c.set(func() { c.cut = true })
		for !k.LeaseOver("i-1") {
			time.Sleep(100 * time.Millisecond)
		}
		views := k.Live(worker.Kind)
		is.Equal(len(views), 1)
		is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_COMPLETED)
	})
}

// Without an end a worker that has gone is seen by nobody.
func TestDepartedWorkerIsGone(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.departed = true })
		time.Sleep(4 * turnEvery)
		is.Equal(len(k.Live(worker.Kind)), 0)
		answer, err := order(k, api.PathTaskStop)
		is.NoErr(err)
		is.Equal(answer.Phase, "")
	})
}
