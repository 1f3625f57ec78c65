package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

var workModule = fx.Module("work",
	fx.Provide(newDispatcher, newController),
	fx.Invoke(runController),
)

func newDispatcher(s *settings.Settings, log control.Log, client *upstream.Client, registry *membership.Registry) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{Lease: s.Upstreams.Lease, Now: time.Now}, log, client, registry)
}

func newController(log control.Log, dispatcher *dispatch.Dispatcher, registry *membership.Registry) *dispatch.Controller {
	return dispatch.NewController(log, dispatcher, registry, time.Now)
}

func runController(lifecycle fx.Lifecycle, controller *dispatch.Controller) {
	background(lifecycle, controller.Run)
}
