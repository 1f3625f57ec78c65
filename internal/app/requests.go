package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/replica"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

var requestsModule = fx.Module("requests",
	fx.Provide(upstream.NewClient, newRouter),
	fx.Invoke(runRouter),
)

func newRouter(s *settings.Settings, control *replica.Replica, registry *membership.Registry, client *upstream.Client) *routing.Router {
	config := routing.Config{Instance: s.Instance.Name, KeepAnswers: s.Requests.KeepAnswers, QueueLength: s.Requests.QueueLength, Now: time.Now}
	return routing.New(config, control, registry, client, nil)
}

func runRouter(lifecycle fx.Lifecycle, router *routing.Router) { background(lifecycle, router.Run) }
