package app

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
)

// Guards against a leader whose log has failed and that keeps running for the length of
// a graceful stop without deciding anything.
func TestInstanceWithAFailedLogEndsAtOnce(t *testing.T) {
	failed := &logFailed{}
	failed.Store(true)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	stop := &gracefulStop{
		settings: settings.Stop{Notice: time.Hour, Grace: time.Hour},
		server:   &httpapi.Server{}, web: &http.Server{}, executor: claims.New(claims.Config{}, nil, nil, nil),
		logger: logger, failed: failed,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stop.run(t.Context())
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the stop waits for callers although the log has failed")
	}
}
