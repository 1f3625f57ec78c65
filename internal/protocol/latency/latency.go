// Package latency provides latency histograms that are published with the variables of
// package expvar.
package latency

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the upper limit of the histogram; longer durations are recorded as
	// maxRecorded.
	maxRecorded = time.Minute
	// significantDigits is the precision in decimal digits; with 2, a histogram takes
	// 40 KB.
	significantDigits = 2
)

// Histogram records durations with microsecond resolution. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// New creates a histogram and publishes it under the name, which must be unique in the
// process: expvar.Publish panics otherwise.
func New(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)}
	expvar.Publish(name, h)
	return h
}

// Record adds one duration; one longer than maxRecorded is recorded as maxRecorded.
func (h *Histogram) Record(took time.Duration) {
	microseconds := min(max(took.Microseconds(), 1), maxRecorded.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the histogram's limits, so RecordValue cannot fail.
	_ = h.values.RecordValue(microseconds)
}

// String returns the count, the quantiles and the maximum, in milliseconds, as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	const perMillisecond = 1000.0
	at := func(quantile float64) float64 { return float64(h.values.ValueAtQuantile(quantile)) / perMillisecond }
	return fmt.Sprintf(`{"count":%d,"p50_ms":%.3f,"p99_ms":%.3f,"max_ms":%.3f}`,
		h.values.TotalCount(), at(50), at(99), float64(h.values.Max())/perMillisecond)
}
