package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

func TestTermsOfLeases(t *testing.T) {
	const longest, failover = 5 * time.Second, 2250 * time.Millisecond
	cases := []struct {
		name     string
		busy     int
		failover time.Duration
		want     leaseTerms
	}{
		{"always the longest without a failover time", 10, 0, leaseTerms{longest, pollWait}},
		{"few workers are renewed often", 10, failover, leaseTerms{3 * time.Second, 750 * time.Millisecond}},
		{"a thousand as often as the leader's processor allows", 1000, failover, leaseTerms{3250 * time.Millisecond, time.Second}},
		{"many as seldom as ever", 3000, failover, leaseTerms{3750 * time.Millisecond, pollWait}},
		{"never longer than the longest", 3000, time.Minute, leaseTerms{longest, pollWait}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(termsFor(c.busy, longest, c.failover), c.want) })
	}
}

// Guards against gangs that wait for seconds for a worker that is cut off: the longest lease
// and its margins are 5.7 s.
func TestLeaseOfLostWorkerIsOverAfterFailoverTime(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		m.config.Failover = 2250 * time.Millisecond
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.set(func() { c.partitioned = true })
		partitionedAt := time.Now()
		for !expired(m, "i-1") {
			time.Sleep(10 * time.Millisecond)
		}
		// The poll that is pending when the partition begins is answered, and one more is sent.
		is.True(time.Since(partitionedAt) <= LeaseUpperBound(3*time.Second)+minPollWait+100*time.Millisecond)
		is.True(c.clock() > c.lease)
	})
}

// Guards against work that is stopped by a change of the leader: the leases must last until
// the next one has renewed them.
func TestShortLeasesOutlastALeader(t *testing.T) {
	withManager(t, func(is *is.I, c *fakeCluster, m *Manager) {
		m.config.Failover = 2250 * time.Millisecond
		_, err := sendCommand(m, api.PathTaskStart)
		is.NoErr(err)
		time.Sleep(10*time.Second + minPollWait/2)
		const election = 1500 * time.Millisecond
		c.set(func() { c.leader = false })
		time.Sleep(election)
		c.set(func() { c.leader, c.term = true, 2 })
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			c.set(func() { is.True(c.clock() < c.lease) })
		}
		c.set(func() { is.True(c.lease-c.clock() > minPollWait.Milliseconds()) })
	})
}
