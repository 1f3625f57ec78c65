package leases

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A task may be started again, or elsewhere, only once the end of its run is proven. This file is
// the one place that says what proves it; session.proofOf is what every path asks.
//
// These are no proofs, since the process may run on: a deregistration (the worker ends only when
// it has the confirmation, or some seconds later); an announcement, which may be late or another
// writer's; the answer 421 of an address at which this incarnation is not known to have answered; connections
// that are refused or break, which a cut does, too; silence.

// proof is why a run is known to have ended.
type proof string

const (
	// unproven: the run may be active.
	unproven proof = ""
	// addressTaken: at the address where this incarnation has answered, another one does now.
	addressTaken proof = "another boot answers at its address"
	// leaseEnded: no command can have extended the lease beyond this time, by the worker's clock.
	leaseEnded proof = "its lease is over"
	// startedAnew: the worker itself has reported another start, which refuses commands for this one.
	startedAnew proof = "the worker reports a later start"
	// startTooLate: the start was never confirmed, and can't arrive any more.
	startTooLate proof = "its start can't arrive any more"
)

// proofOf returns why a run on the given incarnation of the worker can no longer be active,
// although no end of it has been reported. startKnown is set if no earlier leader can have sent a start
// that the log doesn't confirm. The caller must hold the lock.
func (s *session) proofOf(run runKey, incarnation int64, startKnown bool) proof {
	now := s.now()
	if s.gone {
		return addressTaken
	}
	if bounds, ok := s.boundsOf(run, incarnation, startKnown); ok {
		if bounds.over(now) {
			return leaseEnded
		}
		return unproven
	}
	past := s.life.findPast(incarnation)
	if past == nil {
		// The commands of earlier leaders are refused from the first report on.
		if s.tracker.HasReport() {
			return startedAnew
		}
		return unproven
	}
	sent := s.starts.unansweredSince(run)
	if sent.IsZero() {
		return startedAnew
	}
	if now.Sub(sent) > s.manager.lateStartPeriod() {
		return startTooLate
	}
	return unproven
}

// boundsOf returns by when a run has ended that the current incarnation may have begun, also one that was meant for an
// earlier one; false if it can't have. The caller must hold the lock.
func (s *session) boundsOf(run runKey, incarnation int64, startKnown bool) (runBounds, bool) {
	status, _ := s.tracker.Find(run.task, run.run)
	if status != Active && s.life.isOther(incarnation) {
		return runBounds{}, false
	}
	bounds := s.leaseBounds()
	if !s.life.named() {
		bounds.extension = s.unheardExtensionBound(incarnation)
	}
	bounds.start = s.lateStartBound(run, incarnation, startKnown)
	return bounds, true
}

// lateStartBound returns until when a start of the run that has not been confirmed, by this leader or an earlier one,
// may be carried out by an incarnation after the one that it was meant for, and until when that run may last; zero
// if there is no such start. The caller must hold the lock.
func (s *session) lateStartBound(run runKey, incarnation int64, startKnown bool) (bound time.Time) {
	if incarnation <= UnnamedIncarnation {
		return time.Time{}
	}
	if !startKnown {
		bound = s.inheritedStartsBound()
	}
	return s.laterStartEnd(bound, s.starts.unansweredSince(run))
}

// lateStartsBound is lateStartBound of all runs. The caller must hold the locks of the manager and of the session.
func (s *session) lateStartsBound() (bound time.Time) {
	if s.manager.inherited.mayHaveRunsOn(s.worker) {
		bound = s.inheritedStartsBound()
	}
	return s.laterStartEnd(bound, s.starts.newestUnanswered())
}

// laterStartEnd returns a bound, or until when the run of a start may last that was sent without an answer; zero if none
// was.
func (s *session) laterStartEnd(bound, sent time.Time) time.Time {
	if sent.IsZero() {
		return bound
	}
	if end := sent.Add(s.manager.lateStartPeriod()); end.After(bound) {
		return end
	}
	return bound
}

// inheritedStartsBound is lateStartBound of the runs that earlier leaders have started. The caller must hold the lock.
func (s *session) inheritedStartsBound() time.Time {
	return firstKnown(s.inheritedUntil.Add(s.manager.lateStartPeriod()), s.inherited.start)
}

// lateStartPeriod is how long after its sending the run of a start may be active, on any incarnation
// of the worker.
func (m *Manager) lateStartPeriod() time.Duration {
	return maxCommandDelay + LeaseUpperBound(m.config.MaxLease)
}

