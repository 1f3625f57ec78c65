package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/replica"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

var requestsModule = fx.Module("requests",
	fx.Provide(upstream.NewClient, newRouter, newExecutor),
)

func newRouter(registry *membership.Registry, client *upstream.Client) *routing.Router {
	return routing.New(registry, client)
}

func newExecutor(s *settings.Settings, control *replica.Replica, router *routing.Router) *claims.Executor {
	config := claims.Config{Instance: s.Instance.Name, KeepAnswers: s.Requests.KeepAnswers, Now: time.Now}
	return claims.New(config, control, router)
}
