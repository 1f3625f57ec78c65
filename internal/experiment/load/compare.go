package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Mode is one way to send the same work: the servers to call and the call.
type Mode struct {
	Name    string
	Servers []string
	Do      Do
}

// Direct sends requests of a service directly to a minion, without an instance in between.
func (c *Client) Direct(service string, body []byte) Do {
	return func(ctx context.Context, minion string, _ int) error {
		_, err := c.Call(ctx, http.MethodPost, minion+api.PathServe+service, "", body)
		return err
	}
}

// Compare sends the same load in each mode, alternating between the modes by rounds, so
// that other load on the machine affects all of them alike. It returns a report per mode.
func Compare(ctx context.Context, modes []Mode, perSecond float64, rounds int, round time.Duration) []*Report {
	reports := make([]*Report, len(modes))
	for range rounds {
		for i, mode := range modes {
			report := Run(ctx, Options{Servers: mode.Servers, Rate: perSecond, Over: round}, mode.Do)
			reports[i] = merge(reports[i], report)
		}
	}
	return reports
}

func merge(sum, report *Report) *Report {
	if sum == nil {
		return report
	}
	sum.Sent += report.Sent
	sum.Succeeded += report.Succeeded
	sum.Dropped += report.Dropped
	for code, count := range report.Refused {
		sum.Refused[code] += count
	}
	sum.Latency.Merge(report.Latency)
	return sum
}

// Saturate runs callers that send one request after another in each mode, alternating by
// rounds. It returns the answered requests per second of each mode.
func Saturate(ctx context.Context, modes []Mode, callers, rounds int, round time.Duration) []float64 {
	rates := make([]float64, len(modes))
	for range rounds {
		for i, mode := range modes {
			rates[i] += saturate(ctx, mode, callers, round) / float64(rounds)
		}
	}
	return rates
}

func saturate(ctx context.Context, mode Mode, callers int, round time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, round)
	defer cancel()
	var answered atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				if mode.Do(ctx, mode.Servers[caller%len(mode.Servers)], caller) == nil {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(answered.Load()) / round.Seconds()
}

// PrintComparison prints a line per mode, relative to the first mode.
func PrintComparison(w io.Writer, modes []Mode, reports []*Report, rates []float64) error {
	for i, mode := range modes {
		r, first := reports[i], reports[0]
		p50, base50 := quantile(r.Latency, 50), quantile(first.Latency, 50)
		p99, base99 := quantile(r.Latency, 99), quantile(first.Latency, 99)
		_, err := fmt.Fprintf(w, "%-12s %d of %d answered, refused %v; p50 %.0f us (%+.0f, %.2f times), p99 %.0f us (%+.0f, %.2f times); %.0f/s saturated (%.2f times)\n",
			mode.Name, r.Succeeded, r.Sent, r.Refused, p50, p50-base50, p50/base50, p99, p99-base99, p99/base99, rates[i], rates[i]/rates[0])
		if err != nil {
			return failure.Wrap(failure.Internal, err, "print")
		}
	}
	return nil
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) }
