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

// A leader whose log has failed and that goes on for as long as a graceful stop takes,
// deciding nothing.
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
		t.Fatal("it waits for its callers")
	}
}
