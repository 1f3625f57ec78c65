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
	keeper  *leases.Keeper
	wakeups chan struct{}
	// term is nil with keeper.
	term func() uint64
}

func newWorkers(s *settings.Settings, node control.Node, registry *membership.Registry, client *upstream.Client, logger *logrus.Logger) *workers {
	log, leads := node.(leases.Log)
	if s.Leased == nil || !leads {
		return &workers{commands: client, registry: registry}
	}
	w := &workers{wakeups: make(chan struct{}, 1)}
	config := leases.Config{
		Lease:          s.Upstreams.Lease,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
		Wake:           w.wake,
		Logger:         logger,
	}
	w.keeper = leases.NewKeeper(config, log, registry, platform.NewWorkers())
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

// leaseOver is nil where workers renew leases themselves.
func (w *workers) leaseOver() func(string) bool {
	if w.keeper == nil {
		return nil
	}
	return w.keeper.LeaseOver
}

func newDispatcher(s *settings.Settings, log control.Log, w *workers, logger *logrus.Logger) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Logger:    logger,
		Term:      w.term,
		LeaseOver: w.leaseOver(),
		Wakeups:   w.wakeups,
		Gang: gang.Config{
			Lease:          s.Upstreams.Lease,
			FreshnessBound: s.Control.FreshnessBound,
			AnnounceEvery:  s.Upstreams.AnnounceEvery,
			CommandTimeout: commandTimeout,
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
