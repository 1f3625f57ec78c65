// Package load sends work to running instances at a fixed rate and records the outcomes. It
// is an open loop: arrivals do not wait for responses, so that a slow system shows as
// latency and not as a lower rate.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// maxOutstanding limits the calls under way when the system is overloaded.
	maxOutstanding = 4096
	// The range in microseconds and the precision of recorded latencies.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Options configures one run: Rate is in arrivals per second, Over the length of the run.
type Options struct {
	Servers []string
	Token   string
	Rate    float64
	Over    time.Duration
}

// Report holds the outcomes of one run. Latency is in microseconds, of successful calls.
type Report struct {
	Sent      int
	Succeeded int
	// Refused counts failed calls by failure code.
	Refused map[failure.Code]int
	// Dropped counts arrivals that were not sent as maxOutstanding calls were under way.
	Dropped int
	Latency *hdrhistogram.Histogram
}

// Do sends one piece of work to a server; number is its index in the run, from 0.
type Do func(ctx context.Context, server string, number int) error

// Run sends work until the time is over, then waits for the outstanding calls.
func Run(ctx context.Context, options Options, do Do) *Report {
	r := &runner{
		report: &Report{
			Refused: map[failure.Code]int{},
			Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		},
		outstanding: make(chan struct{}, maxOutstanding),
	}
	limiter := rate.NewLimiter(rate.Limit(options.Rate), 1)
	arrivals, cancel := context.WithTimeout(ctx, options.Over)
	defer cancel()
	for number := 0; limiter.Wait(arrivals) == nil; number++ {
		server := options.Servers[number%len(options.Servers)]
		r.start(func() error { return do(ctx, server, number) })
	}
	r.wait.Wait()
	return r.report
}

type runner struct {
	wait        sync.WaitGroup
	outstanding chan struct{}
	mu          sync.Mutex
	report      *Report
}

func (r *runner) start(call func() error) {
	r.report.Sent++
	select {
	case r.outstanding <- struct{}{}:
	default:
		r.report.Dropped++
		return
	}
	r.wait.Go(func() {
		began := time.Now()
		err := call()
		r.record(time.Since(began), err)
		<-r.outstanding
	})
}

func (r *runner) record(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.report.Refused[failure.From(err).Code]++
		return
	}
	r.report.Succeeded++
	// Only a latency above two minutes is out of range; it is not recorded.
	_ = r.report.Latency.RecordValue(max(took.Microseconds(), minLatencyMicros))
}

// Print writes the report as text on one line.
func (r *Report) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, succeeded %d, dropped %d, refused %v, latency ms p50 %.2f p99 %.2f max %.2f\n",
		r.Sent, r.Succeeded, r.Dropped, r.Refused,
		millis(r.Latency.ValueAtQuantile(50)), millis(r.Latency.ValueAtQuantile(99)), millis(r.Latency.Max()))
	if err != nil {
		return failure.Wrap(failure.Internal, err, "print")
	}
	return nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Client sends calls of the project's HTTP API.
type Client struct {
	HTTP  *http.Client
	Token string
}

// NewClient returns a client that keeps up to maxOutstanding idle connections per server.
func NewClient(token string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOutstanding}
	return &Client{HTTP: &http.Client{Transport: transport}, Token: token}
}

// Call sends one call with an optional idempotency key. It returns the body of the response,
// or the failure that it carries as a *failure.Error.
func (c *Client) Call(ctx context.Context, method, url, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", url)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, failure.Ran(failure.Unreachable, failure.NotRunUnknown, err, "call %s", url)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "answer of %s", url)
	}
	if response.StatusCode < http.StatusBadRequest {
		return text, nil
	}
	refusal := api.ErrorBody{}
	if err := json.Unmarshal(text, &refusal); err != nil {
		return nil, failure.Ran(failure.WrongAnswer, failure.NotRunUnknown, err, "answer of %s", url)
	}
	return nil, &failure.Error{Code: refusal.Code, Message: refusal.Message, NotRun: refusal.NotRun, Revision: refusal.Revision}
}

// Requests sends requests of a service; if keyed, each carries an idempotency key of its
// own.
func (c *Client) Requests(service string, keyed bool, body []byte) Do {
	return func(ctx context.Context, server string, _ int) error {
		key := ""
		if keyed {
			key = ulid.Make().String()
		}
		_, err := c.Call(ctx, http.MethodPost, server+"/v1/requests/"+service, key, body)
		return err
	}
}

// Jobs submits jobs of a class of work.
func (c *Client) Jobs(class string) Do {
	return func(ctx context.Context, server string, _ int) error {
		body, err := json.Marshal(api.SubmitRequest{Key: ulid.Make().String(), WorkClass: class})
		if err != nil {
			return failure.Wrap(failure.Internal, err, "encode")
		}
		_, err = c.Call(ctx, http.MethodPost, server+api.PathJobs, "", body)
		return err
	}
}
