// Package app wires one instance with fx: the only place that knows every part.
package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/replica"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
	"pinewinch.example/pinewinch/internal/transport/peers"
	"pinewinch.example/pinewinch/internal/transport/upstream"
)

// Timeouts of the HTTP server: a caller that sends or reads slowly must not
// hold a connection for ever.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
)

// New makes the instance that the settings describe.
func New(s *settings.Settings) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Stop.Grace+stopMargin),
		fx.Provide(
			newLogger,
			newNetwork,
			newReplica,
			newRegistry,
			upstream.NewClient,
			newRouter,
			newDispatcher,
			newController,
			httpapi.New,
			newSoftState,
		),
		fx.Invoke(runPeers, runReplica, runController, runSoftState, runHTTP),
	)
}

// stopMargin is added to the grace for what follows the last request.
const stopMargin = 5 * time.Second

func newLogger(s *settings.Settings) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
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

func newNetwork(s *settings.Settings) *peers.Network {
	return peers.NewNetwork(s.Instance.Name, s.Peers)
}

func newReplica(s *settings.Settings, network *peers.Network) *replica.Replica {
	return replica.New(replica.Config{
		Name:           s.Instance.Name,
		Leader:         s.Control.Voters[0],
		DataFolder:     s.Instance.DataFolder,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
	}, network)
}

func newRegistry() *membership.Registry { return membership.NewRegistry(time.Now) }

func newRouter(s *settings.Settings, control *replica.Replica, registry *membership.Registry, client *upstream.Client) *routing.Router {
	config := routing.Config{Instance: s.Instance.Name, KeepAnswers: s.Requests.KeepAnswers, Now: time.Now}
	return routing.New(config, control, registry, client)
}

func newDispatcher(s *settings.Settings, control *replica.Replica, client *upstream.Client, registry *membership.Registry) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{Lease: s.Upstreams.Lease, Now: time.Now}, control, client, registry)
}

func newController(control *replica.Replica, dispatcher *dispatch.Dispatcher, registry *membership.Registry) *dispatch.Controller {
	return dispatch.NewController(control, dispatcher, registry, time.Now)
}

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

func runPeers(lifecycle fx.Lifecycle, s *settings.Settings, network *peers.Network, soft *softState) error {
	listener, err := net.Listen("tcp", s.Instance.ListenPeer.String())
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "[instance] listen_peer")
	}
	background(lifecycle, func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		_ = network.Serve(ctx, listener, soft)
		network.Close()
	})
	return nil
}

// runReplica ends the process when its disk fails: a replica that cannot sync
// must not go on as if it had.
func runReplica(lifecycle fx.Lifecycle, control *replica.Replica, logger *logrus.Logger, shutdowner fx.Shutdowner) {
	background(lifecycle, func(ctx context.Context) {
		if err := control.Run(ctx); err != nil {
			f := failure.From(err)
			logger.WithField("code", f.Code).Error(f.Error())
			_ = shutdowner.Shutdown(fx.ExitCode(f.ExitCode()))
		}
	})
}

func runController(lifecycle fx.Lifecycle, controller *dispatch.Controller) {
	background(lifecycle, controller.Run)
}

func runSoftState(lifecycle fx.Lifecycle, soft *softState) {
	background(lifecycle, soft.run)
}

func runHTTP(lifecycle fx.Lifecycle, s *settings.Settings, server *httpapi.Server, logger *logrus.Logger) error {
	listener, err := net.Listen("tcp", s.Instance.ListenHTTP.String())
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "[instance] listen_http")
	}
	web := &http.Server{
		Handler:           server.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					logger.WithError(err).Error("http server ended")
				}
			}()
			logger.WithField("http", listener.Addr().String()).WithField("instance", s.Instance.Name).Info("started")
			return nil
		},
		OnStop: func(ctx context.Context) error {
			server.BeginStop()
			logger.Info("stopping")
			ctx, cancel := context.WithTimeout(ctx, s.Stop.Grace)
			defer cancel()
			return web.Shutdown(ctx)
		},
	})
	return nil
}
