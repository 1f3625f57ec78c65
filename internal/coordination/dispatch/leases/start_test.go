package leases

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// idleTime is long enough for the lease of a worker without runs to end.
const idleTime = 20 * time.Second

// Guards against a second run of a task whose first start was on the way, to a worker without a lease, when its job was
// stopped.
func TestRunIsNotOverWhileItsStartIsOnTheWay(t *testing.T) {
	cases := map[string]func(c *fakeCluster, atStop func()){
		"after the job's state was read":   func(c *fakeCluster, atStop func()) { c.beforeState = nthCall(2, atStop) },
		"after the leadership was checked": func(c *fakeCluster, atStop func()) { c.afterCheck = nthCall(1, atStop) },
	}
	for name, stopThen := range cases {
		t.Run(name, func(t *testing.T) {
			withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
				time.Sleep(idleTime)
				is.True(expired(m, "i-1"))
				over := false
				c.set(func() { stopThen(c, func() { over = expired(m, "i-1") }) })
				_, err := sendCommand(m, api.PathTaskStart)
				is.NoErr(err)
				is.Equal(len(c.started), 1)
				is.True(!over)
			})
		})
	}
}

// nthCall returns a function that calls do when it is called for the nth time.
func nthCall(n int, do func()) func() {
	calls := 0
	return func() {
		if calls++; calls == n {
			do()
		}
	}
}

// Guards against a lease that a leader extends after a pause in which another one has been elected.
func TestPauseAfterCheckOfLeadershipExtendsNoLease(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		var checkedAt atomic.Int64
		c.set(func() {
			c.afterCheck = nthCall(1, func() {
				checkedAt.Store(c.clock())
				time.Sleep(4 * time.Second)
				c.set(func() { c.fresh = false })
			})
		})
		time.Sleep(idleTime)
		is.True(checkedAt.Load() > 0)
		c.set(func() { is.True(c.lease <= checkedAt.Load()+lease.Milliseconds()) })
	})
}
