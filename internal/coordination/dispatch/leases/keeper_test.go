package leases

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A worker has been idle for long, so it was not looked at. While its answer to a
// start is on the way it must not count as silent: the gang's start would be given
// up milliseconds after it began.
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

// A worker is cut off while it runs a task. It gets no new work after a while, and
// counts as lost when the last order that could prolong its lease is spent, and not
// before; by the worker's own clock the run has ended then.
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

// An instance led an hour ago and leads again. In the moments before it has taken
// the new leadership up, its old waits are long over, but the leader in between may
// have prolonged a worker's lease just now.
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

// Nothing runs on a worker, and the last look at it was lost. It is reached again:
// unless it is looked at until it answers, it would count as lost for as long as
// this leader leads, and would never be given work again.
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

// A new leader finds a start that the one before decided, and the worker has not
// answered it yet. A start sent now would name an end of the lease by a clock that
// is not known; it waits for the first look, and fails as not run without one.
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
