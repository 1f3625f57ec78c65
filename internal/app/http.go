package app

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/operators"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/admission"
	"pinewinch.example/pinewinch/internal/transport/arrivals"
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/counted"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
	"pinewinch.example/pinewinch/internal/transport/tlsfiles"
)

var httpModule = fx.Module("http",
	fx.Provide(httpapi.New, newEvacuations),
	fx.Invoke(runHTTP, runLeave),
)

// newEvacuations returns the service of operators' orders, which both HTTP interfaces share.
func newEvacuations(s *settings.Settings, node control.Log, registry *membership.Registry, logger *logrus.Logger) *operators.Evacuations {
	return operators.NewEvacuations(operators.EvacuationConfig{
		ResendWindow:   s.Control.OrderResendWindow,
		DataCentres:    s.Control.DataCentres,
		SettleTime:     api.MaxMissedAnnouncements*s.Upstreams.AnnounceEvery + livenessWindow,
		InstanceWindow: livenessWindow,
		Now:            time.Now,
	}, node, registry, logger)
}

// Timeouts of the HTTP server: a client that sends or reads slowly must not
// hold a connection forever.
const (
	readHeaderTimeout = admission.DefaultHeadTimeout
	readTimeout       = 30 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
)

// traffic counts the bytes of callers, operators and announcing upstreams together.
var traffic = counted.NewCounters("http")

func runHTTP(lifecycle fx.Lifecycle, s *settings.Settings, server *httpapi.Server, executor *claims.Executor, allocation connections.Allocation, accepted *connections.Group, gates gates, failed *logFailed, logger *logrus.Logger) error {
	listener, err := net.Listen("tcp", s.Instance.ListenHTTP.String())
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "[instance] listen_http")
	}
	listener = accepted.Listener(traffic.Listener(arrivals.Listener(listener)))
	if s.TLS.Certificate != "" {
		source, err := tlsfiles.Open(tlsfiles.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key}, time.Now)
		if err != nil {
			return err
		}
		listener = tls.NewListener(listener, source.Server())
	}
	web := newServer(server.Handler())
	listener = gates.requests.Serve(web, listener)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go serve(web, listener, logger)
			logger.WithFields(effectiveSettings(s, allocation, listener.Addr().String())).Info("process started")
			return nil
		},
		OnStop: func(ctx context.Context) error {
			stop := &gracefulStop{settings: s.Stop, server: server, web: web, executor: executor, logger: logger, failed: failed}
			stop.run(ctx)
			return nil
		},
	})
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           arrivals.Handler(handler),
		ConnContext:       arrivals.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// serve runs the server until it is shut down, and logs any other end.
func serve(web *http.Server, listener net.Listener, logger *logrus.Logger) {
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.WithField("reason", err.Error()).Error("http server failed")
	}
}

// effectiveSettings returns the settings in effect, as fields for the log.
func effectiveSettings(s *settings.Settings, allocation connections.Allocation, address string) logrus.Fields {
	fields := logrus.Fields{
		"instance":            s.Instance.Name,
		"http":                address,
		"data_centre":         s.Instance.DataCentre,
		"data_folder":         s.Instance.DataFolder,
		"seeds":               s.Control.SeedInstances(),
		"tolerated":           s.Control.ToleratedFailures,
		"freshness_bound_ms":  s.Control.FreshnessBound.Milliseconds(),
		"election_timeout_ms": s.Control.ElectionTimeout.Milliseconds(),
		"lease_ms":            s.Upstreams.Lease.Milliseconds(),
		"announce_every_ms":   s.Upstreams.AnnounceEvery.Milliseconds(),
		"grace_ms":            s.Stop.Grace.Milliseconds(),
		"descriptors":         allocation.Descriptors,
		"most_dialled":        allocation.Dialled,
		"most_accepted":       allocation.Accepted,
	}
	if s.LeaderLeases != nil {
		fields["metrics"] = s.LeaderLeases.Metrics.String()
	}
	return fields
}
