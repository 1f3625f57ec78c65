package leases

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// pollWait is how long a worker may delay its response to a poll while no run ends.
	// Two polls fit into a lease, so one may be lost.
	pollWait = 1500 * time.Millisecond
	// leavingLease and leavingPollWait are those of a worker that is leaving: what it still runs when
	// it has gone starts elsewhere after its lease. One poll may be lost, too.
	leavingLease    = 3 * time.Second
	leavingPollWait = 500 * time.Millisecond
	// pollMargin is how long a poll may take in addition to its wait.
	pollMargin = time.Second
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 150 * time.Millisecond
	// lostPollDelay is the pause after a failed poll of a worker whose lease has expired.
	lostPollDelay = 500 * time.Millisecond
	// inquiryTime is how long a lost worker that no longer announces itself is polled: only
	// its next start tells whether it has crashed.
	inquiryTime = time.Minute
	// commitTimeout bounds the wait for reported ends to be committed before the worker
	// is polled again: an earlier poll would return the same ends immediately.
	commitTimeout = 200 * time.Millisecond
	// unresponsiveAfter is how long a worker may leave requests unanswered before its
	// lease is no longer extended and its runs count as lost. It is longer than one
	// poll plus one lost poll.
	unresponsiveAfter = 3 * time.Second
	// idleAfter is how long a worker is polled after a command: it may have begun a run
	// although the response was lost.
	idleAfter = 2 * time.Second
	// orphanStopTimeout bounds one stop of an orphaned run. The stop is repeated while
	// reports still list the run.
	orphanStopTimeout = 300 * time.Millisecond
	// speedFitInterval is the interval at which worker speeds are fitted again to the
	// observations. A fit of 256 runs of 13 members takes 1.2 ms on a busy machine
	// (BenchmarkFit), 0.5% of one core at this interval.
	speedFitInterval = 250 * time.Millisecond
	// minLoggedSpeedChange is the smallest change of a speed that is logged; smaller
	// changes come from percentages that are rounded to whole numbers.
	minLoggedSpeedChange = 0.15
	// refreshInterval is the interval at which the list of workers and the leadership
	// are checked.
	refreshInterval = 50 * time.Millisecond
)

var (
	pollsSent   = expvar.NewInt("leases_looks")
	pollsFailed = expvar.NewInt("leases_looks_failed")
	orphansSeen = expvar.NewInt("leases_unwanted_runs")
	// endsSuperseded counts the acknowledged ends, done or failed, of runs from which their jobs had moved on.
	endsSuperseded = expvar.NewInt("leases_ends_superseded")
	// commandsWithheld counts the commands that were not sent because the job's state had
	// changed.
	commandsWithheld = expvar.NewInt("leases_orders_withheld")
)

// Log is the part of the replicated log that Manager uses.
type Log interface {
	State() *store.State
	CheckFresh() error
	IsLeader() bool
	// Term is the number of the current leadership. It serves as the fencing token.
	Term() uint64
	Changed() <-chan struct{}
}

// Registry holds the workers' announcements.
type Registry interface {
	Get(id string) (*peerpb.Upstream, bool)
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
	// KnownSince returns since when the incarnation has been announced as the worker's newest; false if
	// it isn't.
	KnownSince(id string, incarnation int64) (time.Time, bool)
}

// Config configures a Manager.
type Config struct {
	// Lease is how long runs continue without a renewal, MaxLease the longest lease that a
	// worker grants, whatever it is asked for.
	Lease, MaxLease time.Duration
	// FreshnessBound is the maximum age of the leadership confirmation with which a
	// leader may send commands.
	FreshnessBound time.Duration
	// Interference is set if the manager estimates which classes slow down which others.
	Interference bool
	Now          func() time.Time
	// Wake is called when dispatch has new information to process.
	Wake   func()
	Logger *logrus.Logger
}

// Manager manages the leases of all workers while this instance is the leader.
type Manager struct {
	config      Config
	log         Log
	registry    Registry
	client      Client
	mu          sync.Mutex
	term        uint64
	leaderSince time.Time
	sessions    map[string]*session
	// identified holds the workers whose sessions were closed after they had answered.
	identified map[string]bool
	// recheck is set when an incarnation has become known: the state may have work on others
	// of the same worker. foundInState are the crashes that it showed.
	recheck      atomic.Bool
	foundInState []*controlpb.WorkerCrash
	// speedEstimator estimates worker speeds from the progress of gangs. It is kept
	// across terms.
	speedEstimator workerspeed.Estimator
	// speeds is the result of the fit at fittedAt; loggedSpeeds holds the speeds that
	// were last logged.
	speeds       map[string]float64
	fittedAt     time.Time
	loggedSpeeds map[string]float64
	interference interferenceModel
	suspensions  suspensions
	inherited    inheritedRuns
	// extensions are the requests of this term that extend leases, by worker.
	extensions map[string]*extensions
	// starts are those that were sent in this term, by worker.
	starts map[string]*sentStarts
}

