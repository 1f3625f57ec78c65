package leases

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// session manages one worker during one term of the leader.
type session struct {
	manager *Manager
	term    uint64
	worker  string
	cancel  context.CancelFunc
	// pollRequests holds a value when a poll is due immediately.
	pollRequests chan struct{}
	// firstPoll is closed, and polled set, once the worker has answered a poll under the
	// token.
	firstPoll chan struct{}
	polled    bool

	mu sync.Mutex
	// address is where the worker announced itself last.
	address string
	// lastAnnounced is the worker's newest announcement; nil before the first one.
	lastAnnounced *peerpb.Upstream
	// dataCentre is the data centre that the worker announced last.
	dataCentre string
	// tracker is that of the current incarnation.
	tracker *Tracker
	life    life
	// fence holds runs of earlier incarnations that the current one has to be told to refuse.
	fence []runKey
	// nextReport is closed by the next report and then replaced.
	nextReport chan struct{}
	// gone is set once another boot answers where the worker has answered.
	gone bool
	// departed is that of the latest announcement of the current incarnation.
	departed bool
	// inheritedUntil is until when earlier leaders may have sent commands.
	inheritedUntil time.Time
	// inherited are the bounds of the incarnation announced first, if an earlier leader has suspended its lease.
	inherited runBounds
	// answeredFrom is the address from which the newest report came; empty before the first one.
	answeredFrom string
	// misdirectedAt is the latest address at which another boot answered that proves nothing.
	misdirectedAt string
	// crashes are the incarnations that have ended without notice.
	crashes []*controlpb.WorkerCrash
	// leaving is that of the latest announcement of the current incarnation.
	leaving bool
	// answeredAt is when the worker last answered; zero for never. failedAt is when the
	// first request after that failed; zero for none. brokenOff is set if that request had
	// reached the worker and its connection broke.
	answeredAt, failedAt time.Time
	brokenOff            bool
	// lastCommand is when the latest start or stop was sent.
	lastCommand time.Time
	// extensions are the requests that may have extended the lease, or may yet.
	extensions *extensions
	// starts are those that were sent to the worker.
	starts *sentStarts
	// reportWanted is set from when a decision needs a report until the next one, also of a worker without work.
	reportWanted bool
	// preparing counts the starts of each run for which the lease is not extended yet.
	preparing map[api.TaskRef]int
	// unconfirmed is set from a failed command or poll until the next response. A
	// worker that is partitioned appears to be idle and would otherwise be given more
	// work.
	unconfirmed bool
	// silent is set from a failed command or poll until the next response, and until the first response of
	// a worker that an earlier leader has lost.
	silent bool
	// suspended is set while the log says, or may soon say, that the lease is not renewed. resumed is closed
	// when that ends, and then replaced.
	suspended bool
	resumed   chan struct{}
	// failedPolls counts the polls that failed since the latest response.
	failedPolls int
	// unansweredSince is when the oldest command or poll without any later response was
	// sent; zero for none.
	unansweredSince time.Time
	version         uint64
	// view is the worker as dispatch last saw it, built from the announcement
	// viewSource and the tracker. viewStale is set when the tracker has changed since.
	view       *peerpb.Upstream
	viewSource *peerpb.Upstream
	viewStale  bool
	// loggedUnresponsive is set while the worker is logged as unresponsive.
	loggedUnresponsive bool
}

func (s *session) now() time.Time { return s.manager.config.Now() }

// run polls the worker for as long as it may have runs.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil && !s.isOver() {
		if s.idle() {
			select {
			case <-ctx.Done():
			case <-s.pollRequests:
			}
			continue
		}
		if err := s.poll(ctx); err != nil {
			control.Sleep(ctx, s.retryDelay())
			continue
		}
		s.awaitCommit(ctx)
		s.awaitRenewable(ctx)
	}
}

