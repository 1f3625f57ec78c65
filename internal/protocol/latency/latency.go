// Package latency keeps histograms of how long things took, published beside the
// counters of package expvar.
package latency

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the longest time that is told apart from longer ones.
	longest = time.Minute
	// digits of precision; two keep a histogram at 40 KB.
	digits = 2
)

// Histogram is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// New publishes a histogram under the name, which no other may have.
func New(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(1, longest.Microseconds(), digits)}
	expvar.Publish(name, h)
	return h
}

// Record takes one time in; one beyond longest counts as longest.
func (h *Histogram) Record(took time.Duration) {
	microseconds := min(max(took.Microseconds(), 1), longest.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	// The bounds above are the histogram's own.
	_ = h.values.RecordValue(microseconds)
}

// String gives count and quantiles in ms as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	const perMillisecond = 1000.0
	at := func(quantile float64) float64 { return float64(h.values.ValueAtQuantile(quantile)) / perMillisecond }
	return fmt.Sprintf(`{"count":%d,"p50_ms":%.3f,"p99_ms":%.3f,"max_ms":%.3f}`,
		h.values.TotalCount(), at(50), at(99), float64(h.values.Max())/perMillisecond)
}