// NewManager returns a Manager that sends commands through client.
func NewManager(config Config, log Log, registry Registry, client Client) *Manager {
	return &Manager{config: config, log: log, registry: registry, client: client, sessions: map[string]*session{}, identified: map[string]bool{}, loggedSpeeds: map[string]float64{}}
}

// Run maintains the sessions with the workers until ctx is cancelled.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-ctx.Done():
			m.closeAll()
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) refresh(ctx context.Context) {
	m.observeSuspensions()
	term := m.log.Term()
	if !m.log.IsLeader() || term != m.log.Term() {
		m.closeAll()
		return
	}
	live := m.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term {
		m.closeSessions()
		m.term, m.leaderSince, m.identified, m.foundInState = term, m.config.Now(), map[string]bool{}, nil
		m.extensions, m.starts, m.inherited = map[string]*extensions{}, map[string]*sentStarts{}, inheritedRuns{}
		m.inheritSuspensions()
	}
	m.inherited.observe(m.log.State(), term)
	if !m.knowsEarlierTerms() {
		return
	}
	for _, worker := range live {
		s := m.sessions[worker.Id]
		if s != nil && s.isReplaced(worker) {
			s.cancel()
			s = nil
		}
		if s == nil {
			s = m.openSession(ctx, worker)
		}
		s.handleAnnouncement(worker)
	}
	m.inquire(ctx)
	m.closeDeparted(live)
	m.dropExtensions()
	m.dropStarts()
	m.limitForgetful()
}

// closeDeparted closes the sessions with workers that no longer announce themselves, as
// soon as a new session would have the same information.
func (m *Manager) closeDeparted(live []*peerpb.Upstream) {
	if len(m.sessions) == len(live) {
		return
	}
	announced := make(map[string]bool, len(live))
	for _, worker := range live {
		announced[worker.Id] = true
	}
	wanted := m.lostWorkers()
	for id, s := range m.sessions {
		if !announced[id] && !wanted[id] && s.leaseExpired() && !s.hasUniqueState() {
			m.identified[id] = s.identified()
			s.cancel()
			delete(m.sessions, id)
		}
	}
}

// openSession opens a session. The previous leader may have sent commands until its
// leadership confirmation expired, so the lease is counted from that time.
func (m *Manager) openSession(ctx context.Context, worker *peerpb.Upstream) *session {
	until := m.leaderSince.Add(m.config.FreshnessBound)
	suspended := m.suspensions.listed[worker.Id]
	s := &session{
		manager:        m,
		term:           m.term,
		worker:         worker.Id,
		inheritedUntil: until,
		address:        worker.Address,
		dataCentre:     worker.DataCentre,
		life:           life{announced: worker.Incarnation},
		tracker:        NewTracker(m.config.Lease, until),
		preparing:      map[api.TaskRef]int{},
		extensions:     m.extensionsOf(worker.Id),
		starts:         m.startsOf(worker.Id),
		pollRequests:   make(chan struct{}, 1),
		firstPoll:      make(chan struct{}),
		nextReport:     make(chan struct{}),
		suspended:      suspended,
		silent:         suspended,
		resumed:        make(chan struct{}),
	}
	s.inherited = m.suspensions.inheritedBounds(worker.Id, worker.Incarnation)
	s.tracker.endsBy = firstKnown(s.tracker.endsBy, s.inherited.lease)
	sessionCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	m.sessions[worker.Id] = s
	go s.run(sessionCtx)
	return s
}

func (m *Manager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeSessions()
	m.term = 0
}

func (m *Manager) closeSessions() {
	for id, s := range m.sessions {
		s.cancel()
		delete(m.sessions, id)
	}
}

func (m *Manager) session(worker string) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[worker]
}

// checkLeadership returns an error unless this instance is confirmed to be the leader
// of the term.
func (m *Manager) checkLeadership(term uint64) error {
	if !m.log.IsLeader() || m.log.Term() != term {
		return failure.New(failure.NotReady, "this instance is not the leader")
	}
	return m.log.CheckFresh()
}

// recordRates records the progress rates of gang members on a worker.
func (m *Manager) recordRates(worker string, rates []rate) {
	if len(rates) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rates {
		m.speedEstimator.Observe(r.run, worker, r.value)
	}
}

