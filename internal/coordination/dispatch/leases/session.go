package leases

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// session is one leader's dealings with one boot of a worker.
type session struct {
	keeper *Keeper
	token  uint64
	target Target
	cancel context.CancelFunc
	// poked is ready when a look is due at once.
	poked chan struct{}
	// looked is closed once the worker has answered a look under the token.
	looked chan struct{}

	mu     sync.Mutex
	ledger *Ledger
	// news is closed by the next report and replaced.
	news chan struct{}
	// gone is set once the boot has surely ended.
	gone bool
	// ordered is when the newest start or stop left.
	ordered time.Time
	// doubted is set from a failed order or look until the next answer. A worker that
	// is cut off looks empty, and would be given the next work too.
	doubted bool
	// missed counts the looks since the newest report that failed.
	missed int
	// unanswered is since when an order or look waits for any answer; zero for none.
	unanswered time.Time
	version    uint64
	// view is what dispatch last saw, made of the announcement viewFrom and the
	// ledger; stale once the ledger has changed since.
	view     *peerpb.Upstream
	viewFrom *peerpb.Upstream
	stale    bool
	// silent is set while the worker is logged as not answering.
	silent bool
}

func (s *session) now() time.Time { return s.keeper.config.Now() }

// hear takes an announcement: one that says goodbye ends all that ran there.
func (s *session) hear(worker *peerpb.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if worker.Departed {
		s.gone = true
	}
}

// run looks at the worker for as long as it may have runs.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil && !s.isGone() {
		if s.quiet() {
			select {
			case <-ctx.Done():
			case <-s.poked:
			}
			continue
		}
		if err := s.look(ctx); err != nil {
			control.Pause(ctx, lookPause)
			continue
		}
		s.settle(ctx)
	}
}

func (s *session) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// quiet tells a worker without runs, ends and recent orders: it needs no lease. One
// that left an order or look unanswered is looked at until it answers: nobody else
// would find out that it is back, and it would count as lost for as long as this
// leader leads.
func (s *session) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.doubted && s.unanswered.IsZero() && s.ledger.Heard() && !s.ledger.Busy() && s.now().Sub(s.ordered) > busyAfter
}

func (s *session) poke() {
	select {
	case s.poked <- struct{}{}:
	default:
	}
}

// look asks the worker once and takes in its report. The first look takes the
// token up and does not wait; a later one prolongs the lease, but not once a look
// was left unanswered: each one sent to a worker that is gone would put off the moment
// from which its runs may begin elsewhere, by up to 3 s. A worker that answers again
// has its lease prolonged by the next look, at once; half of it is left then.
func (s *session) look(ctx context.Context) error {
	if err := s.keeper.mayOrder(s.token); err != nil {
		return err
	}
	s.mu.Lock()
	look := Look{Token: s.token, Acknowledged: s.ledger.Settle(s.keeper.log.State())}
	if s.ledger.Heard() && s.missed == 0 && !s.lost() {
		look.Deadline = s.ledger.Deadline(s.now())
		look.Wait = lookWait
	}
	s.mu.Unlock()
	return s.ask(ctx, look)
}

func (s *session) ask(ctx context.Context, look Look) error {
	looksSent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, look.Wait+lookSlack)
	defer cancel()
	var report *Report
	err := s.exchange(func() (err error) {
		report, err = s.keeper.client.Look(ctx, s.target, look)
		return err
	})
	if err != nil {
		looksFailed.Add(1)
		s.missedLook(err)
		return err
	}
	s.take(report)
	s.stopOrphans(ctx)
	return nil
}

// exchange sends one order or look, and notes what its failure tells of the worker. One
// that could not leave for want of a descriptor tells nothing.
func (s *session) exchange(send func() error) error {
	before := s.asked()
	err := send()
	if failure.Is(err, failure.OutOfDescriptors) {
		s.mu.Lock()
		s.unanswered = before
		s.mu.Unlock()
		return err
	}
	if err != nil {
		s.failed(err)
	}
	return err
}

// failed notes a boot that is gone, and the loss of a worker.
func (s *session) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := failure.From(err)
	if !s.doubted && leftUnanswered(f.Code) {
		s.doubted, s.stale = true, true
		s.entry().WithField("reason", f.Error()).Info("worker in doubt")
		s.poke()
	}
	if f.Code == failure.WorkerVanished && !s.gone {
		s.gone = true
		s.entry().WithField("reason", f.Error()).Warn("another boot answers in the worker's place")
		s.keeper.config.Wake()
		return
	}
	if !s.silent && s.lost() {
		s.silent = true
		s.entry().WithField("reason", f.Error()).Warn("worker does not answer")
		s.keeper.config.Wake()
	}
}

// leftUnanswered tells a failure after which it is not known whether the worker can
// be reached; the others are answers.
func leftUnanswered(code failure.Code) bool {
	switch code {
	case failure.StaleEpoch, failure.Overloaded, failure.DeadlinePassed:
		return false
	}
	return true
}

