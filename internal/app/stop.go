package app

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
)

// abortTimeout is how long requests that are cancelled at the end of the grace period
// have to send the response that says so.
const abortTimeout = 2 * time.Second

// gracefulStop takes an instance out of service. The order matters: the instance must
// report that it is not ready before it refuses connections, and requests need the other
// instances and the log until the last outcome is recorded, so those stop after it.
type gracefulStop struct {
	settings settings.Stop
	server   *httpapi.Server
	web      *http.Server
	executor *claims.Executor
	logger   *logrus.Logger
	failed   *logFailed
}

// logFailed is set once this instance's log has failed. No response could be based on
// current state then, so the instance stops without waiting for callers and can be
// restarted sooner.
type logFailed struct{ atomic.Bool }

// run returns once no request is left. A second signal to the process ends the grace
// period at once: requests are cancelled with a typed error, as at its end.
func (g *gracefulStop) run(ctx context.Context) {
	g.server.BeginStop()
	g.logger.Info("stopping")
	if g.failed.Load() {
		g.executor.CancelRequests()
		g.web.Close()
		return
	}
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	control.Sleep(ctx, g.settings.Notice)
	grace, cancelGrace := context.WithTimeout(ctx, g.settings.Grace)
	defer cancelGrace()
	if g.web.Shutdown(grace) == nil {
		return
	}
	g.logger.Warn("grace period ended: cancelling requests in flight")
	g.executor.CancelRequests()
	last, cancelLast := context.WithTimeout(context.Background(), abortTimeout)
	defer cancelLast()
	if g.web.Shutdown(last) != nil {
		g.web.Close()
	}
}