// retryDelay returns the pause after a failed poll. Every look at a worker has a price, and
// nothing waits for one that has been lost for long.
func (s *session) retryDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive() && s.leaseOver() {
		return lostPollDelay
	}
	return pollRetryDelay
}

func (s *session) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *session) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over()
}

// over reports whether nothing more is to be learnt from the worker: its place is taken, or it has
// deregistered and its lease is over. The caller must hold the lock.
func (s *session) over() bool { return s.gone || s.departed && s.leaseOver() }

// idle reports whether the worker has no runs, no ends and no recent commands, and
// therefore needs no lease. A worker with an unanswered command or poll is polled until
// it responds: nothing else would detect its recovery, and it would count as lost for
// the rest of this leader's term.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reportWanted && !s.unconfirmed && s.life.doubtedAt.IsZero() && s.unansweredSince.IsZero() && s.tracker.HasReport() && !s.tracker.Busy() && s.now().Sub(s.lastCommand) > idleAfter
}

func (s *session) requestPoll() {
	select {
	case s.pollRequests <- struct{}{}:
	default:
	}
}

// poll polls the worker once and applies its report. The first poll establishes the
// token and does not wait. Nor does one that may reach another incarnation than the last
// report's: an acknowledgement would make that one forget its own ends, and a deadline by
// the other clock would extend its lease beyond what is known here. Later polls extend the
// lease, except after an unanswered poll: each extension sent to a worker that is gone
// would delay the restart of its runs elsewhere by up to 3 s. When the worker responds
// again, the next poll follows immediately and extends the lease, half of which is still
// left.
func (s *session) poll(ctx context.Context) error {
	if err := s.manager.checkLeadership(s.term); err != nil {
		return err
	}
	s.mu.Lock()
	var request Poll
	var sent *extension
	certain := s.life.certain(s.now())
	s.acknowledgeCommitted()
	request.Acknowledged = s.acknowledged()
	if certain && s.tracker.HasReport() && s.failedPolls == 0 && !s.unresponsive() && !s.suspended {
		lease := s.manager.config.Lease
		request.Wait = pollWait
		if s.leaving {
			request.Wait, lease = leavingPollWait, min(lease, leavingLease)
		}
		if !s.departed {
			request.Deadline = s.tracker.ExtendLease(s.now(), lease)
			sent = s.recordExtension()
		}
	}
	s.mu.Unlock()
	// The deadline was computed before this check, so that a pause after it extends no lease. Without the check
	// above, a leader that is not confirmed would extend the lease that it counts with polls that it never sends.
	if err := s.manager.checkLeadership(s.term); err != nil {
		return err
	}
	report, err := s.requestReport(ctx, request)
	s.extensions.settle(sent, err, s.now())
	if err == nil {
		s.extensions.settleReport(sent, report.Incarnation)
	}
	return err
}

// acknowledgeCommitted acknowledges the ends that the state contains, and logs those that count in
// no state. The caller must hold the lock.
func (s *session) acknowledgeCommitted() {
	s.tracker.AcknowledgeCommitted(s.manager.log.State())
	for _, superseded := range s.tracker.takeSuperseded() {
		endsSuperseded.Add(1)
		s.logEntry().WithFields(logrus.Fields{
			"task": superseded.end.Task, "run": superseded.end.Run, "number": superseded.end.Number, "outcome": superseded.end.Outcome,
			"epoch": superseded.epoch, "state": store.StateName(superseded.state),
		}).Warn("end of an earlier run is acknowledged")
	}
}

// acknowledged returns the number of the newest end that a poll sent now may acknowledge; 0 for none. At a worker that
// may start again under its id, only a poll that has something to acknowledge does, soon after a report: the next
// incarnation would forget its own ends up to that number. The caller must hold the lock.
func (s *session) acknowledged() uint64 {
	now := s.now()
	if !s.life.certain(now) {
		return 0
	}
	if s.life.named() && (!s.tracker.listsAcknowledged() || now.Sub(s.life.seenAt) > ackCertainty) {
		return 0
	}
	return s.tracker.acked
}

