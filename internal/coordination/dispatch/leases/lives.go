package leases

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker may start again under its id. It then knows nothing of before: its clock, the
// numbers of its ends and the highest token that it has seen begin anew, and it carries out
// commands that were sent to its previous incarnation. Its reports name the incarnation, but
// the numbers don't tell which of two was first, since times of day jump. Order follows from
// causality: the answer to a request that was sent after a report of one incarnation had
// arrived is not from an earlier one.

const (
	// UnnamedIncarnation is the incarnation of workers whose reports name none: each start
	// of such a worker has its own id.
	UnnamedIncarnation = 1
	// certainty is how long after a report of the worker a request may rely on reaching the
	// same incarnation. A worker that ends breaks its connections, and starts take longer.
	certainty = 500 * time.Millisecond
	// ackCertainty is how long after a report of the worker a request may acknowledge ends. An
	// acknowledgement that waits longer goes with the poll after the next report.
	ackCertainty = 100 * time.Millisecond
	// maxCommandDelay is how long after it was sent a command may still be carried out, also
	// by a later incarnation than the one it was sent to.
	maxCommandDelay = 15 * time.Second
	// maxPast limits the earlier incarnations that a session remembers.
	maxPast = 8
)

// pastLife is an earlier incarnation of a worker.
type pastLife struct {
	incarnation int64
	tracker     *Tracker
	endedAt     time.Time
}

// life is what a session knows of a worker's incarnations.
type life struct {
	// incarnation is that of the newest report; 0 before the first one, and for workers
	// whose reports name none.
	incarnation int64
	// seenAt is when the newest report arrived, sentAt when it was requested.
	seenAt, sentAt time.Time
	// doubtedAt is when something happened after which another incarnation may answer; zero
	// if nothing did since the newest report.
	doubtedAt time.Time
	// announced is the incarnation of the newest announcement, and announcedSince a time at which it
	// existed already.
	announced      int64
	announcedSince time.Time
	// unansweredAck is when the newest poll was sent that acknowledged ends and got no answer.
	// It becomes lateAck if the worker answers something later: then it did not end with that
	// poll, which may still be carried out.
	unansweredAck, lateAck time.Time
	// forgetfulSince is when an incarnation began that a poll for an earlier one has reached or
	// may reach late; zero for others. The poll may acknowledge more ends than this one has had, so
	// that it drops each end before it is known here, for as long as it lasts.
	forgetfulSince time.Time
	// forgetsUpTo is the highest number of an end that it is known to forget, dropsEnds whether it was
	// seen to.
	forgetsUpTo uint64
	dropsEnds   bool
	past        []*pastLife
	// fencedAt is by when the incarnation had seen a token that it takes no command for an earlier one below; zero if
	// that is not known.
	fencedAt time.Time
}

// named reports whether the worker's reports name its incarnation.
func (l *life) named() bool { return l.incarnation != 0 }

// current returns the current incarnation: the one that reports name, else the announced one.
func (l *life) current() int64 {
	if l.named() {
		return l.incarnation
	}
	return l.announced
}

// isOther reports whether an incarnation is known not to be the current one.
func (l *life) isOther(incarnation int64) bool {
	return l.named() && incarnation > UnnamedIncarnation && incarnation != l.incarnation
}

// certain reports whether a request sent now reaches the current incarnation or none.
func (l *life) certain(now time.Time) bool {
	return !l.named() || l.doubtedAt.IsZero() && now.Sub(l.seenAt) <= certainty
}

// doubt records that another incarnation may answer from now on.
func (l *life) doubt(now time.Time) {
	if l.named() {
		l.doubtedAt = now
	}
}

// findPast returns an earlier incarnation, or nil.
func (l *life) findPast(incarnation int64) *pastLife {
	for _, past := range l.past {
		if past.incarnation == incarnation {
			return past
		}
	}
	return nil
}

// identify reports whether a report, requested at sent, is one of the current incarnation,
// which it may begin. It returns false for one that may be older than what is known. The
// caller must hold the lock.
func (s *session) identify(report *Report, acknowledged uint64, sent time.Time) bool {
	l, now := &s.life, s.now()
	switch {
	case report.Incarnation == 0 || report.Incarnation == l.incarnation:
		if !l.unansweredAck.IsZero() {
			l.lateAck, l.unansweredAck = l.unansweredAck, time.Time{}
		}
	case !l.named():
		l.incarnation = report.Incarnation
		s.manager.recheck.Store(true)
		s.logEntry().WithFields(logrus.Fields{"incarnation": l.incarnation, "clock_ms": report.Clock}).Info("worker reports its start")
	case sent.Before(l.seenAt):
		s.logEntry().WithFields(logrus.Fields{"incarnation": report.Incarnation, "current": l.incarnation, "clock_ms": report.Clock}).Info("report of another start ignored")
		return false
	default:
		s.beginLife(report, acknowledged)
	}
	l.seenAt, l.sentAt = now, sent
	if !sent.Before(l.doubtedAt) {
		l.doubtedAt = time.Time{}
	}
	s.starts.confirm(report)
	s.extensions.confirm(report.Incarnation, sent)
	s.tracker.observeBirth(report, now)
	return true
}

