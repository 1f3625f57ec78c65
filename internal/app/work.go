package app

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/evacuation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/state/store"
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/upstream"
	"pinewinch.example/pinewinch/platform"
)

const (
	// commandTimeout limits one command to a worker. A checkpoint should finish within
	// it; one that takes longer is acknowledged by the worker's next announcement.
	commandTimeout = 2 * time.Second
	// A worker that failed a job gets no other for 1/coolDownsPerLease of a lease, and
	// one that failed several is probed after leasesPerProbe leases: by then nothing
	// that it ran before can still be running.
	coolDownsPerLease = 5
	leasesPerProbe    = 3
)

var workModule = fx.Module("work",
	fx.Provide(newWorkers, newDispatcher, newController, newExplainer, newHTTPExplainer),
	fx.Invoke(runController),
)

// workers holds what dispatch needs to send commands to workers and to observe them.
type workers struct {
	commands dispatch.Workers
	registry dispatch.Registry
	// leaseManager renews the leases; nil where workers renew them by announcements.
	leaseManager *leases.Manager
	wakeups      chan struct{}
	// term is nil if leaseManager is.
	term func() uint64
	// mayLead reports whether this instance holds a replica of the log.
	mayLead bool
}

func newWorkers(s *settings.Settings, node control.Node, registry *membership.Registry, client *upstream.Client, allocation connections.Allocation, logger *logrus.Logger) *workers {
	log, leads := node.(leases.Log)
	if s.LeaderLeases == nil || !leads {
		return &workers{commands: client, registry: registry, mayLead: leads}
	}
	w := &workers{wakeups: make(chan struct{}, 1), mayLead: true}
	config := leases.Config{
		Lease:          s.Upstreams.Lease,
		MaxLease:       s.LeaderLeases.MaxLease,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
		Wake:           w.wake,
		Logger:         logger,
		Interference:   s.Scheduling.Interference,
	}
	w.leaseManager = leases.NewManager(config, log, registry, platform.NewWorkerClient(allocation, logger))
	w.commands, w.registry = w.leaseManager, w.leaseManager
	w.term = log.Term
	return w
}

func (w *workers) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// leaseExpired is nil where workers renew leases themselves.
func (w *workers) leaseExpired() func(*controlpb.Job, *controlpb.Placement) bool {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.LeaseExpired
}

// describeLease is nil where workers renew leases themselves.
func (w *workers) describeLease() func(*controlpb.Job, *controlpb.Placement) logrus.Fields {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.DescribeLease
}

// silentFor is nil where workers renew leases themselves.
func (w *workers) silentFor() func(worker string) time.Duration {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.SilentFor
}

// crashes is nil where workers are only known by their announcements.
func (w *workers) crashes() func(*store.State) []*controlpb.WorkerCrash {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.Crashes
}

// speeds is nil where workers renew leases themselves: they report no progress.
func (w *workers) speeds() func() map[string]float64 {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.Speeds
}

// slowdowns is nil where workers renew leases themselves: they report no progress.
func (w *workers) slowdowns() func() map[scheduling.ClassPair]float64 {
	if w.leaseManager == nil {
		return nil
	}
	return w.leaseManager.Slowdowns
}

// leasedStallAfter is how long a task may make no progress before it is restarted. A
// restart costs the wait for free capacity and the work since the last checkpoint, some
// seconds, so a shorter stall is better waited out. Compared with no limit, the mean
// value of the work rises from 0.47 to 0.50 over 8 days on which 15% of the workers hang
// for 28 s; with 3 s it falls from 0.59 to 0.55 over 12 days on which 10% hang for
// 7 s.
const leasedStallAfter = 8 * time.Second

// stallAfter is 0 where workers do not report the progress of their tasks.
func (w *workers) stallAfter() time.Duration {
	if w.leaseManager == nil {
		return 0
	}
	return leasedStallAfter
}

// maxUnansweredDelay leaves time for a pass and a start within the three seconds for which
// accepted work may stand beside free capacity.
const maxUnansweredDelay = 2 * time.Second

// maxUnanswered is 0 where workers renew leases themselves: a job whose start is lost there
// waits for the end of a lease.
func (w *workers) maxUnanswered() time.Duration {
	if w.leaseManager == nil {
		return 0
	}
	return maxUnansweredDelay
}

func newDispatcher(s *settings.Settings, log control.Log, w *workers, logger *logrus.Logger) *dispatch.Dispatcher {
	config := dispatch.Config{
		Logger:        logger,
		Term:          w.term,
		LeaseExpired:  w.leaseExpired(),
		DescribeLease: w.describeLease(),
		SilentFor:     w.silentFor(),
		Crashes:       w.crashes(),
		MayLead:       w.mayLead,
		Speeds:        w.speeds(),
		Slowdowns:     w.slowdowns(),
		Features:      features(s.Scheduling),

		ExpectedEndIfUneven: s.Scheduling.ExpectedEndIfUneven,

		Evacuation: evacuation.Config{
			Drain: s.Scheduling.EvacuationDrain, ColdStart: s.Scheduling.ColdStart, ColdPerSecond: s.Scheduling.ColdPerSecond,
		},
		Wakeups: w.wakeups,
		Gang: gang.Config{
			Lease:          s.Upstreams.Lease,
			FreshnessBound: s.Control.FreshnessBound,
			AnnounceEvery:  s.Upstreams.AnnounceEvery,
			CommandTimeout: commandTimeout,
			StallAfter:     w.stallAfter(),
			ResumeAtOnce:   s.Scheduling.AttemptPlacement,
		},
		Quarantine: quarantine.Config{
			CoolDown: s.Upstreams.Lease / coolDownsPerLease,
			Probe:    s.Upstreams.Lease * leasesPerProbe,

			MaxUnanswered: w.maxUnanswered(),
		},
		MaxStand: s.Scheduling.MaxStand,
		Now:      time.Now,
	}
	if w.leaseManager != nil {
		config.Unheard, config.StartUnderWay = w.leaseManager.Unheard, w.leaseManager.StartUnderWay
		config.Suspensions, config.SuspensionsCommitted = w.leaseManager.Suspensions, w.leaseManager.SuspensionsCommitted
	}
	return dispatch.New(config, log, w.commands)
}

func features(s settings.Scheduling) scheduling.Features {
	return scheduling.Features{
		ExpectedEnd:        s.ExpectedEnd,
		AttemptPlacement:   s.AttemptPlacement,
		Interference:       s.Interference,
		CheckpointInterval: s.CheckpointInterval,
		RestoreTime:        s.RestoreTime,
		StopTime:           s.StopTime,
	}
}

func newController(log control.Log, dispatcher *dispatch.Dispatcher, w *workers) *dispatch.Controller {
	return dispatch.NewController(log, dispatcher, w.registry, time.Now)
}

func runController(lifecycle fx.Lifecycle, controller *dispatch.Controller, w *workers) {
	if w.leaseManager != nil {
		background(lifecycle, w.leaseManager.Run)
	}
	background(lifecycle, controller.Run)
}
