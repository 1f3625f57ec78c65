// Package app assembles one instance from its components with fx. No other package
// depends on all of them.
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

// New assembles the instance that the settings describe. Modules stop in reverse
// order: HTTP first, so that no request is left, then dispatch, then the recording of
// the last request outcomes, and only then the log and the connections to other
// instances, which the others need. Options are applied after all modules.
func New(s *settings.Settings, options ...fx.Option) *fx.App {
	modules := []fx.Option{
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Stop.Notice + s.Stop.Grace + stopMargin),
		fx.Provide(newLogger, newAllocation, newAccepted, newGates),
		controlModule,
		membershipModule,
		requestsModule,
		workModule,
		httpModule,
		leasedModule,
		collectionModule,
	}
	return fx.New(append(modules, options...)...)
}

// newAllocation divides the file descriptors that this process may open between dialled and
// accepted connections. On the platform an instance without a replica of the log serves
// callers but sends no commands to workers.
func newAllocation(s *settings.Settings) connections.Allocation {
	limit := s.Instance.Descriptors
	if limit == 0 {
		limit = connections.DescriptorLimit()
	}
	return connections.Allocate(limit, s.LeaderLeases == nil || s.Instance.DataFolder != "")
}

// newAccepted returns the group that limits the connections of all callers and
// upstreams together.
func newAccepted(allocation connections.Allocation, logger *logrus.Logger) *connections.Group {
	return connections.NewGroup("accepted", allocation.Accepted, logger)
}

// stopMargin is added to notice and grace for the shutdown steps after the last request.
const stopMargin = abortTimeout + recordTimeout + 5*time.Second

// background runs work from the start of the instance until it stops, and then waits
// for work to return, at most until the stop hook's context ends.
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

// newLogger returns the logger of the process. Log lines are rate-limited and written
// asynchronously; buffered lines are flushed before the process exits.
func newLogger(lifecycle fx.Lifecycle, s *settings.Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "[log] level")
	}
	out := os.Stderr
	if s.Log.Stdout {
		out = os.Stdout
	}
	sink := logsink.New(out, logsink.DefaultQueueLength)
	lifecycle.Append(fx.StopHook(sink.Close))
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetLevel(level)
	logger.SetFormatter(&logsink.RateLimitFormatter{Formatter: formatter(s.Log.Format), PerSecond: logsink.DefaultLinesPerSecond, Now: time.Now})
	return logger, nil
}

func formatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: logsink.TimeFormat}
	}
	return &logrus.TextFormatter{TimestampFormat: logsink.TimeFormat, FullTimestamp: true}
}