// beginLife continues the session with the worker's next incarnation, whose first report answers a request
// that acknowledged ends of the one before. The caller must hold the lock.
func (s *session) beginLife(report *Report, acknowledged uint64) {
	l, now := &s.life, s.now()
	underWay := s.starts.underWay(now)
	forgetful := acknowledged > 0 || now.Sub(l.lateAck) <= maxCommandDelay
	s.logEntry().WithFields(logrus.Fields{
		"incarnation": report.Incarnation, "previous": l.incarnation, "clock_ms": report.Clock, "leaving": s.leaving,
		"runs": s.tracker.runNames(maxLoggedRuns), "unconfirmed": len(underWay), "usable": !forgetful,
	}).Warn("worker has started again")
	if s.failedAt.IsZero() {
		s.failedAt = now
	}
	if crash := s.crashOf(l.incarnation); crash != nil {
		s.crashes = append(s.crashes, crash)
	}
	l.forgetfulSince, l.unansweredAck = time.Time{}, time.Time{}
	l.forgetsUpTo, l.dropsEnds = acknowledged, false
	if forgetful {
		l.forgetfulSince = now
	}
	l.past = append(l.past, &pastLife{incarnation: l.incarnation, tracker: s.tracker, endedAt: now})
	l.past = l.past[max(len(l.past)-maxPast, 0):]
	l.incarnation, l.fencedAt = report.Incarnation, time.Time{}
	s.leaving, s.departed = false, false
	s.tracker = NewTracker(s.manager.config.Lease, now)
	s.manager.recheck.Store(true)
	s.fence = append(s.fence, underWay...)
}

// sendFences stops the runs whose starts a later incarnation than the intended one might
// still carry out: it then refuses them.
func (s *session) sendFences(ctx context.Context) {
	s.mu.Lock()
	runs := s.fence
	s.fence = nil
	s.mu.Unlock()
	for _, run := range runs {
		if err := s.stopOrphan(ctx, Stop{Token: s.token().number, Task: run.task, Run: run.run}); err != nil {
			s.fenceAgain(run)
		}
	}
}

// fenceAgain repeats a stop after the next report, while the start may still be carried out.
func (s *session) fenceAgain(run runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.starts.underWay(s.now()), run) {
		s.fence = append(s.fence, run)
	}
}

// currentTarget returns where requests are sent.
func (s *session) currentTarget() Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Target{Worker: s.worker, Address: s.address}
}

// handleAnnouncement processes an announcement. One that names another incarnation than the reports is polled where it
// says that it is: either of them may be the later one.
func (s *session) handleAnnouncement(worker *peerpb.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataCentre, s.lastAnnounced = worker.DataCentre, worker
	if s.life.isOther(worker.Incarnation) {
		if worker.Incarnation != s.life.announced {
			s.announce(worker.Incarnation)
			s.address, s.viewStale = worker.Address, true
			s.life.doubt(s.now())
			s.requestPoll()
		}
		return
	}
	s.announce(worker.Incarnation)
	s.address, s.leaving = worker.Address, worker.Leaving
	s.recordDeparture(worker)
}

// announce records the incarnation of the newest announcement. Since when it has been announced is a time at
// which it existed: no other writer can name one before. The caller must hold the lock.
func (s *session) announce(incarnation int64) {
	if incarnation == s.life.announced && !s.life.announcedSince.IsZero() {
		return
	}
	s.life.announced, s.life.announcedSince = incarnation, s.now()
	if since, ok := s.manager.registry.KnownSince(s.worker, incarnation); ok {
		s.life.announcedSince = since
	}
}

// isReplaced reports whether a worker that had ended announces another incarnation, for
// which a new session is due: all that this one knows is in the log.
func (s *session) isReplaced(worker *peerpb.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over() || worker.Departed || worker.Incarnation == s.life.announced {
		return false
	}
	state := s.manager.log.State()
	unrecorded := slices.ContainsFunc(s.crashes, func(c *controlpb.WorkerCrash) bool { return !state.CrashRecorded(c.Worker, c.Incarnation) })
	return !unrecorded && !s.hasUncommittedEnds(state)
}

