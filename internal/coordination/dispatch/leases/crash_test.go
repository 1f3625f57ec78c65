package leases

import (
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"

	"github.com/matryer/is"
)

// Two runs of a task: a firewall that refuses connections is taken for a crash.
func TestRefusedConnectionsAreNoCrash(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.refuses = true })
		for !k.LeaseOver("i-1") {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(c.clock() > c.lease)
	})
}

// A gang stopped for nothing, by a cut that is shorter than its lease.
func TestRunsOutliveACutThatIsShorterThanTheirLease(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.cut = true })
		for cutAt := time.Now(); time.Since(cutAt) < 3500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			views := k.Live(worker.Kind)
			is.Equal(len(views), 1)
			is.Equal(len(views[0].Tasks), 1)
			is.Equal(views[0].Tasks[0].Phase, peerpb.TaskPhase_TASK_PHASE_RUNNING)
		}
		is.True(k.Live(worker.Kind)[0].Leaving)
		c.set(func() { c.cut = false })
		time.Sleep(2 * (lookWait + lookSlack))
		is.True(!k.Live(worker.Kind)[0].Leaving)
		time.Sleep(lease)
		is.True(!k.LeaseOver("i-1"))
		c.set(func() { is.True(c.lease > c.clock()) })
	})
}

// Orders that wait behind stops to workers which have long been silent.
func TestStopOfASilentWorkerFailsAtOnce(t *testing.T) {
	withKeeper(t, func(is *is.I, c *cluster, k *Keeper) {
		_, err := order(k, api.PathTaskStart)
		is.NoErr(err)
		c.set(func() { c.cut = true })
		time.Sleep(lookWait + lookSlack + silentAfter)
		began := time.Now()
		_, err = order(k, api.PathTaskStop)
		is.True(err != nil)
		is.Equal(time.Since(began), time.Duration(0))
	})
}
