package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/upstream"
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
	fx.Provide(newDispatcher, newController, newExplainer, newHTTPExplainer),
	fx.Invoke(runController),
)

func newDispatcher(s *settings.Settings, log control.Log, client *upstream.Client) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
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
	}, log, client)
}

func newController(log control.Log, dispatcher *dispatch.Dispatcher, registry *membership.Registry) *dispatch.Controller {
	return dispatch.NewController(log, dispatcher, registry, time.Now)
}

func runController(lifecycle fx.Lifecycle, controller *dispatch.Controller) {
	background(lifecycle, controller.Run)
}
