package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

var requestsModule = fx.Module("requests",
	fx.Provide(upstream.NewClient, newRouter),
)

func newRouter(s *settings.Settings, log control.Log, registry *membership.Registry, client *upstream.Client) *routing.Router {
	config := routing.Config{Instance: s.Instance.Name, KeepAnswers: s.Requests.KeepAnswers, Now: time.Now}
	return routing.New(config, log, registry, client)
}