func (s *session) entry() *logrus.Entry {
	return s.keeper.config.Logger.WithFields(logrus.Fields{"worker": s.target.Worker, "token": s.token})
}

func (s *session) missedLook(err error) {
	if failure.Is(err, failure.OutOfDescriptors) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed++
}

// answered notes any answer of the worker; the caller holds the lock.
func (s *session) answered() {
	s.unanswered, s.missed = time.Time{}, 0
	if s.doubted {
		s.doubted, s.stale = false, true
		s.entry().Info("worker no longer in doubt")
	}
}

// asked notes that an order or look leaves, and gives since when one before it was
// unanswered.
func (s *session) asked() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.unanswered
	if before.IsZero() {
		s.unanswered = s.now()
	}
	return before
}

// lost tells a worker that has left everything unanswered for too long. One that
// was not asked for long, because nothing runs there, is not lost.
func (s *session) lost() bool {
	return !s.unanswered.IsZero() && s.now().Sub(s.unanswered) >= silentAfter
}

func (s *session) take(report *Report) {
	s.mu.Lock()
	first := !s.ledger.Heard()
	s.ledger.Take(report, s.now())
	rates := s.ledger.rates(s.keeper.log.State())
	if first {
		close(s.looked)
	}
	s.answered()
	s.stale = true
	close(s.news)
	s.news = make(chan struct{})
	if s.silent {
		s.silent = false
		s.entry().Info("worker answers again")
	}
	if first && len(report.Running)+len(report.Ends) > 0 {
		s.entry().WithFields(logrus.Fields{"running": len(report.Running), "ends": len(report.Ends)}).Info("worker taken over")
	}
	s.mu.Unlock()
	s.keeper.learn(s.target.Worker, rates)
	s.keeper.config.Wake()
}

// settle waits a moment until the log has taken in the ends that are known, so
// that the next look acknowledges them.
func (s *session) settle(ctx context.Context) {
	deadline := time.NewTimer(settlePause)
	defer deadline.Stop()
	for {
		changed := s.keeper.log.Changed()
		s.mu.Lock()
		s.ledger.Settle(s.keeper.log.State())
		waiting := len(s.ledger.ends) > 0
		s.mu.Unlock()
		if !waiting {
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

// stopOrphans ends runs that the log gave up: a start that was carried out late,
// or one whose worker came back.
func (s *session) stopOrphans(ctx context.Context) {
	s.mu.Lock()
	orphans := s.ledger.Orphans(s.keeper.log.State())
	s.mu.Unlock()
	for _, orphan := range orphans {
		orphansSeen.Add(1)
		s.entry().WithFields(logrus.Fields{"task": orphan.Task, "run": orphan.Run}).Warn("unwanted run is stopped")
		s.stopOnce(ctx, Stop{Token: s.token, Task: orphan.Task, Run: orphan.Run})
	}
}

// stopOnce sends a stop; where it fails the next report shows the run again.
func (s *session) stopOnce(ctx context.Context, stop Stop) {
	if s.keeper.mayOrder(s.token) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopAgain)
	defer cancel()
	// What became of it is in the next report.
	_ = s.exchange(func() error {
		_, err := s.keeper.client.Stop(ctx, s.target, stop)
		return err
	})
}

// remembered tells a session that knows more than a new one would: runs or ends that
// are not settled, or that the boot has ended.
func (s *session) remembered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || s.ledger.Busy()
}

// leaseOver tells that nothing of this boot can still run.
func (s *session) leaseOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || s.ledger.LeaseOver(s.now())
}

// viewOf is the worker as dispatch sees it; nil for one that is gone, or silent and
// its lease run out. Until then a silent worker's runs count as alive: nothing of them
// could begin elsewhere, and a cut that is shorter than the lease harms none of them.
//
// Ends that it has listed still count. A run that ended well in the moment before its
// worker said goodbye would else pass for lost with it, and run a second time; so
// would one whose end is known when its worker falls silent.
func (s *session) viewOf(worker *peerpb.Upstream) *peerpb.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.keeper.log.State()
	if s.gone || (s.lost() && s.ledger.LeaseOver(s.now())) {
		return s.endsOnly(worker, state)
	}
	if s.view != nil && s.viewFrom == worker && !s.stale {
		return s.view
	}
	view := proto.CloneOf(worker)
	s.version++
	view.Version = s.version
	view.Leaving = worker.Leaving || !s.ledger.Heard() || s.doubted
	view.Tasks = s.ledger.Tasks(state)
	s.view, s.viewFrom, s.stale = view, worker, false
	return view
}

// endsOnly is the view of a worker that is lost or gone: nothing but the ends that
// the log has yet to take in, and nil once it has.
func (s *session) endsOnly(worker *peerpb.Upstream, state *store.State) *peerpb.Upstream {
	ends := s.ledger.UnsettledEnds(state)
	if len(ends) == 0 {
		return nil
	}
	view := proto.CloneOf(worker)
	s.version++
	view.Version = s.version
	view.Leaving = true
	view.Tasks = ends
	s.stale = true
	return view
}
