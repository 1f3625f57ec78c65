package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Responses that take far longer than the time between arrivals must not slow down the
// arrivals: a closed loop would hide the overload that is to be measured.
func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := Options{Servers: []string{"a", "b"}, Rate: 100, Over: time.Second}
		report := Run(t.Context(), options, func(_ context.Context, server string, number int) error {
			time.Sleep(10 * time.Second)
			if server == "b" {
				return failure.New(failure.Overloaded, "full")
			}
			return nil
		})
		is.True(report.Sent >= 99 && report.Sent <= 101)
		is.Equal(report.Succeeded+report.Refused[failure.Overloaded], report.Sent)
		is.Equal(report.Latency.ValueAtQuantile(50)/1e6, int64(10))
	})
}