// pastEnds lists the ends that earlier incarnations have reported and that the state does
// not contain yet. The caller must hold the lock.
func (s *session) pastEnds(state *store.State) []*peerpb.TaskReport {
	var ends []*peerpb.TaskReport
	for _, past := range s.life.past {
		ends = append(ends, past.tracker.UncommittedEnds(state)...)
	}
	return ends
}

// hasUncommittedEnds reports whether any incarnation has reported an end that the state does
// not contain. The caller must hold the lock.
func (s *session) hasUncommittedEnds(state *store.State) bool {
	return len(s.pastEnds(state)) > 0 || len(s.tracker.UncommittedEnds(state)) > 0
}

// endOnPast returns the end that an earlier incarnation has reported of a run. The caller
// must hold the lock.
func (s *session) endOnPast(task string, run uint64, incarnation int64) (End, bool) {
	if past := s.life.findPast(incarnation); past != nil {
		if status, end := past.tracker.Find(task, run); status == Ended {
			return end, true
		}
	}
	return End{}, false
}

// crashesInState returns the crashes that the state shows: it has work on incarnations that
// others have replaced, as after a change of leaders.
func (m *Manager) crashesInState(state *store.State) []*controlpb.WorkerCrash {
	var crashes []*controlpb.WorkerCrash
	now := m.config.Now().UnixMilli()
	consider := func(worker string, incarnation int64) {
		if s := m.sessions[worker]; s != nil && s.replaced(incarnation) && !state.CrashRecorded(worker, incarnation) {
			crashes = append(crashes, &controlpb.WorkerCrash{Worker: worker, Incarnation: incarnation, LatestMs: now})
		}
	}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			consider(placement.Worker, placement.Incarnation)
		}
	}
	for _, lost := range state.LostRuns() {
		consider(lost.Worker, lost.Incarnation)
	}
	return crashes
}

// limitForgetful lets workers be used again that may forget ends, if they are more than half
// of all and nothing can arrive late any more: first those of which it is least certain.
// The caller must hold the lock.
func (m *Manager) limitForgetful() {
	var forgetful []*session
	for _, s := range m.sessions {
		if s.mayForget() {
			forgetful = append(forgetful, s)
		}
	}
	slices.SortFunc(forgetful, compareForgetful)
	excess := len(forgetful) - len(m.sessions)/2
	for _, s := range forgetful[:max(excess, 0)] {
		s.mu.Lock()
		if s.now().Sub(s.life.lateAck) > maxCommandDelay {
			s.life.forgetfulSince, s.viewStale = time.Time{}, true
			s.logEntry().Warn("worker that may forget ends is used again: too many do")
		}
		s.mu.Unlock()
	}
}

// compareForgetful orders workers by how many ends they are known to forget.
func compareForgetful(a, b *session) int {
	forgets := func(s *session) (dropsEnds int, upTo uint64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.life.dropsEnds {
			dropsEnds = 1
		}
		return dropsEnds, s.life.forgetsUpTo
	}
	dropsA, upToA := forgets(a)
	dropsB, upToB := forgets(b)
	return cmp.Or(cmp.Compare(dropsA, dropsB), cmp.Compare(upToA, upToB), cmp.Compare(a.worker, b.worker))
}

// checkEnds marks a worker that drops ends before they are known here: an acknowledgement for an earlier incarnation
// has reached it that this leader does not know of. The caller must hold the lock.
func (s *session) checkEnds(report *Report) {
	if !s.life.named() || !s.life.forgetfulSince.IsZero() {
		return
	}
	if dropped, ok := s.tracker.droppedEnd(report); ok {
		s.life.forgetfulSince, s.life.dropsEnds = s.now(), true
		s.logEntry().WithFields(logrus.Fields{"task": dropped.task, "run": dropped.run, "incarnation": s.life.incarnation}).Warn("worker drops ends before they are known")
	}
}

func (s *session) mayForget() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.life.forgetfulSince.IsZero()
}

// replaced reports whether an incarnation has ended that this session has not seen.
func (s *session) replaced(incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.isOther(incarnation) && s.life.findPast(incarnation) == nil
}

// withIncarnation returns the announcement with the incarnation that answers, where one does.
func (s *session) withIncarnation(worker *peerpb.Upstream) *peerpb.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.life.isOther(worker.Incarnation) {
		return worker
	}
	current := proto.CloneOf(worker)
	current.Incarnation = s.life.incarnation
	return current
}
