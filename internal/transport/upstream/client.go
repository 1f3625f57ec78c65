// Package upstream is the HTTP client for workers and minions.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/transport/connections"
	"pinewinch.example/pinewinch/internal/transport/counted"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 1 << 20
	// maxIdlePerHost is chosen so that the idle connections of 9 instances, and one
	// connection for each of a minion's 8 slots in use, stay within the 60 connections
	// that a minion accepts.
	maxIdlePerHost = 5
	// idleTimeout is short, because a connection whose peer vanished without closing it
	// is detected only by a request, whose outcome is then unknown.
	idleTimeout    = 5 * time.Second
	commandTimeout = 5 * time.Second
)

var traffic = counted.NewCounters("upstream")

// Client sends commands to workers and requests to minions.
type Client struct {
	http *http.Client
}

// NewClient creates a client whose connections stay within the allocation. It does not follow
// redirects, which upstreams do not send. The logger may be nil.
func NewClient(allocation connections.Allocation, logger *logrus.Logger) *Client {
	limits := ConnectionLimits{DialTimeout: dialTimeout, MaxIdlePerHost: maxIdlePerHost, IdleTimeout: idleTimeout, MaxIdle: allocation.Idle}
	return &Client{http: NewHTTP(traffic, connections.NewGroup("upstream", allocation.Dialled, logger), limits)}
}

// ConnectionLimits limits the connections to upstreams.
type ConnectionLimits struct {
	DialTimeout time.Duration
	// MaxIdlePerHost is the maximum number of idle connections per upstream, and IdleTimeout
	// the time after which an idle connection is closed.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// MaxIdle is the maximum number of idle connections to all upstreams.
	MaxIdle int
}

// NewHTTP creates an HTTP client for upstreams. It does not follow redirects, and its
// connections stay within the limit of the group.
func NewHTTP(counters counted.Counters, group *connections.Group, limits ConnectionLimits) *http.Client {
	dialer := &net.Dialer{Timeout: limits.DialTimeout}
	transport := &http.Transport{
		MaxIdleConns:        limits.MaxIdle,
		MaxIdleConnsPerHost: limits.MaxIdlePerHost,
		IdleConnTimeout:     limits.IdleTimeout,
		DisableCompression:  true,
	}
	transport.DialContext = group.Dialer(counters.Dialer(dialer.DialContext), transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Command sends a command to a worker and returns its answer. The errors are failures
// that say whether the command may have run.
func (c *Client) Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendFailure(err, address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "answer of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, answerFailure(response, text, address)
	}
	answer := &api.TaskAnswer{}
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, failure.Ran(failure.WrongAnswer, failure.NotRunUnknown, err, "answer of %s", address)
	}
	return answer, nil
}

// sendFailure returns a failure that says that the command did not run if the connection
// was never opened, and one with an unknown outcome for any later error.
func sendFailure(err error, address string) *failure.Error {
	if unsent := DialFailure(err, address); unsent != nil {
		return unsent
	}
	return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "send to %s", address)
}

func answerFailure(response *http.Response, text []byte, address string) *failure.Error {
	body := api.ErrorBody{}
	if json.Unmarshal(text, &body) == nil && body.Code != "" {
		return failure.Ran(body.Code, body.NotRun, nil, "%s returned an error: %s", address, body.Message)
	}
	return failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "%s answers %s", address, response.Status)
}
