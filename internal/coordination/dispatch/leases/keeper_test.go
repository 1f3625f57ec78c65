package leases

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A gang given up at once: an idle worker counts as silent while it answers its first order.
func TestIdleWorkerIsNotLostWhileItAnswersAStart(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		time.Sleep(time.Minute)
		c.set(func() { c.slow = 10 * time.Millisecond })
		done := make(chan error, 1)
		go func() {
			_, err := order(k, api.PathTaskStart)
			done <- err
		}()
		time.Sleep(5 * time.Millisecond)
		is.Equal(len(k.Live(worker.Kind)), 1)
		is.NoErr(<-done)
	})
}

// A run begun elsewhere before the lease of the worker that is cut off has run out.
func TestCutOffWorkerIsLostAndItsLeaseRunsOut(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(len(k.Live(worker.Kind)), 1)
		is.True(!k.LeaseOver("i-1"))
		c.set(func() { c.cut = true })
		time.Sleep(2*lookWait + lookSlack + reserveTimeout)
		is.True(k.Live(worker.Kind)[0].Leaving)
		for !k.LeaseOver("i-1") {
			is.Equal(len(k.Live(worker.Kind)), 1)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(len(k.Live(worker.Kind)), 0)
		is.True(c.clock() > c.lease)
	})
}

// A stop arrives before the start that it follows, which the network held back. The
// worker says that it knows no such run, and refuses the start when it comes.
func TestStopOfARunThatNeverCame(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		answer, err := order(k, api.PathTaskStop)
		is.NoErr(err)
		is.Equal(answer.Phase, "")
		_, err = order(k, api.PathTaskStart)
		is.True(failure.Is(err, failure.StaleEpoch))
	})
}

// A running task is stopped: the answer waits for its end, which names the
// checkpoint to go on from.
func TestStopWaitsForTheEndAndItsCheckpoint(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		answer, err := order(k, api.PathTaskStop)
		is.NoErr(err)
		is.Equal(answer.Phase, api.PhaseStopped)
		is.Equal(answer.Checkpoint, "kept")
	})
}

// Another boot answers at the worker's address: what ran there is gone at once,
// without waiting for a lease.
func TestAnotherBootEndsTheLeaseAtOnce(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.gone = true })
		time.Sleep(2 * lookWait)
		is.True(k.LeaseOver("i-1"))
		is.Equal(len(k.Live(worker.Kind)), 0)
	})
}

// A leader that lost its place, or can't be sure that it leads, sends no order.
func TestNoOrderWithoutLeadership(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		c.set(func() { c.fresh = false })
		_, err := order(k, api.PathTaskStart)
		is.True(failure.Is(err, failure.StaleState))
		is.Equal(len(c.running), 0)
	})
}

// A run begun beside itself, by the waits of an earlier leadership of the same instance.
func TestWaitsOfAnEarlierLeadershipSayNothing(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		c.set(func() { c.leads = false })
		time.Sleep(time.Hour)
		c.set(func() { c.term = 3; c.leads = true })
		is.True(!k.LeaseOver("i-2"))
		is.True(!k.LeaseOver("i-1"))
		time.Sleep(4 * turnEvery)
		is.True(!k.LeaseOver("i-2"))
	})
}

// A worker that counts as lost for as long as the leader leads, after one lost look.
func TestIdleWorkerThatWasOutOfReachIsBack(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		c.set(func() { c.cut = true })
		_, err := order(k, api.PathTaskStart)
		is.True(err != nil)
		time.Sleep(time.Minute)
		is.Equal(len(k.Live(worker.Kind)), 0)
		c.set(func() { c.cut = false })
		time.Sleep(2 * (lookWait + lookSlack))
		is.Equal(len(k.Live(worker.Kind)), 1)
	})
}

// A start whose lease ends by a clock of the worker that is not known yet.
func TestStartWaitsForTheFirstLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(placed())
		c.cut = true
		k := keep(t, c)
		_, err := order(k, api.PathTaskStart)
		is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
		done := make(chan error, 1)
		go func() {
			_, err := order(k, api.PathTaskStart)
			done <- err
		}()
		c.set(func() { c.cut = false })
		<-done
		time.Sleep(2 * (lookWait + lookSlack))
		_, err = order(k, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { is.True(c.lease <= c.clock()+lease.Milliseconds()) })
	})
}
