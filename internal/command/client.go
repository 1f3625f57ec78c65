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
	// Pauses between rounds over the servers.
	firstPause = 100 * time.Millisecond
	longPause  = time.Second
)

// exchange is one call of the interface.
type exchange struct {
	method string
	path   string
	body   []byte
	header http.Header
	// repeatable calls may be sent again when their outcome is unknown: reading,
	// or carrying a key under which the system answers a resend with the first
	// outcome. All others are sent again only if they surely did not run.
	repeatable bool
}

// client speaks to any of several instances.
type client struct {
	servers  []string
	token    string
	patience time.Duration
	http     *http.Client
}

func newClient(servers, token, authority string, patience time.Duration) (*client, error) {
	c := &client{token: token, patience: patience, http: &http.Client{Timeout: requestTimeout}}
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

// send tries the servers in turn, and again in rounds until the patience ends,
// as long as a further try is safe. An outcome that was unknown once stays so
// until an answer comes: what a later server says of its own try ("refused, not
// run") tells nothing of the earlier one.
func (c *client) send(ctx context.Context, e *exchange) ([]byte, error) {
	deadline := time.Now().Add(c.patience)
	var unknown *failure.Error
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		var last *failure.Error
		for range c.servers {
			text, err := c.once(ctx, e)
			if err == nil {
				return text, nil
			}
			last = failure.From(err)
			if last.NotRun != failure.NotRunTrue && transient(last) {
				unknown = last
			}
			if !mayRepeat(e, last) {
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
		case <-time.After(max(pause, last.RetryAfter)):
		}
	}
}

// mayRepeat tells whether another try is safe and could help.
func mayRepeat(e *exchange, f *failure.Error) bool {
	return transient(f) && (f.NotRun == failure.NotRunTrue || e.repeatable)
}

// transient failures can have gone at the next instance or a moment later.
func transient(f *failure.Error) bool {
	switch f.Code {
	case failure.Unreachable, failure.NotReady, failure.StaleState, failure.NotLeader, failure.NoLeader,
		failure.OutcomeUnknown, failure.TruncatedAnswer:
		return true
	}
	return false
}

func (c *client) once(ctx context.Context, e *exchange) ([]byte, error) {
	server := c.servers[0]
	request, err := http.NewRequestWithContext(ctx, e.method, server+e.path, bytes.NewReader(e.body))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", server)
	}
	// The transport would send some requests again by itself; a body that
	// cannot be rewound keeps the decision here.
	request.GetBody = nil
	for name, values := range e.header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendFailure(err, server)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "%s %s at %s", e.method, e.path, server)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(response, text)
	}
	return text, nil
}

// sendFailure tells a connection that never opened from a lost answer.
func sendFailure(err error, server string) *failure.Error {
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
