// Package upstream speaks HTTP to workers and minions.
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
	dialTimeout = time.Second
	maxAnswer   = 1 << 20
	// idlePerUp bounds idle connections so that those of 9 instances, and one for
	// each of a minion's 8 slots in use, stay within the 60 that a minion takes.
	idlePerUp = 5
	// idleLife is short: a connection whose far end vanished without a word is
	// found out only by a request whose outcome is then unknown.
	idleLife       = 5 * time.Second
	commandTimeout = 5 * time.Second
)

var traffic = counted.NewCounters("upstream")

// Client sends commands to workers and requests to minions.
type Client struct {
	http *http.Client
}

// NewClient makes a client; it follows no redirect, for an upstream has none.
func NewClient(share connections.Share, logger *logrus.Logger) *Client {
	bounds := Connections{DialTimeout: dialTimeout, Idle: idlePerUp, IdleLife: idleLife, MostIdle: share.Idle}
	return &Client{http: NewHTTP(traffic, connections.NewGroup("upstream", share.Dialled, logger), bounds)}
}

// Connections bounds those to upstreams.
type Connections struct {
	DialTimeout time.Duration
	// Idle is how many are kept to one upstream, and IdleLife for how long.
	Idle     int
	IdleLife time.Duration
	// MostIdle is how many are kept to all of them.
	MostIdle int
}

// NewHTTP makes an HTTP client for upstreams, which send no redirects. Its connections
// stay within the group's bound.
func NewHTTP(counters counted.Counters, group *connections.Group, bounds Connections) *http.Client {
	dialer := &net.Dialer{Timeout: bounds.DialTimeout}
	transport := &http.Transport{
		MaxIdleConns:        bounds.MostIdle,
		MaxIdleConnsPerHost: bounds.Idle,
		IdleConnTimeout:     bounds.IdleLife,
		DisableCompression:  true,
	}
	transport.DialContext = group.Dialer(counters.Dialer(dialer.DialContext), transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Command sends one command to a worker.
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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

// sendFailure tells a connection that was never opened, which surely ran
// nothing, from everything later.
func sendFailure(err error, address string) *failure.Error {
	if unsent := NotSent(err, address); unsent != nil {
		return unsent
	}
	return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "send to %s", address)
}

func answerFailure(response *http.Response, text []byte, address string) *failure.Error {
	body := api.ErrorBody{}
	if json.Unmarshal(text, &body) == nil && body.Code != "" {
		return failure.Ran(body.Code, body.NotRun, nil, "%s says: %s", address, body.Message)
	}
	return failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "%s answers %s", address, response.Status)
}
