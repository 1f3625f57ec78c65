package app

import (
	"context"
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/peers"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

var requestsModule = fx.Module("requests",
	fx.Provide(upstream.NewClient, newRouter, newExecutor),
	fx.Invoke(runRouter, runCreditMembers, stopExecutor),
)

func newRouter(s *settings.Settings, log control.Log, registry *membership.Registry, client *upstream.Client, network *peers.Network) *routing.Router {
	config := routing.Config{
		Instance:       s.Instance.Name,
		QueueLength:    s.Requests.QueueLength,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
	}
	return routing.New(config, log, registry, client, lenders{network})
}

func runRouter(lifecycle fx.Lifecycle, router *routing.Router) { background(lifecycle, router.Run) }

func newExecutor(s *settings.Settings, log control.Log, router *routing.Router, network *peers.Network) *claims.Executor {
	config := claims.Config{
		Instance:       s.Instance.Name,
		AnswerTTL:      s.Requests.KeepAnswers,
		MaxAnswerBytes: s.Requests.KeepAnswersBytes,
		Now:            time.Now,
	}
	return claims.New(config, log, router, network)
}

// recordTimeout limits the recording of the last request outcomes, after the last
// response and before the log stops.
const recordTimeout = 3 * time.Second

func stopExecutor(lifecycle fx.Lifecycle, executor *claims.Executor, failed *logFailed) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		if failed.Load() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		executor.Stop(ctx)
	}))
}
