package leases

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A start without an answer may be carried out late, once, by whichever incarnation of the worker is there then. An
// incarnation that refuses it proves nothing about the next one.

// sentStart is what is known of the starts of one run that were sent to a worker.
type sentStart struct {
	// newest is when the newest one was sent; zero once an answer or a report tells what became of it.
	newest time.Time
	// answered is set once the incarnation for which the newest was meant has carried it out.
	answered bool
	// earlier is when the newest of those before was sent that are not accounted for; zero for none. A report that
	// lists the run may be due to any of them.
	earlier time.Time
}

// unansweredSince returns when the newest start was sent that may still be carried out; zero for none.
func (s *sentStart) unansweredSince() time.Time {
	if s.answered || s.newest.Before(s.earlier) {
		return s.earlier
	}
	return s.newest
}

// sentStarts are the starts that were sent to one worker in one term. They outlast the sessions with it.
type sentStarts struct {
	mu   sync.Mutex
	runs map[runKey]*sentStart
}

func newSentStarts() *sentStarts { return &sentStarts{runs: map[runKey]*sentStart{}} }

// record records that a start is sent now, and forgets those that were sent over a period ago.
func (s *sentStarts) record(run runKey, period time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.runs, func(_ runKey, sent *sentStart) bool {
		return now.Sub(sent.newest) > period && now.Sub(sent.earlier) > period
	})
	sent := s.runs[run]
	if sent == nil {
		sent = &sentStart{}
		s.runs[run] = sent
	}
	sent.earlier, sent.newest, sent.answered = sent.unansweredSince(), now, false
}

// settle records that the newest start of a run can't be carried out late: it never left, or was refused.
func (s *sentStarts) settle(run runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent := s.runs[run]; sent != nil {
		sent.newest, sent.answered = time.Time{}, false
	}
}

// recordAnswer records that the incarnation for which the newest start of a run was meant has carried it out.
func (s *sentStarts) recordAnswer(run runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent := s.runs[run]; sent != nil {
		sent.answered = true
	}
}

// confirm records that a report lists runs, so that one start of each has been carried out.
func (s *sentStarts) confirm(report *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range report.Running {
		s.confirmRun(runKey{run.Task, run.Run})
	}
	for _, end := range report.Ends {
		s.confirmRun(runKey{end.Task, end.Run})
	}
}

func (s *sentStarts) confirmRun(run runKey) {
	sent := s.runs[run]
	switch {
	case sent == nil:
	case sent.earlier.IsZero():
		delete(s.runs, run)
	case !sent.answered && sent.newest.After(sent.earlier):
		// Which of two unanswered starts the report tells of is not known.
		sent.earlier = sent.newest
		sent.answered = true
	}
}

// unansweredSince returns when the newest start of a run was sent that may still be carried out; zero for none.
func (s *sentStarts) unansweredSince(run runKey) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent := s.runs[run]; sent != nil {
		return sent.unansweredSince()
	}
	return time.Time{}
}

// newestUnanswered returns when the newest start of any run was sent that may still be carried out; zero for none.
func (s *sentStarts) newestUnanswered() (newest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range s.runs {
		if since := sent.unansweredSince(); since.After(newest) {
			newest = since
		}
	}
	return newest
}

// underWay lists the runs of which a start may still be carried out.
func (s *sentStarts) underWay(now time.Time) (runs []runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for run, sent := range s.runs {
		if now.Sub(sent.unansweredSince()) <= maxCommandDelay {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// startsOf returns the starts that were sent to a worker in this term. The caller must hold the lock.
func (m *Manager) startsOf(worker string) *sentStarts {
	known := m.starts[worker]
	if known == nil {
		known = newSentStarts()
		m.starts[worker] = known
	}
	return known
}

// dropStarts forgets workers without a session whose starts can't act any more. The caller must hold the lock.
func (m *Manager) dropStarts() {
	if len(m.starts) <= len(m.sessions) {
		return
	}
	over := m.config.Now().Add(-m.lateStartPeriod())
	maps.DeleteFunc(m.starts, func(worker string, known *sentStarts) bool {
		return m.sessions[worker] == nil && known.newestUnanswered().Before(over)
	})
}

// StartUnderWay reports whether a start of a job's run may still be carried out by a later incarnation of the member's
// worker, or whether a run whose stop is acknowledged has begun so. None is sent once a stop of the job is known, of which this instance has learned at a
// time; zero for none.
func (m *Manager) StartUnderWay(job *controlpb.Job, placement *controlpb.Placement, stoppedSince time.Time) bool {
	if placement.Incarnation <= UnnamedIncarnation {
		return false
	}
	run := runKey{store.TaskName(job, placement.Task), job.Epoch}
	term := m.log.Term()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term {
		return true
	}
	s := m.sessions[placement.Worker]
	if s != nil && store.StopAcknowledged(job, placement.Task) && s.mayRun(run, placement.Incarnation, m.inherited.startKnown(job)) {
		return true
	}
	arrivesBy := m.inheritedStartArrivesBy(job, placement, stoppedSince)
	if known := m.starts[placement.Worker]; known != nil {
		if sent := known.unansweredSince(run); !sent.IsZero() && sent.Add(maxCommandDelay).After(arrivesBy) {
			arrivesBy = sent.Add(maxCommandDelay)
		}
	}
	now := m.config.Now()
	switch {
	case arrivesBy.IsZero():
		return false
	case !now.After(arrivesBy):
		return true
	case now.After(arrivesBy.Add(LeaseUpperBound(m.config.MaxLease))):
		return false
	}
	return s == nil || !s.absentSince(run, arrivesBy)
}

// mayRun reports whether the latest report lists a run as active, and nothing proves that it has ended since.
func (s *session) mayRun(run runKey, incarnation int64, startKnown bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, _ := s.tracker.Find(run.task, run.run)
	return status == Active && s.proofOf(run, incarnation, startKnown) == unproven
}

// absentSince reports whether the worker has shown, in answer to a request after a time, that a run is not active there. If
// it hasn't been asked, it is polled.
func (s *session) absentSince(run runKey, after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.life.sentAt.After(after) {
		s.reportWanted = true
		s.requestPoll()
		return false
	}
	status, _ := s.tracker.Find(run.task, run.run)
	return status != Active
}

// inheritedStartArrivesBy returns by when all starts have been carried out, or never are, that earlier leaders have sent
// for a member; zero if there are none. They sent them for as long as they were confirmed, and until they learned of a
// stop; the log says more where one has suspended the lease. The caller must hold the lock.
func (m *Manager) inheritedStartArrivesBy(job *controlpb.Job, placement *controlpb.Placement, stoppedSince time.Time) time.Time {
	if !m.inherited.mayBeUnanswered(job) {
		return time.Time{}
	}
	by := firstKnown(m.leaderSince, stoppedSince).Add(m.config.FreshnessBound + maxCommandDelay)
	if lastRunEnds := m.suspensions.inheritedBounds(placement.Worker, placement.Incarnation).start; !lastRunEnds.IsZero() {
		by = firstKnown(by, lastRunEnds.Add(-LeaseUpperBound(m.config.MaxLease)))
	}
	return by
}