// Speeds returns the known worker speeds, relative to the median worker.
func (m *Manager) Speeds() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.config.Now(); now.Sub(m.fittedAt) >= speedFitInterval {
		m.speeds, m.fittedAt = m.speedEstimator.Speeds(), now
		m.logSpeeds()
	}
	return m.speeds
}

// logSpeeds logs the workers whose speed has become known or has changed.
func (m *Manager) logSpeeds() {
	for worker, speed := range m.speeds {
		if math.Abs(speed-m.loggedSpeeds[worker]) >= minLoggedSpeedChange {
			m.loggedSpeeds[worker] = speed
			m.config.Logger.WithFields(logrus.Fields{"worker": worker, "speed": math.Round(100*speed) / 100}).Info("worker speed")
		}
	}
	for worker := range m.loggedSpeeds {
		if _, known := m.speeds[worker]; !known {
			delete(m.loggedSpeeds, worker)
		}
	}
}

// Get implements dispatch.Registry. The incarnation is the one that answers.
func (m *Manager) Get(id string) (*peerpb.Upstream, bool) {
	worker, ok := m.registry.Get(id)
	if s := m.session(id); ok && s != nil {
		return s.withIncarnation(worker), true
	}
	return worker, ok
}

// Live lists the responsive workers and the runs on them. A worker that has not been
// polled under this token yet is marked as leaving, so that it gets no new work. An
// unresponsive worker is omitted once its lease has expired, and one that no longer announces
// itself at once, unless it has ends that are not committed.
func (m *Manager) Live(kind peerpb.UpstreamKind) []*peerpb.Upstream {
	if kind != peerpb.UpstreamKind_UPSTREAM_KIND_WORKER {
		return m.registry.Live(kind)
	}
	announced := m.registry.Live(kind)
	views := make([]*peerpb.Upstream, 0, len(announced))
	for _, worker := range announced {
		if s := m.session(worker.Id); s != nil {
			if view := s.viewOf(worker); view != nil {
				views = append(views, view)
			}
		}
	}
	return append(views, m.unannouncedEnds(announced)...)
}

// unannouncedEnds lists the workers without an announcement, now, that have reported ends which are not committed.
func (m *Manager) unannouncedEnds(announced []*peerpb.Upstream) []*peerpb.Upstream {
	var views []*peerpb.Upstream
	for _, s := range m.unannounced(announced) {
		if view := s.unannouncedView(); view != nil {
			views = append(views, view)
		}
	}
	slices.SortFunc(views, func(a, b *peerpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
	return views
}

// unannounced lists the sessions with workers that have no announcement.
func (m *Manager) unannounced(announced []*peerpb.Upstream) []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 0
	for _, worker := range announced {
		if m.sessions[worker.Id] != nil {
			known++
		}
	}
	if known == len(m.sessions) {
		return nil
	}
	silent := maps.Clone(m.sessions)
	for _, worker := range announced {
		delete(silent, worker.Id)
	}
	return slices.Collect(maps.Values(silent))
}

// LeaseExpired reports whether a member of a job can no longer run where it is placed,
// although its worker has not reported its end: the lease has expired even with the maximum
// clock lag, or another incarnation has replaced the worker's and can't begin the run either.
//
// It returns false until the manager has adopted the newest term: its times are then
// those of an earlier leadership of this instance, and other leaders may have extended
// leases since.
func (m *Manager) LeaseExpired(job *controlpb.Job, placement *controlpb.Placement) bool {
	term := m.log.Term()
	m.mu.Lock()
	s, keptTerm, bounds := m.sessions[placement.Worker], m.term, m.unheardBounds(job, placement)
	startKnown := m.inherited.startKnown(job)
	m.mu.Unlock()
	if keptTerm != term {
		return false
	}
	if s == nil {
		return bounds.over(m.config.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preparing[api.TaskRef{Job: job.Id, Task: placement.Task, Epoch: job.Epoch}] > 0 {
		return false
	}
	return s.proofOf(runKey{store.TaskName(job, placement.Task), job.Epoch}, placement.Incarnation, startKnown) != unproven
}

// unheardBounds returns by when a run has ended on a worker with which there has been no session under this token, so
// that only earlier leaders can have sent commands to it. The caller must hold the lock.
func (m *Manager) unheardBounds(job *controlpb.Job, placement *controlpb.Placement) runBounds {
	bounds := m.earlierBounds(placement.Worker, placement.Incarnation).earliest(m.suspensions.inheritedBounds(placement.Worker, placement.Incarnation))
	if m.inherited.startKnown(job) {
		bounds.start = time.Time{}
	}
	return bounds
}

// youngPeriod is how long after the start of an incarnation commands for the one before may extend
// its lease. They were sent within certainty after the start.
func (m *Manager) youngPeriod() time.Duration { return certainty + m.lateStartPeriod() }
