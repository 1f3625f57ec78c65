package leases

import (
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"

	"github.com/matryer/is"
)

// A worker is cut off by a firewall that refuses connections. It looks like one whose
// process has crashed, but its runs live on, and begun elsewhere they would run twice:
// they are over with their lease and not before.
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

// A worker is cut off for 3.5 s, less than its lease, and runs on. Given up after 3 s
// of silence, its gang was stopped everywhere and begun anew, though nothing was lost
// and nothing could begin elsewhere before the lease was over. It gets no new work
// meanwhile, and its runs are seen until the lease has run out.
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

// Stops to a worker that has been silent for long would each hold one of the few orders
// that may be on their way, and with a tenth of the workers cut off all others would
// wait for them. They fail at once, and are sent again when it answers.
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
