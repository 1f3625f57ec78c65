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
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/logsink"
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
		fx.Provide(newLogger, newShare, newAccepted),
		controlModule,
		membershipModule,
		requestsModule,
		workModule,
		httpModule,
		leasedModule,
	)
}

// newShare divides the descriptors that this process may hold. On the platform an
// instance without the log takes callers and orders nothing.
func newShare(s *settings.Settings) connections.Share {
	limit := s.Instance.Descriptors
	if limit == 0 {
		limit = connections.LimitOfProcess()
	}
	return connections.ShareOf(limit, s.Leased == nil || s.Instance.DataFolder != "")
}

// newAccepted makes the group that all callers' and upstreams' connections share.
func newAccepted(share connections.Share, logger *logrus.Logger) *connections.Group {
	return connections.NewGroup("accepted", share.Accepted, logger)
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

// newLogger makes the logger of the process. Its lines are bounded and written beside
// whoever logs; what waits at the end is written before the process ends.
func newLogger(lifecycle fx.Lifecycle, s *settings.Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "[log] level")
	}
	out := os.Stderr
	if s.Log.Standard {
		out = os.Stdout
	}
	sink := logsink.New(out, logsink.DefaultLength)
	lifecycle.Append(fx.StopHook(sink.Close))
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetLevel(level)
	logger.SetFormatter(&logsink.Limit{Formatter: formatter(s.Log.Format), PerSecond: logsink.DefaultPerSecond, Now: time.Now})
	return logger, nil
}

func formatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: logsink.TimeFormat}
	}
	return &logrus.TextFormatter{TimestampFormat: logsink.TimeFormat, FullTimestamp: true}
}
