// Package app wires one instance with fx: the only place that knows every part.
package app

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// New makes the instance that the settings describe. Modules stop in reverse
// order: HTTP first, so that no request is left, then the work, then the last
// outcomes of requests, and only after these the log and the other instances,
// which they need.
func New(s *settings.Settings) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Stop.Notice+s.Stop.Grace+stopMargin),
		fx.Provide(newLogger),
		controlModule,
		membershipModule,
		requestsModule,
		workModule,
		httpModule,
		leasedModule,
	)
}

// stopMargin is added to the grace for what follows the last request.
const stopMargin = cutTime + settleTime + 5*time.Second

// background runs work from start to stop of the instance and waits for its end.
func background(lifecycle fx.Lifecycle, work func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				work(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stop.Done():
			}
			return nil
		},
	})
}

func newLogger(s *settings.Settings) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	if s.Log.Standard {
		logger.SetOutput(os.Stdout)
	}
	if s.Log.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "[log] level")
	}
	logger.SetLevel(level)
	return logger, nil
}
