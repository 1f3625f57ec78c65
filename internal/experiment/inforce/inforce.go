// Package inforce measures how long a change of the declarations takes from its
// acceptance until every instance has it.
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
	// lookEvery is the pause between two looks at one instance, and so about
	// how much too long a measured time can be.
	lookEvery = time.Millisecond
	// patience bounds the wait for one change.
	patience = 30 * time.Second
	digits   = 3
)

// Options of one run.
type Options struct {
	Servers []string
	Changes int
	Every   time.Duration
}

// Report holds times in microseconds.
type Report struct {
	// Accepted is from sending a change to its answer.
	Accepted *hdrhistogram.Histogram
	// Everywhere is from the answer until the last instance has the change.
	Everywhere *hdrhistogram.Histogram
	Failed     int
}

// Run applies changes one after another, each through the next instance.
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
		if err := everywhere(ctx, client, options.Servers, changer.Revision()); err != nil {
			return report, err
		}
		_ = report.Accepted.RecordValue(accepted.Sub(sent).Microseconds())
		_ = report.Everywhere.RecordValue(time.Since(accepted).Microseconds())
	}
	return report, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, patience.Microseconds(), digits)
}

// everywhere waits until each instance has the revision.
func everywhere(ctx context.Context, client *load.Client, servers []string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range servers {
		group.Go(func() error { return has(ctx, client, server, revision) })
	}
	return group.Wait()
}

func has(ctx context.Context, client *load.Client, server string, revision uint64) error {
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
		time.Sleep(lookEvery)
	}
}
