package leases

import (
	"context"
	"errors"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// connectionBroke reports whether a request failed because its connection broke after it was
// sent. That happens when the worker ends, while a cut leaves the request unanswered.
func connectionBroke(err error) bool {
	code := failure.From(err).Code
	return (code == failure.OutcomeUnknown || code == failure.TruncatedAnswer) && !errors.Is(err, context.DeadlineExceeded)
}

// crashOf returns the crash of the current incarnation, which another one has replaced, or
// nil if it had announced that it leaves. The caller must hold the lock.
func (s *session) crashOf(incarnation int64) *controlpb.WorkerCrash {
	if s.leaving {
		return nil
	}
	crash := &controlpb.WorkerCrash{Worker: s.worker, Incarnation: incarnation, LatestMs: s.failedAt.UnixMilli()}
	switch {
	case s.brokenOff:
		crash.EarliestMs = crash.LatestMs
	case !s.answeredAt.IsZero():
		crash.EarliestMs = s.answeredAt.UnixMilli()
	}
	return crash
}

// Crashes returns the known crashes of workers that the state does not record.
func (m *Manager) Crashes(state *store.State) []*controlpb.WorkerCrash {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recheck.Swap(false) {
		m.foundInState = m.crashesInState(state)
	}
	crashes := slices.Clone(m.foundInState)
	for _, s := range m.sessions {
		s.mu.Lock()
		crashes = append(crashes, s.crashes...)
		s.mu.Unlock()
	}
	return slices.DeleteFunc(crashes, func(c *controlpb.WorkerCrash) bool { return state.CrashRecorded(c.Worker, c.Incarnation) })
}

// lostWorkers returns the workers with lost runs that may still turn out to have crashed.
// The caller must hold the lock.
func (m *Manager) lostWorkers() map[string]bool {
	wanted := map[string]bool{}
	for _, lost := range m.openInquiries() {
		wanted[lost.Worker] = true
	}
	return wanted
}

// openInquiries lists the lost runs whose workers neither have answered in this term nor are
// known to have crashed. The caller must hold the lock.
func (m *Manager) openInquiries() []*controlpb.LostRun {
	var open []*controlpb.LostRun
	oldest := m.config.Now().Add(-inquiryTime).UnixMilli()
	for _, lost := range m.log.State().LostRuns() {
		if lost.LostMs <= oldest || m.identified[lost.Worker] {
			continue
		}
		if s := m.sessions[lost.Worker]; s == nil || !s.identified() {
			open = append(open, lost)
		}
	}
	return open
}

// identified reports whether it is known if the incarnation lives or has ended.
func (s *session) identified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || s.tracker.HasReport() && s.unansweredSince.IsZero()
}

// inquire opens sessions with workers that lost runs name and that no longer announce
// themselves: the leader that lost them may have been another one. The caller must hold the
// lock.
func (m *Manager) inquire(ctx context.Context) {
	for _, lost := range m.openInquiries() {
		if m.sessions[lost.Worker] == nil && lost.Address != "" {
			m.openSession(ctx, &peerpb.Upstream{Id: lost.Worker, Address: lost.Address, Incarnation: lost.Incarnation})
		}
	}
}
