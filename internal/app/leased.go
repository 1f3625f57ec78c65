package app

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/operators"
	"pinewinch.example/pinewinch/internal/coordination/workflows"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/admission"
	"pinewinch.example/pinewinch/internal/transport/arrivals"
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/counted"
	"pinewinch.example/pinewinch/internal/transport/metrics"
	"pinewinch.example/pinewinch/platform"
)

// leasedModule serves callers' workflows, operators' documents and workers whose
// leases the leader renews, if the settings enable it.
var leasedModule = fx.Module("leased", fx.Invoke(runLeased))

// leasedTraffic counts the bytes of callers, operators and announcing workers together.
var leasedTraffic = counted.NewCounters("leased")

func runLeased(lifecycle fx.Lifecycle, s *settings.Settings, node control.Node, registry *membership.Registry, evacuations *operators.Evacuations, allocation connections.Allocation, accepted *connections.Group, gates gates, failed *logFailed, logger *logrus.Logger) error {
	if s.LeaderLeases == nil {
		return nil
	}
	ignoreHangUp(lifecycle, logger)
	stopping := &atomic.Bool{}
	servers := []struct {
		address netip.AddrPort
		handler http.Handler
		// accepted limits the connections. It is nil for no limit, so that metrics are
		// served when callers have taken all connections.
		accepted *connections.Group
		gate     *admission.Gate
		// receiveBytes limits the kernel's receive buffers; 0 for its default, which
		// operators' documents of megabytes need.
		receiveBytes int
	}{
		{s.LeaderLeases.Control, platform.NewControlHandler(newAnnouncements(node, registry, logger, s.Instance.Name, allocation.Accepted), operators.NewService(node, logger), evacuations, s.LeaderLeases.Control, s.LeaderLeases.AnnounceEvery), accepted, gates.requests, 0},
		{s.LeaderLeases.Callers, platform.NewJobHandler(workflows.NewHandler(node, logger)), accepted, gates.requests, callerReceiveBytes},
		{s.LeaderLeases.Metrics, metrics.Handler(), nil, gates.metrics, callerReceiveBytes},
		{s.LeaderLeases.Readiness, platform.Readiness(func() error { return ready(node, stopping) }), accepted, gates.requests, callerReceiveBytes},
	}
	var running []*http.Server
	for _, server := range servers {
		if !server.address.IsValid() {
			continue
		}
		listener, err := listen(server.address, server.receiveBytes, logger)
		if err != nil {
			return err
		}
		running = append(running, startServer(listener, server.handler, server.accepted, server.gate, logger))
	}
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		logger.WithField("requests", "draining").Info("stop")
		stopping.Store(true)
		if s.LeaderLeases.Callers.IsValid() && !failed.Load() {
			control.Sleep(ctx, s.Stop.Notice)
		}
		grace, cancel := context.WithTimeout(ctx, s.Stop.Grace)
		defer cancel()
		for _, web := range running {
			if failed.Load() {
				web.Close()
				continue
			}
			if err := web.Shutdown(grace); err != nil {
				logger.WithField("reason", err.Error()).Warn("closing connections with requests in flight")
				web.Close()
			}
		}
	}))
	return nil
}

// ready returns an error while this instance could only refuse callers or is stopping.
func ready(node control.Node, stopping *atomic.Bool) error {
	if stopping.Load() {
		return failure.New(failure.NotReady, "the instance is stopping")
	}
	return workflows.CheckReady(node)
}

// startServer serves a listener in the background.
func startServer(listener net.Listener, handler http.Handler, accepted *connections.Group, gate *admission.Gate, logger *logrus.Logger) *http.Server {
	listener = leasedTraffic.Listener(arrivals.Listener(listener))
	if accepted != nil {
		listener = accepted.Listener(listener)
	}
	web := newServer(handler)
	go serve(web, gate.Serve(web, listener), logger)
	return web
}

// ignoreHangUp logs SIGHUP, the request to reload settings, which would end the process
// by default. No setting in effect can change while the process runs.
func ignoreHangUp(lifecycle fx.Lifecycle, logger *logrus.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	background(lifecycle, func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				logger.WithField("changed", "none of the settings in effect").Info("reload")
			}
		}
	})
}
