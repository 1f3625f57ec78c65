package app

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/upstream"
	"pinewinch.example/pinewinch/platform"
)

const (
	// commandTimeout bounds one command to a worker. A checkpoint has to fit in;
	// one that takes longer is acknowledged by the worker's next announcement.
	commandTimeout = 2 * time.Second
	// A worker that failed a job gets no other for a part of a lease, and one that
	// failed several is tried again after a few leases: by then nothing of what it
	// ran before can still be running.
	coolDownsPerLease = 5
	leasesPerProbe    = 3
)

var workModule = fx.Module("work",
	fx.Provide(newWorkers, newDispatcher, newController, newExplainer, newHTTPExplainer),
	fx.Invoke(runController),
)

// workers is how dispatch reaches workers and what it knows of them.
type workers struct {
	commands dispatch.Workers
	registry dispatch.Registry
	// keeper renews the leases; nil where workers do so by their announcements.
	keeper  *leases.Manager
	wakeups chan struct{}
	// term is nil with keeper.
	term func() uint64
	// mayLead tells an instance that keeps the log.
	mayLead bool
}

func newWorkers(s *settings.Settings, node control.Node, registry *membership.Registry, client *upstream.Client, share connections.Share, logger *logrus.Logger) *workers {
	log, leads := node.(leases.Log)
	if s.Leased == nil || !leads {
		return &workers{commands: client, registry: registry, mayLead: leads}
	}
	w := &workers{wakeups: make(chan struct{}, 1), mayLead: true}
	config := leases.Config{
		Lease:          s.Upstreams.Lease,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
		Wake:           w.wake,
		Logger:         logger,
	}
	w.keeper = leases.NewManager(config, log, registry, platform.NewWorkers(share, logger))
	w.commands, w.registry = w.keeper, w.keeper
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
func (w *workers) leaseExpired() func(string) bool {
	if w.keeper == nil {
		return nil
	}
	return w.keeper.LeaseExpired
}

// speeds is nil where workers renew leases themselves: they report no progress.
func (w *workers) speeds() func() map[string]float64 {
	if w.keeper == nil {
		return nil
	}
	return w.keeper.Speeds
}

// leasedStallAfter is how long a task may stand still: to begin it anew costs the
// wait for room and the work since its checkpoint, some seconds, so a shorter hang
// is better sat out. Against no bound, worth rises from 0.47 to 0.50 in the mean of
// 8 days on which 15% of the workers hang for 28 s; with 3 s it falls from 0.59 to
// 0.55 in the mean of 12 days on which 10% hang for 7 s.
const leasedStallAfter = 8 * time.Second

// stallAfter is 0 where workers do not report how far their tasks are.
func (w *workers) stallAfter() time.Duration {
	if w.keeper == nil {
		return 0
	}
	return leasedStallAfter
}

func newDispatcher(s *settings.Settings, log control.Log, w *workers, logger *logrus.Logger) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Logger:       logger,
		Term:         w.term,
		LeaseExpired: w.leaseExpired(),
		MayLead:      w.mayLead,
		Speeds:       w.speeds(),
		Wakeups:      w.wakeups,
		Gang: gang.Config{
			Lease:          s.Upstreams.Lease,
			FreshnessBound: s.Control.FreshnessBound,
			AnnounceEvery:  s.Upstreams.AnnounceEvery,
			CommandTimeout: commandTimeout,
			StallAfter:     w.stallAfter(),
		},
		Quarantine: quarantine.Config{
			CoolDown: s.Upstreams.Lease / coolDownsPerLease,
			Probe:    s.Upstreams.Lease * leasesPerProbe,
		},
		Now: time.Now,
	}, log, w.commands)
}

func newController(log control.Log, dispatcher *dispatch.Dispatcher, w *workers) *dispatch.Controller {
	return dispatch.NewController(log, dispatcher, w.registry, time.Now)
}

func runController(lifecycle fx.Lifecycle, controller *dispatch.Controller, w *workers) {
	if w.keeper != nil {
		background(lifecycle, w.keeper.Run)
	}
	background(lifecycle, controller.Run)
}
