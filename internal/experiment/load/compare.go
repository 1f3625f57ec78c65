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

// Way is one way to have the same work done.
type Way struct {
	Name    string
	Servers []string
	Do      Do
}

// Direct sends a request straight to a minion, with no instance in between.
func (c *Client) Direct(service string, body []byte) Do {
	return func(ctx context.Context, minion string, _ int) error {
		_, err := c.Call(ctx, http.MethodPost, minion+api.PathServe+service, "", body)
		return err
	}
}

// Compare sends the same load each way, in turns of a round each, so that what
// else the machine does falls on all of them alike.
func Compare(ctx context.Context, ways []Way, perSecond float64, rounds int, round time.Duration) []*Report {
	reports := make([]*Report, len(ways))
	for range rounds {
		for i, way := range ways {
			report := Run(ctx, Options{Servers: way.Servers, Rate: perSecond, Over: round}, way.Do)
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

// Saturate has callers send one request after another each way, in turns, and
// gives the requests answered a second.
func Saturate(ctx context.Context, ways []Way, callers, rounds int, round time.Duration) []float64 {
	rates := make([]float64, len(ways))
	for range rounds {
		for i, way := range ways {
			rates[i] += saturate(ctx, way, callers, round) / float64(rounds)
		}
	}
	return rates
}

func saturate(ctx context.Context, way Way, callers int, round time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, round)
	defer cancel()
	var answered atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				if way.Do(ctx, way.Servers[caller%len(way.Servers)], caller) == nil {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(answered.Load()) / round.Seconds()
}

// PrintComparison shows each way beside the first.
func PrintComparison(w io.Writer, ways []Way, reports []*Report, rates []float64) error {
	for i, way := range ways {
		r, first := reports[i], reports[0]
		p50, base50 := quantile(r.Latency, 50), quantile(first.Latency, 50)
		p99, base99 := quantile(r.Latency, 99), quantile(first.Latency, 99)
		_, err := fmt.Fprintf(w, "%-12s %d of %d answered, refused %v; p50 %.0f us (%+.0f, %.2f times), p99 %.0f us (%+.0f, %.2f times); %.0f/s saturated (%.2f times)\n",
			way.Name, r.Succeeded, r.Sent, r.Refused, p50, p50-base50, p50/base50, p99, p99-base99, p99/base99, rates[i], rates[i]/rates[0])
		if err != nil {
			return failure.Wrap(failure.Internal, err, "print")
		}
	}
	return nil
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) }
