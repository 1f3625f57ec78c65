package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/transport/tlsfiles"
)

const (
	requestTimeout = 30 * time.Second
	// Backoff between rounds over the servers.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// apiCall is one call of the HTTP API.
type apiCall struct {
	method string
	path   string
	body   []byte
	header http.Header
	// idempotent calls may be sent again when their outcome is unknown: they only read,
	// or carry a key under which the system answers a resend with the first outcome.
	// All others are sent again only if they certainly did not run.
	idempotent bool
}

// client calls any of several instances.
type client struct {
	servers      []string
	token        string
	retryTimeout time.Duration
	http         *http.Client
}

func newClient(servers, token, authority string, retryTimeout time.Duration) (*client, error) {
	c := &client{token: token, retryTimeout: retryTimeout, http: &http.Client{Timeout: requestTimeout}}
	for _, server := range strings.Split(servers, ",") {
		server = strings.TrimSuffix(strings.TrimSpace(server), "/")
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		c.servers = append(c.servers, server)
	}
	if authority == "" {
		return c, nil
	}
	pool, err := tlsfiles.ReadAuthority(authority)
	if err != nil {
		return nil, err
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// send tries the servers in turn, and retries in rounds until the retry timeout, as
// long as a further attempt is safe. Once the outcome of an attempt was unknown, it stays
// unknown until a server answers: what a later server reports about its own attempt
// ("refused, not run") says nothing about the earlier one.
func (c *client) send(ctx context.Context, call *apiCall) ([]byte, error) {
	deadline := time.Now().Add(c.retryTimeout)
	var unknown *failure.Error
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		var last *failure.Error
		for range c.servers {
			text, err := c.sendOnce(ctx, call)
			if err == nil {
				return text, nil
			}
			last = failure.From(err)
			if last.NotRun != failure.NotRunTrue && transient(last) {
				unknown = last
			}
			if !mayRetry(call, last) {
				return nil, last
			}
			c.servers = append(c.servers[1:], c.servers[0])
		}
		if unknown != nil {
			last = unknown
		}
		if ctx.Err() != nil || time.Now().After(deadline) || (unknown == nil && last.Code == failure.Unreachable) {
			return nil, last
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(backoff, last.RetryAfter)):
		}
	}
}

// mayRetry reports whether another attempt is safe and could succeed.
func mayRetry(call *apiCall, f *failure.Error) bool {
	return transient(f) && (f.NotRun == failure.NotRunTrue || call.idempotent)
}

// transient reports whether the call could succeed at another instance or a moment
// later.
func transient(f *failure.Error) bool {
	switch f.Code {
	case failure.Unreachable, failure.NotReady, failure.StaleState, failure.NotLeader, failure.NoLeader,
		failure.OutcomeUnknown, failure.TruncatedAnswer:
		return true
	}
	return false
}

func (c *client) sendOnce(ctx context.Context, call *apiCall) ([]byte, error) {
	server := c.servers[0]
	request, err := http.NewRequestWithContext(ctx, call.method, server+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", server)
	}
	// The transport would retry some requests by itself. A body without GetBody cannot
	// be rewound, which leaves the decision to send.
	request.GetBody = nil
	for name, values := range call.header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classifySendError(err, server)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "%s %s at %s", call.method, call.path, server)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(response, text)
	}
	return text, nil
}

// classifySendError distinguishes a connection that was never opened, so that the call
// did not run, from a lost response.
func classifySendError(err error, server string) *failure.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.Unreachable, err, "dial %s", server)
	}
	return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "the answer of %s was lost", server)
}

func decodeError(response *http.Response, text []byte) error {
	body := api.ErrorBody{}
	if err := json.Unmarshal(text, &body); err != nil || body.Code == "" {
		return failure.Ran(failure.UpstreamFailed, failure.NotRunUnknown, nil, "%s: %s", response.Status, text)
	}
	return &failure.Error{
		Code:       body.Code,
		Message:    strings.TrimPrefix(body.Message, string(body.Code)+": "),
		NotRun:     body.NotRun,
		Revision:   body.Revision,
		RetryAfter: time.Duration(body.RetryAfterMs) * time.Millisecond,
	}
}
