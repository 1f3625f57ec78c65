package leases

import (
	"time"

	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker refuses commands with a lower fencing token than it has seen, but one that starts again under its id has seen
// none. The token therefore grows with the term and with each incarnation on which work is placed: once an incarnation has
// seen its own, it refuses what was meant for those before, and only what it was sent itself extends its lease.

// token is a fencing token for one worker.
type token struct {
	number uint64
	// incarnation is the one that refuses the commands for all earlier ones from this token on; 0 if none does.
	incarnation int64
}

// token returns the token for a command that is sent now.
func (s *session) token() token { return s.tokenIn(s.manager.log.State()) }

// tokenIn returns the token for a command that follows from a state. Leaders of later terms have the restarts of all
// earlier states, so that their tokens are higher.
func (s *session) tokenIn(state *store.State) token {
	incarnation, _ := state.PlacedIncarnation(s.worker)
	return token{number: s.term + state.Restarts(s.worker), incarnation: incarnation}
}

// recordFence records that an incarnation has answered a command with a token.
func (s *session) recordFence(seen token, incarnation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.named() && incarnation == s.life.incarnation && incarnation == seen.incarnation && s.life.fencedAt.IsZero() {
		s.life.fencedAt = s.now()
	}
}

// inheritedFenceBound returns until when a lease may last that commands for earlier incarnations have extended, where the
// log shows that the given one had seen its token before this instance led, since a time; zero if it doesn't.
func (m *Manager) inheritedFenceBound(worker string, incarnation int64, leaderSince time.Time) time.Time {
	if placed, started := m.log.State().PlacedIncarnation(worker); !started || placed != incarnation {
		return time.Time{}
	}
	return leaderSince.Add(LeaseUpperBound(m.config.MaxLease))
}

// knowsEarlierTerms reports whether the state has all entries of earlier terms, so that the restarts that they count are
// known. The caller must hold the lock.
func (m *Manager) knowsEarlierTerms() bool {
	logTerm := m.log.State().LeaseSuspensions().GetLogTerm()
	return logTerm == 0 || logTerm == m.term
}
