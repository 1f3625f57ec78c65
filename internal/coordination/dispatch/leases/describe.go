package leases

import (
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Unheard reports whether a worker has not answered a poll of this term.
func (m *Manager) Unheard(worker string) bool {
	s := m.session(worker)
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.polled
}

// DescribeLease describes, for the log, what is known of the lease under which a member was placed.
func (m *Manager) DescribeLease(placement *controlpb.Placement) logrus.Fields {
	m.mu.Lock()
	s := m.sessions[placement.Worker]
	leaderSince, leaseEnd := m.leaderSince, m.earlierLeasesEnd()
	inherited, suspended := m.suspensions.inherited[placement.Worker]
	m.mu.Unlock()
	now := m.config.Now()
	fields := logrus.Fields{"leading_ms": now.Sub(leaderSince).Milliseconds(), "known": s != nil}
	if s == nil {
		if suspended {
			leaseEnd = inherited.endsBy
		}
		fields["suspended"], fields["lease_left_ms"] = suspended, leaseEnd.Sub(now).Milliseconds()
		return fields
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fields["suspended"] = s.suspended
	fields["answered"], fields["lease_left_ms"] = s.polled, s.tracker.endsBy.Sub(now).Milliseconds()
	if !s.unansweredSince.IsZero() {
		fields["silent_ms"] = now.Sub(s.unansweredSince).Milliseconds()
	}
	return fields
}
