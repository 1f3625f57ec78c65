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

// Load is callers that send requests, give up, and send again elsewhere.
type Load struct {
	// Servers are the instances; any gets any call, as behind a balancer.
	Servers []string
	// Tokens are those of the customers.
	Tokens map[string]string
	// Once and Repeatable are services that are not and that are idempotent.
	Once, Repeatable string
	Requests         int
	Callers          int
	Seed             uint64
}

const (
	// maxTries bounds the calls for one request.
	maxTries = 12
	// callTime is what a patient caller gives one call.
	callTime = 4 * time.Second
	// shortTime bounds the wait of a caller that hangs up.
	shortTime = 30 * time.Millisecond
	retryWait = 100 * time.Millisecond
	// largeBody makes an answer that is streamed.
	largeBody = 200 << 10
)

// Run sends every request and gives what the callers were told.
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
				ledger.conclude(c.request, c.run(ctx))
			}
		})
	}
	group.Wait()
	return ledger
}

// caller pursues one request.
type caller struct {
	load    *Load
	ledger  *Ledger
	http    *http.Client
	rand    *rand.Rand
	request *request
}

func (c *caller) chance(percent int) bool { return c.rand.IntN(100) < percent }

func (c *caller) customer() string {
	names := slices.Sorted(maps.Keys(c.load.Tokens))
	return names[c.rand.IntN(len(names))]
}

// make invents a request: three in ten are idempotent; keys are the caller's own, ULIDs
// or left to the instance.
func (c *caller) make(number int64) *request {
	r := &request{nonce: fmt.Sprintf("nonce-%d-", number), customer: c.customer()}
	r.body = r.nonce + "ash"
	if c.chance(30) {
		r.service, r.idempotent = c.load.Repeatable, true
		if c.chance(10) {
			r.body = r.nonce + strings.Repeat("oak ", largeBody/4)
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

// run calls until there is an answer, or a last word, or it has tried often
// enough. Half of the refusals are taken as the last word.
func (c *caller) run(ctx context.Context) Verdict {
	keyGiven := c.request.key != ""
	for range maxTries {
		verdict := c.call(ctx)
		if verdict == Answered || verdict == Failed || (verdict == NotRun && (!keyGiven || c.chance(50))) {
			return verdict
		}
		if c.request.key == "" && !c.request.idempotent {
			// Without a key nothing can be asked or sent again.
			return Unknown
		}
		if verdict == Unknown && !c.request.idempotent && c.chance(30) && c.fetch(ctx) {
			return Answered
		}
		time.Sleep(time.Duration(c.rand.Int64N(int64(retryWait))))
	}
	return Unknown
}

func (c *caller) server() string { return c.load.Servers[c.rand.IntN(len(c.load.Servers))] }

// call sends the request once.
func (c *caller) call(ctx context.Context) Verdict {
	c.ledger.countCall()
	patience := callTime
	if c.chance(10) {
		patience = time.Duration(c.rand.Int64N(int64(shortTime)))
	}
	learned := &learnedKey{}
	ctx, cancel := context.WithTimeout(learned.watch(ctx), patience)
	defer cancel()
	path := strings.Replace(api.PathRequests, "{service}", c.request.service, 1)
	response, text, err := c.send(ctx, http.MethodPost, path, c.request.body, c.request.customer)
	if key := learned.key.Load(); key != nil {
		c.request.key = *key
	}
	if err != nil {
		return Unknown
	}
	return c.judge(response, text)
}

// learnedKey is the key that an instance makes, from its interim answer. The
// answer may come on the connection's goroutine after the caller has given up;
// the caller takes what has come by then.
type learnedKey struct{ key atomic.Pointer[string] }

func (l *learnedKey) watch(ctx context.Context) context.Context {
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

// fetch asks any instance for the answer, and now and then for a stranger.
func (c *caller) fetch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	path := strings.Replace(api.PathAnswer, "{key}", c.request.key, 1)
	for stranger := range c.load.Tokens {
		if stranger == c.request.customer {
			continue
		}
		response, _, err := c.send(ctx, http.MethodGet, path, "", stranger)
		if err == nil && response.StatusCode == http.StatusOK {
			c.ledger.strangerSaw(c.request)
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
