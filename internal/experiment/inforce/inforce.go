// Package inforce measures how long a change of the declarations takes from its acceptance
// until it is in force on every instance.
package inforce

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"pinewinch.example/pinewinch/internal/experiment/load"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// pollInterval is the time between two polls of an instance, and thus about the
	// largest error of a measured time, which is always too long.
	pollInterval = time.Millisecond
	// changeTimeout limits the wait for one change.
	changeTimeout     = 30 * time.Second
	significantDigits = 3
)

// Options configures one run: the base URLs of all instances, the number of changes and the
// least time between two of them.
type Options struct {
	Servers []string
	Changes int
	Every   time.Duration
}

// Report holds the measured times in microseconds, and the number of changes that failed.
type Report struct {
	// Accepted holds the times from sending a change to its response.
	Accepted *hdrhistogram.Histogram
	// Everywhere holds the times from the response until the last instance has the change.
	Everywhere *hdrhistogram.Histogram
	Failed     int
}

// Run applies changes one after another, each through the next instance. It returns an
// error if a change does not reach every instance within changeTimeout.
func Run(ctx context.Context, options Options, client *load.Client, changer *load.Changer) (*Report, error) {
	report := &Report{Accepted: newHistogram(), Everywhere: newHistogram()}
	ticker := time.NewTicker(options.Every)
	defer ticker.Stop()
	for number := range options.Changes {
		select {
		case <-ctx.Done():
			return report, nil
		case <-ticker.C:
		}
		sent := time.Now()
		if err := changer.Do(ctx, options.Servers[number%len(options.Servers)], number); err != nil {
			report.Failed++
			continue
		}
		accepted := time.Now()
		if err := waitForAll(ctx, client, options.Servers, changer.Revision()); err != nil {
			return report, err
		}
		_ = report.Accepted.RecordValue(accepted.Sub(sent).Microseconds())
		_ = report.Everywhere.RecordValue(time.Since(accepted).Microseconds())
	}
	return report, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, changeTimeout.Microseconds(), significantDigits)
}

// waitForAll waits until every instance has the revision.
func waitForAll(ctx context.Context, client *load.Client, servers []string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range servers {
		group.Go(func() error { return waitForRevision(ctx, client, server, revision) })
	}
	return group.Wait()
}

func waitForRevision(ctx context.Context, client *load.Client, server string, revision uint64) error {
	for {
		text, err := client.Call(ctx, http.MethodGet, server+api.PathStatus, "", nil)
		if err != nil {
			return err
		}
		status := api.Status{}
		if err := json.Unmarshal(text, &status); err != nil {
			return failure.Wrap(failure.WrongAnswer, err, "status of %s", server)
		}
		if status.Revision >= revision {
			return nil
		}
		time.Sleep(pollInterval)
	}
}