func (s *session) sendPoll(ctx context.Context, request Poll) error {
	_, err := s.requestReport(ctx, request)
	return err
}

// requestReport sends a poll and processes the report that answers it.
func (s *session) requestReport(ctx context.Context, request Poll) (*Report, error) {
	pollsSent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, request.Wait+pollMargin)
	defer cancel()
	token := s.token()
	request.Token = token.number
	var report *Report
	sent := s.now()
	target, err := s.roundTrip(func(target Target) (err error) {
		report, err = s.manager.client.Poll(ctx, target, request)
		return err
	})
	if err != nil {
		pollsFailed.Add(1)
		s.recordFailedPoll(err, request, sent)
		return nil, err
	}
	s.applyReport(report, request.Acknowledged, sent, target.Address)
	s.recordFence(token, report.Incarnation)
	s.sendFences(ctx)
	s.stopOrphans(ctx)
	return report, nil
}

// roundTrip sends one command or poll, records what a failure says about the worker, and returns
// where it was sent. A request that could not be sent for lack of a file descriptor says nothing.
func (s *session) roundTrip(send func(target Target) error) (Target, error) {
	previous := s.recordRequest()
	target := s.currentTarget()
	err := send(target)
	if failure.Is(err, failure.OutOfDescriptors) {
		s.mu.Lock()
		s.unansweredSince = previous
		s.mu.Unlock()
		return target, err
	}
	if err != nil {
		s.recordFailure(err, target.Address)
	}
	return target, err
}

// recordFailure records that the incarnation is gone or that the worker has become
// unconfirmed or unresponsive.
func (s *session) recordFailure(err error, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := failure.From(err)
	if isUnanswered(f.Code) && s.failedAt.IsZero() {
		s.failedAt, s.brokenOff = s.now(), connectionBroke(err)
	}
	if isUnanswered(f.Code) {
		s.silent = true
		s.life.doubt(s.now())
	}
	if !s.unconfirmed && isUnanswered(f.Code) {
		s.unconfirmed, s.viewStale = true, true
		s.logEntry().WithField("reason", f.Error()).Info("worker in doubt")
		s.requestPoll()
	}
	if f.Code == failure.WorkerVanished {
		s.recordMisdirected(address, f)
	}
	if !s.loggedUnresponsive && s.unresponsive() {
		s.loggedUnresponsive = true
		s.logEntry().WithField("reason", f.Error()).Warn("worker does not answer")
		s.manager.config.Wake()
	}
}

// isUnanswered reports whether a failure leaves open if the worker can be reached. The
// other failures are responses of the worker.
func isUnanswered(code failure.Code) bool {
	switch code {
	case failure.StaleEpoch, failure.Overloaded, failure.DeadlinePassed:
		return false
	}
	return true
}

func (s *session) logEntry() *logrus.Entry {
	return s.manager.config.Logger.WithFields(logrus.Fields{"worker": s.worker, "token": s.term})
}

func (s *session) recordFailedPoll(err error, request Poll, sent time.Time) {
	if failure.Is(err, failure.OutOfDescriptors) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedPolls++
	if request.Acknowledged > 0 && isUnanswered(failure.From(err).Code) && !connectionBroke(err) {
		s.life.unansweredAck = sent
	}
}

// recordAnswer records any response of the worker. The caller must hold the lock.
func (s *session) recordAnswer() {
	s.unansweredSince, s.failedPolls, s.silent = time.Time{}, 0, false
	s.answeredAt, s.failedAt = s.now(), time.Time{}
	if s.unconfirmed {
		s.unconfirmed, s.viewStale = false, true
		s.logEntry().Info("worker no longer in doubt")
	}
}

// recordRequest records that a command or poll is sent, and returns the previous value
// of unansweredSince.
func (s *session) recordRequest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.unansweredSince
	if previous.IsZero() {
		s.unansweredSince = s.now()
	}
	return previous
}

