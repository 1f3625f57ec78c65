package leases

import (
	"context"
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/pace"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// lookWait is how long a worker may hold a look until a run ends. Two looks
	// fit into a lease, so that one may be lost.
	lookWait = 1500 * time.Millisecond
	// lookSlack is what a look may take beyond its wait.
	lookSlack = time.Second
	// lookPause is the pause after a look that failed.
	lookPause = 150 * time.Millisecond
	// settlePause bounds the wait for the log to take in an end before the worker
	// is asked again: it would list the same end at once.
	settlePause = 200 * time.Millisecond
	// silentAfter is how long a worker may not answer before its lease is no longer
	// prolonged and its runs count as lost: longer than a look and a lost one.
	silentAfter = 3 * time.Second
	// busyAfter is how long a worker is looked at after an order: it may have
	// begun a run of which the answer was lost.
	busyAfter = 2 * time.Second
	// stopAgain is how often an unwanted run is told to stop.
	stopAgain = 300 * time.Millisecond
	// fitEvery is how often speeds are told anew from what was observed: a fit of 256
	// runs of 13 members takes 1.2 ms on a busy machine (BenchmarkFit), half a hundredth
	// of a core at this pace.
	fitEvery = 250 * time.Millisecond
	// toldChange of a speed is worth a line: less is the rounding of hundredths.
	toldChange = 0.15
	// turnEvery is how often the list of workers and the leadership are looked at.
	turnEvery = 50 * time.Millisecond
)

var (
	looksSent   = expvar.NewInt("leases_looks")
	looksFailed = expvar.NewInt("leases_looks_failed")
	orphansSeen = expvar.NewInt("leases_unwanted_runs")
	// ordersWithheld counts the orders whose job had moved on before they left.
	ordersWithheld = expvar.NewInt("leases_orders_withheld")
)

// Log is what the keeper needs of the replicated log.
type Log interface {
	State() *store.State
	Fresh() error
	IsLeader() bool
	// Term numbers leaderships; it is the fencing token.
	Term() uint64
	Changed() <-chan struct{}
}

// Registry knows the workers' announcements.
type Registry interface {
	Get(id string) (*peerpb.Upstream, bool)
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
}

// Config of a keeper.
type Config struct {
	// Lease is how long runs go on without another order.
	Lease time.Duration
	// FreshnessBound is the oldest confirmation on which a leader sends orders.
	FreshnessBound time.Duration
	Now            func() time.Time
	// Wake is called when there is news for dispatch.
	Wake   func()
	Logger *logrus.Logger
}

// Keeper keeps the leases of all workers while this instance leads.
type Keeper struct {
	config   Config
	log      Log
	registry Registry
	client   Client
	mu       sync.Mutex
	term     uint64
	leading  time.Time
	sessions map[string]*session
	// paces is what the progress of gangs tells of the workers, in any term.
	paces pace.Learner
	// speeds were fitted at fitted; told are those that were logged.
	speeds map[string]float64
	fitted time.Time
	told   map[string]float64
}

// NewKeeper makes a keeper.
func NewKeeper(config Config, log Log, registry Registry, client Client) *Keeper {
	return &Keeper{config: config, log: log, registry: registry, client: client, sessions: map[string]*session{}, told: map[string]float64{}}
}

