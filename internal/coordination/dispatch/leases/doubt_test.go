package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Gang after gang placed on a worker that is cut off and looks free.
func TestWorkerThatDoesNotAnswerIsGivenNothing(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		time.Sleep(time.Minute)
		is.True(!k.Live(worker.Kind)[0].Leaving)
		c.set(func() { c.cut = true })
		began := time.Now()
		_, err := order(k, api.PathTaskReserve)
		is.Equal(failure.From(err).Code, failure.Unreachable)
		is.True(time.Since(began) <= reserveTimeout)

		is.Equal(len(c.running), 0)
		is.True(k.Live(worker.Kind)[0].Leaving)
		c.set(func() { c.cut = false })
		time.Sleep(2 * (lookWait + lookSlack))
		is.True(!k.Live(worker.Kind)[0].Leaving)
		answer, err := order(k, api.PathTaskReserve)
		is.NoErr(err)
		is.Equal(answer.Phase, api.PhaseReserved)
	})
}

// A worker is cut off while it runs a task. Looks that it leaves unanswered must not
// count as prolonging its lease, or its task could begin elsewhere only 3 s later.
func TestLeaseIsNotProlongedWhileLooksAreUnanswered(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.cut = true })
		cutAt := time.Now()
		for !k.LeaseOver("i-1") {
			time.Sleep(10 * time.Millisecond)
		}
		// The look that the worker holds at the cut is answered, and one more leaves.
		is.True(time.Since(cutAt) <= LeaseBound(lease)+lookWait+100*time.Millisecond)
		is.True(c.clock() > c.lease)
	})
}

// A worker that is well and was given nothing, because the leader had no descriptor left
// for a connection to it.
func TestOrderThatCouldNotLeavePutsNoWorkerInDoubt(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		time.Sleep(time.Minute)
		c.set(func() { c.scarce = true })
		_, err := order(k, api.PathTaskStart)
		is.Equal(failure.From(err).Code, failure.OutOfDescriptors)
		is.True(!k.Live(worker.Kind)[0].Leaving)
		time.Sleep(2 * silentAfter)
		c.set(func() { c.scarce = false })
		is.Equal(len(k.Live(worker.Kind)), 1)
		is.True(!k.Live(worker.Kind)[0].Leaving)
		_, err = order(k, api.PathTaskStart)
		is.NoErr(err)
	})
}
