package conservation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Load generates requests of callers that time out and retry at other instances.
type Load struct {
	// Servers are the base URLs of the instances; each call goes to a random one, as behind
	// a load balancer.
	Servers []string
	// Tokens holds the token of each customer.
	Tokens map[string]string
	// Once is a service that is not idempotent, Repeatable an idempotent one.
	Once, Repeatable string
	Requests         int
	Callers          int
	Seed             uint64
}

const (
	// maxCalls limits the calls for one request.
	maxCalls = 12
	// callTimeout is the usual time-out of a call.
	callTimeout = 4 * time.Second
	// maxShortTimeout limits the time-out of the calls that are abandoned early.
	maxShortTimeout = 30 * time.Millisecond
	maxRetryWait    = 100 * time.Millisecond
	// largeBodyBytes is large enough for the answer to be streamed.
	largeBodyBytes = 200 << 10
)

// Run sends all requests and returns what the callers were told.
func (l *Load) Run(ctx context.Context) *Ledger {
	ledger := NewLedger()
	transport := &http.Transport{MaxIdleConnsPerHost: l.Callers, IdleConnTimeout: time.Second}
	defer transport.CloseIdleConnections()
	var next atomic.Int64
	var group sync.WaitGroup
	for range l.Callers {
		group.Go(func() {
			for number := next.Add(1); number <= int64(l.Requests) && ctx.Err() == nil; number = next.Add(1) {
				c := &caller{load: l, ledger: ledger, http: &http.Client{Transport: transport}}
				c.rand = rand.New(rand.NewPCG(l.Seed, uint64(number)))
				c.request = c.make(number)
				ledger.recordVerdict(c.request, c.run(ctx))
			}
		})
	}
	group.Wait()
	return ledger
}

// caller sends one request until it has a verdict.
type caller struct {
	load    *Load
	ledger  *Ledger
	http    *http.Client
	rand    *rand.Rand
	request *request
}

func (c *caller) withProbability(percent int) bool { return c.rand.IntN(100) < percent }

func (c *caller) customer() string {
	names := slices.Sorted(maps.Keys(c.load.Tokens))
	return names[c.rand.IntN(len(names))]
}

// make generates a request: three in ten are idempotent. The key of the others is a ULID, a
// string of the caller's own, or left to the instance.
func (c *caller) make(number int64) *request {
	r := &request{nonce: fmt.Sprintf("nonce-%d-", number), customer: c.customer()}
	r.body = r.nonce + "ash"
	if c.withProbability(30) {
		r.service, r.idempotent = c.load.Repeatable, true
		if c.withProbability(10) {
			r.body = r.nonce + strings.Repeat("oak ", largeBodyBytes/4)
		}
		return r
	}
	r.service = c.load.Once
	switch c.rand.IntN(3) {
	case 0:
		r.key = ulid.Make().String()
	case 1:
		r.key = fmt.Sprintf("order-%d", number)
	}
	return r
}

// run calls until there is an answer or another final verdict, at most maxCalls times. With
// a key of the caller's own, half of the refusals are final and the others are retried.
func (c *caller) run(ctx context.Context) Verdict {
	keyGiven := c.request.key != ""
	for range maxCalls {
		verdict := c.call(ctx)
		if verdict == Answered || verdict == Failed || (verdict == NotRun && (!keyGiven || c.withProbability(50))) {
			return verdict
		}
		if c.request.key == "" && !c.request.idempotent {
			// Without a key the answer can't be fetched nor the request sent again.
			return Unknown
		}
		if verdict == Unknown && !c.request.idempotent && c.withProbability(30) && c.fetch(ctx) {
			return Answered
		}
		time.Sleep(time.Duration(c.rand.Int64N(int64(maxRetryWait))))
	}
	return Unknown
}

func (c *caller) server() string { return c.load.Servers[c.rand.IntN(len(c.load.Servers))] }

// call sends the request once; one call in ten is abandoned early.
func (c *caller) call(ctx context.Context) Verdict {
	c.ledger.countCall()
	timeout := callTimeout
	if c.withProbability(10) {
		timeout = time.Duration(c.rand.Int64N(int64(maxShortTimeout)))
	}
	assigned := &assignedKey{}
	ctx, cancel := context.WithTimeout(assigned.withTrace(ctx), timeout)
	defer cancel()
	path := strings.Replace(api.PathRequests, "{service}", c.request.service, 1)
	response, text, err := c.send(ctx, http.MethodPost, path, c.request.body, c.request.customer)
	if key := assigned.key.Load(); key != nil {
		c.request.key = *key
	}
	if err != nil {
		return Unknown
	}
	return c.judge(response, text)
}

// assignedKey is the key that an instance assigns, read from its 1xx response. The response
// may arrive on the connection's goroutine after the caller has timed out; the caller uses
// what has arrived by then.
type assignedKey struct{ key atomic.Pointer[string] }

func (l *assignedKey) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if key := header.Get(api.HeaderKey); key != "" {
				l.key.Store(&key)
			}
			return nil
		},
	})
}

func (c *caller) judge(response *http.Response, text string) Verdict {
	if !c.request.idempotent && c.request.key == "" {
		c.request.key = response.Header.Get(api.HeaderKey)
	}
	if response.StatusCode == http.StatusOK {
		c.ledger.checkAnswer(c.request, text)
		return Answered
	}
	body := api.ErrorBody{}
	if json.Unmarshal([]byte(text), &body) != nil {
		return Unknown
	}
	switch {
	case body.NotRun == failure.NotRunTrue:
		return NotRun
	case body.NotRun == failure.NotRunFalse && !c.request.idempotent:
		return Failed
	}
	return Unknown
}

// fetch asks random instances for the answer, first with the tokens of all other customers,
// which must not get it, and then with the caller's own.
func (c *caller) fetch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := strings.Replace(api.PathAnswer, "{key}", c.request.key, 1)
	for otherCustomer := range c.load.Tokens {
		if otherCustomer == c.request.customer {
			continue
		}
		response, _, err := c.send(ctx, http.MethodGet, path, "", otherCustomer)
		if err == nil && response.StatusCode == http.StatusOK {
			c.ledger.recordForeignFetch(c.request)
		}
	}
	response, text, err := c.send(ctx, http.MethodGet, path, "", c.request.customer)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	c.ledger.checkAnswer(c.request, text)
	c.ledger.countFetched()
	return true
}

func (c *caller) send(ctx context.Context, method, path, body, customer string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.server()+path, strings.NewReader(body))
	if err != nil {
		return nil, "", failure.Wrap(failure.BadRequest, err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+c.load.Tokens[customer])
	if method == http.MethodPost && c.request.key != "" {
		request.Header.Set(api.HeaderKey, c.request.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		api.SetDeadline(request.Header, time.Until(deadline))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, "", failure.Ran(failure.Unreachable, failure.NotRunUnknown, err, "call")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, "", failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "answer")
	}
	return response, string(text), nil
}