// Run keeps sessions with the workers until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(turnEvery)
	defer ticker.Stop()
	for {
		k.turn(ctx)
		select {
		case <-ctx.Done():
			k.endAll()
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) turn(ctx context.Context) {
	term := k.log.Term()
	if !k.log.IsLeader() || term != k.log.Term() {
		k.endAll()
		return
	}
	live := k.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term != term {
		k.clear()
		k.term, k.leading = term, k.config.Now()
	}
	for _, worker := range live {
		s := k.sessions[worker.Id]
		if s == nil {
			s = k.open(ctx, worker)
		}
		s.hear(worker)
	}
	k.forget(live)
}

// forget ends the sessions with workers that announce themselves no more, once a new
// session would know as much.
func (k *Keeper) forget(live []*peerpb.Upstream) {
	if len(k.sessions) == len(live) {
		return
	}
	announced := make(map[string]bool, len(live))
	for _, worker := range live {
		announced[worker.Id] = true
	}
	for id, s := range k.sessions {
		if !announced[id] && s.leaseOver() && !s.remembered() {
			s.cancel()
			delete(k.sessions, id)
		}
	}
}

// open begins a session. Orders of the leader before may have left until its
// leadership was no longer confirmed, so the lease counts from there.
func (k *Keeper) open(ctx context.Context, worker *peerpb.Upstream) *session {
	until := k.leading.Add(k.config.FreshnessBound)
	s := &session{
		keeper: k,
		token:  k.term,
		target: Target{Worker: worker.Id, Address: worker.Address},
		ledger: NewLedger(k.config.Lease, until),
		poked:  make(chan struct{}, 1),
		looked: make(chan struct{}),
		news:   make(chan struct{}),
	}
	running, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	k.sessions[worker.Id] = s
	go s.run(running)
	return s
}

func (k *Keeper) endAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clear()
	k.term = 0
}

func (k *Keeper) clear() {
	for id, s := range k.sessions {
		s.cancel()
		delete(k.sessions, id)
	}
}

func (k *Keeper) session(worker string) *session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sessions[worker]
}

// mayOrder tells whether this instance surely leads under the token now.
func (k *Keeper) mayOrder(token uint64) error {
	if !k.log.IsLeader() || k.log.Term() != token {
		return failure.New(failure.NotReady, "this instance does not lead")
	}
	return k.log.Fresh()
}

// learn takes in how fast the members of gangs on a worker get on.
func (k *Keeper) learn(worker string, rates []rate) {
	if len(rates) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range rates {
		k.paces.Observe(r.run, worker, r.value)
	}
}

// Speeds gives the speeds of the workers that are known, beside the middle one.
func (k *Keeper) Speeds() map[string]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.config.Now(); now.Sub(k.fitted) >= fitEvery {
		k.speeds, k.fitted = k.paces.Speeds(), now
		k.tellSpeeds()
	}
	return k.speeds
}

// tellSpeeds logs the workers whose speed has become known or has changed.
func (k *Keeper) tellSpeeds() {
	for worker, speed := range k.speeds {
		if math.Abs(speed-k.told[worker]) >= toldChange {
			k.told[worker] = speed
			k.config.Logger.WithFields(logrus.Fields{"worker": worker, "speed": math.Round(100*speed) / 100}).Info("worker speed")
		}
	}
	for worker := range k.told {
		if _, known := k.speeds[worker]; !known {
			delete(k.told, worker)
		}
	}
}

// Get implements dispatch.Registry.
func (k *Keeper) Get(id string) (*peerpb.Upstream, bool) { return k.registry.Get(id) }

// Live lists the workers that answer, with what runs there. One that has not been
// looked at under this token gets no new work; one that is silent is left out.
func (k *Keeper) Live(kind peerpb.UpstreamKind) []*peerpb.Upstream {
	if kind != peerpb.UpstreamKind_UPSTREAM_KIND_WORKER {
		return k.registry.Live(kind)
	}
	announced := k.registry.Live(kind)
	views := make([]*peerpb.Upstream, 0, len(announced))
	for _, worker := range announced {
		if s := k.session(worker.Id); s != nil {
			if view := s.viewOf(worker); view != nil {
				views = append(views, view)
			}
		}
	}
	return views
}

// LeaseOver tells that nothing runs on the worker any more, though it did not say
// so: its lease has surely run out, or another boot is in its place.
//
// Where the keeper has not taken up the newest term, nothing is over: the waits that it
// knows are those of an earlier leadership of this instance, and other leaders may
// have prolonged leases since.
func (k *Keeper) LeaseOver(worker string) bool {
	term := k.log.Term()
	k.mu.Lock()
	s := k.sessions[worker]
	leading, kept := k.leading, k.term
	k.mu.Unlock()
	if kept != term {
		return false
	}
	if s != nil {
		return s.leaseOver()
	}
	// Never heard of under this token: only earlier leaders can have ordered there.
	until := leading.Add(k.config.FreshnessBound)
	return k.config.Now().Sub(until) > LeaseBound(k.config.Lease)
}
