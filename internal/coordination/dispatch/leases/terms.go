package leases

import (
	"expvar"
	"time"
)

// A worker that has become unreachable may run on until its lease ends, and its gangs start
// elsewhere only then. A lease has to last from one renewal to the next, also over a change
// of the leader; all that is longer only delays these gangs. The leader therefore renews as
// often as its processor allows, and grants no more than that needs.

const (
	// minPollWait is the shortest wait of a poll.
	minPollWait = 750 * time.Millisecond
	// pollWaitPerWorker lengthens the wait with the workers that are polled, so that
	// the leader renews at most a thousand leases a second up to the longest wait.
	pollWaitPerWorker = time.Millisecond
)

// leaseTerms is how long a lease lasts that the leader grants, and how long a worker may
// delay its response to the poll that renews it.
type leaseTerms struct{ lease, wait time.Duration }

// termsFor returns the terms for a number of workers that hold runs. failover is the time
// from the loss of a leader to the next one's renewals, 0 for terms that never change.
func termsFor(busy int, longest, failover time.Duration) leaseTerms {
	if failover == 0 {
		return leaseTerms{longest, pollWait}
	}
	wait := min(max(time.Duration(busy)*pollWaitPerWorker, minPollWait), pollWait)
	return leaseTerms{min(wait+failover, longest), wait}
}

func (m *Manager) terms() leaseTerms {
	return termsFor(int(m.busy.Load()), m.config.Lease, m.config.Failover)
}

// leaseGranted is the length of the leases that the leader grants, in ms; 0 elsewhere.
var leaseGranted = expvar.NewInt("leases_granted_ms")

// countBusy counts the workers that hold runs, and logs leases whose length has changed by
// more than a poll's shortest wait. The caller must hold the lock.
func (m *Manager) countBusy() {
	busy := 0
	for _, s := range m.sessions {
		if s.busy() {
			busy++
		}
	}
	m.busy.Store(int64(busy))
	terms := m.terms()
	leaseGranted.Set(terms.lease.Milliseconds())
	if change := terms.lease - m.loggedLease; change.Abs() >= minPollWait/2 {
		m.loggedLease = terms.lease
		m.config.Logger.WithFields(map[string]any{"lease_ms": terms.lease.Milliseconds(), "wait_ms": terms.wait.Milliseconds(), "workers": busy}).Info("leases are granted")
	}
}

func (s *session) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Busy()
}