// unresponsive reports whether the worker has left all requests unanswered for
// unresponsiveAfter. A worker that was not polled for a long time because it is idle is
// not unresponsive. The caller must hold the lock.
func (s *session) unresponsive() bool {
	return !s.unansweredSince.IsZero() && s.now().Sub(s.unansweredSince) >= unresponsiveAfter
}

// applyReport records a report that was requested at sent, with an acknowledgement of ends, and came from
// an address.
func (s *session) applyReport(report *Report, acknowledged uint64, sent time.Time, address string) {
	s.mu.Lock()
	if !s.identify(report, acknowledged, sent) {
		s.requestPoll()
		s.mu.Unlock()
		return
	}
	s.answeredFrom, s.reportWanted = address, false
	s.checkEnds(report)
	first := !s.polled
	s.tracker.ApplyReport(report, s.now())
	rates := s.tracker.rates(s.manager.log.State())
	var observed *interference.Observation
	if s.manager.config.Interference && s.tracker.reportClock == report.Clock {
		observed = s.tracker.observation(s.manager.log.State())
	}
	if first {
		s.polled = true
		close(s.firstPoll)
	}
	s.recordAnswer()
	s.viewStale = true
	close(s.nextReport)
	s.nextReport = make(chan struct{})
	if s.loggedUnresponsive {
		s.loggedUnresponsive = false
		s.logEntry().Info("worker answers again")
	}
	if first && len(report.Running)+len(report.Ends) > 0 {
		s.logEntry().WithFields(logrus.Fields{"running": len(report.Running), "ends": len(report.Ends)}).Info("worker taken over")
	}
	s.mu.Unlock()
	s.manager.recordRates(s.worker, rates)
	s.manager.observeInterference(s.worker, observed)
	s.manager.config.Wake()
}

// awaitCommit waits up to commitTimeout for the known ends to be committed, so that the
// next poll acknowledges them.
func (s *session) awaitCommit(ctx context.Context) {
	deadline := time.NewTimer(commitTimeout)
	defer deadline.Stop()
	for {
		changed := s.manager.log.Changed()
		s.mu.Lock()
		s.acknowledgeCommitted()
		uncommitted := len(s.tracker.ends) > 0
		s.mu.Unlock()
		if !uncommitted {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-changed:
		}
	}
}

// stopOrphans stops runs that the log has given up: after a start that was carried out
// late, or on a worker that became reachable again.
func (s *session) stopOrphans(ctx context.Context) {
	s.mu.Lock()
	orphans := s.tracker.Orphans(s.manager.log.State())
	s.mu.Unlock()
	for _, orphan := range orphans {
		orphansSeen.Add(1)
		s.logEntry().WithFields(logrus.Fields{"task": orphan.Task, "run": orphan.Run}).Warn("unwanted run is stopped")
		// If it fails, the next report lists the run again.
		_ = s.stopOrphan(ctx, Stop{Token: s.token().number, Task: orphan.Task, Run: orphan.Run})
	}
}

// stopOrphan sends a stop.
func (s *session) stopOrphan(ctx context.Context, stop Stop) error {
	if err := s.manager.checkLeadership(s.term); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orphanStopTimeout)
	defer cancel()
	_, err := s.roundTrip(func(target Target) error {
		_, err := s.manager.client.Stop(ctx, target, stop)
		return err
	})
	return err
}

// hasUniqueState reports whether this session has information that a new one would
// lack: runs, starts that may still be carried out, unacknowledged ends, or that the incarnation is gone.
func (s *session) hasUniqueState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over() || s.tracker.Busy() || len(s.pastEnds(s.manager.log.State())) > 0 ||
		s.now().Sub(s.starts.newestUnanswered()) <= s.manager.lateStartPeriod()
}

// leaseExpired reports whether nothing started under this incarnation can still run.
func (s *session) leaseExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || s.leaseOver()
}