// leaseOver reports whether nothing that the current incarnation has begun can run any more without a
// report. The caller must hold the lock.
func (s *session) leaseOver() bool { return s.leaseBounds().over(s.now()) }

// leaseBounds returns by when everything that the current incarnation has begun has ended. The caller must hold the lock.
func (s *session) leaseBounds() runBounds {
	return runBounds{lease: s.tracker.endsBy, extension: s.grownUpAt()}
}

// grownUpAt returns from when on no command for an earlier incarnation can extend the lease of the
// current one; zero if there are none. The caller must hold the lock.
func (s *session) grownUpAt() time.Time {
	current := s.life.current()
	if current <= UnnamedIncarnation || s.manager.log.State().OnlyPlacedIncarnation(s.worker, current) {
		return time.Time{}
	}
	if !s.life.named() {
		return s.unheardExtensionBound(current)
	}
	bound := firstKnown(s.tracker.bornBy.Add(s.manager.youngPeriod()), s.lateExtensionBound(current))
	if s.life.fencedAt.IsZero() {
		return bound
	}
	return firstKnown(bound, s.life.fencedAt.Add(LeaseUpperBound(s.manager.config.MaxLease)))
}

// unheardExtensionBound returns until when late requests may have extended the lease of an incarnation, where the worker
// has not answered this leader: it has sent none itself, and which incarnation is there is not known. The caller must
// hold the lock.
func (s *session) unheardExtensionBound(incarnation int64) time.Time {
	if incarnation <= UnnamedIncarnation || s.manager.log.State().OnlyPlacedIncarnation(s.worker, incarnation) {
		return time.Time{}
	}
	bound := s.lateExtensionBound(UnnamedIncarnation)
	bound = firstKnown(bound, s.manager.inheritedFenceBound(s.worker, incarnation, s.inheritedUntil.Add(-s.manager.config.FreshnessBound)))
	if incarnation != s.life.announced {
		return bound
	}
	if !s.life.announcedSince.IsZero() {
		bound = firstKnown(bound, s.life.announcedSince.Add(s.manager.youngPeriod()))
	}
	return firstKnown(bound, s.inherited.extension)
}

// recordMisdirected records that another boot answered at an address. It proves that the
// incarnation has ended only where that one has answered before: an address that was merely
// announced may be another worker's. The caller must hold the lock.
func (s *session) recordMisdirected(address string, cause *failure.Error) {
	entry := s.logEntry().WithFields(logrus.Fields{
		"reason": cause.Error(), "address": address, "leaving": s.leaving, "runs": s.tracker.runNames(maxLoggedRuns), "silent_ms": s.now().Sub(s.unansweredSince).Milliseconds(),
	})
	if !s.answersFrom(address) {
		if address != s.misdirectedAt {
			entry.WithField("answered_from", s.answeredFrom).Warn("another boot answers at an address where the worker never did")
		}
		s.misdirectedAt = address
		return
	}
	if s.gone {
		return
	}
	s.gone = true
	if crash := s.crashOf(s.life.current()); crash != nil {
		s.crashes = append(s.crashes, crash)
	}
	entry.Warn("another boot answers in the worker's place")
	s.manager.config.Wake()
}

// answersFrom reports whether the incarnation has answered at an address: by its reports or, if
// there is none yet, by the log, which has where each run was placed. The caller must hold the
// lock.
func (s *session) answersFrom(address string) bool {
	if s.answeredFrom != "" {
		return address == s.answeredFrom
	}
	state, placedAt := s.manager.log.State(), map[string]bool{}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			if placement.Worker == s.worker {
				placedAt[placement.Address] = true
			}
		}
	}
	for _, lost := range state.LostRuns() {
		if lost.Worker == s.worker {
			placedAt[lost.Address] = true
		}
	}
	return len(placedAt) == 1 && placedAt[address]
}

// recordDeparture records whether the worker has deregistered. Its lease isn't extended from then
// on: it ends within seconds, and what it runs is started elsewhere when the lease is over. The
// caller must hold the lock.
func (s *session) recordDeparture(worker *peerpb.Upstream) {
	if worker.Departed && !s.departed {
		s.logEntry().WithField("runs", s.tracker.runNames(maxLoggedRuns)).Info("the lease of a departed worker is not extended")
	}
	s.departed = worker.Departed
}
