package leases

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
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

// SilentFor returns for how long a worker has left requests unanswered, or has been unknown to this leader; zero if it
// answers.
func (m *Manager) SilentFor(worker string) time.Duration {
	m.mu.Lock()
	s, leaderSince := m.sessions[worker], m.leaderSince
	m.mu.Unlock()
	if s == nil {
		return m.config.Now().Sub(leaderSince)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent {
		return 0
	}
	if s.unansweredSince.IsZero() {
		return m.config.Now().Sub(leaderSince)
	}
	return m.config.Now().Sub(s.unansweredSince)
}

// DescribeLease describes, for the log, what is known of the lease under which a member of a job was placed, and which
// bound its run is waited out for.
func (m *Manager) DescribeLease(job *controlpb.Job, placement *controlpb.Placement) logrus.Fields {
	m.mu.Lock()
	s, leaderSince, bounds := m.sessions[placement.Worker], m.leaderSince, m.unheardBounds(job, placement)
	_, suspended := m.suspensions.inherited[placement.Worker]
	startKnown := m.inherited.startKnown(job)
	m.mu.Unlock()
	now := m.config.Now()
	fields := logrus.Fields{
		"leading_ms": now.Sub(leaderSince).Milliseconds(), "known": s != nil, "suspended": suspended,
		"incarnation": placement.Incarnation, "confirmed": job.StartedMs > 0, "start_known": startKnown,
	}
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		fields["suspended"], fields["answered"], fields["reported_incarnation"] = s.suspended, s.polled, s.life.incarnation
		if !s.unansweredSince.IsZero() {
			fields["silent_ms"] = now.Sub(s.unansweredSince).Milliseconds()
		}
		current := false
		if bounds, current = s.boundsOf(runKey{store.TaskName(job, placement.Task), job.Epoch}, placement.Incarnation, startKnown); !current {
			fields["awaits"] = "past_incarnation"
			return fields
		}
	}
	awaits, end := bounds.last()
	fields["lease_left_ms"], fields["awaits"], fields["awaits_ms"] = bounds.lease.Sub(now).Milliseconds(), awaits, end.Sub(now).Milliseconds()
	return fields
}
