package gangs

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	callTimeout   = 2 * time.Second
	retryInterval = 50 * time.Millisecond
)

// Client sends calls to the instances in turn, as a load balancer would, and retries at
// the next instance until there is an answer. It is safe for concurrent use.
type Client struct {
	// Servers are the base URLs of the instances.
	Servers []string
	next    atomic.Uint64
}

// Submit submits a job and retries until it is accepted; the same key gets the same job
// however often it is sent. It returns the error of a permanent refusal.
func (c *Client) Submit(ctx context.Context, token, class, key string) (*api.Job, error) {
	return c.retry(ctx, http.MethodPost, api.PathJobs, token, api.SubmitRequest{Key: key, WorkClass: class})
}

// Cancel cancels a job, with the retries of Submit.
func (c *Client) Cancel(ctx context.Context, token, id string) (*api.Job, error) {
	return c.retry(ctx, http.MethodDelete, jobPath(id), token, nil)
}

// Job returns a job, with the retries of Submit.
func (c *Client) Job(ctx context.Context, token, id string) (*api.Job, error) {
	return c.retry(ctx, http.MethodGet, jobPath(id), token, nil)
}

// Jobs lists all jobs known to the next instance, without retries.
func (c *Client) Jobs(ctx context.Context, token string) ([]api.Job, error) {
	var jobs []api.Job
	return jobs, c.call(ctx, http.MethodGet, api.PathJobs, token, nil, &jobs)
}

// Leader returns the current leader as the next instance knows it, without retries.
func (c *Client) Leader(ctx context.Context, token string) (string, error) {
	status := api.Status{}
	err := c.call(ctx, http.MethodGet, api.PathStatus, token, nil, &status)
	return status.Leader, err
}

func jobPath(id string) string { return strings.Replace(api.PathJob, "{id}", id, 1) }

func (c *Client) retry(ctx context.Context, method, path, token string, body any) (*api.Job, error) {
	for {
		job := &api.Job{}
		err := c.call(ctx, method, path, token, body, job)
		if err == nil {
			return job, nil
		}
		switch failure.From(err).Code {
		case failure.Infeasible, failure.BadRequest, failure.Conflict:
			return nil, err
		}
		if !control.Sleep(ctx, retryInterval) {
			return nil, err
		}
	}
}

func (c *Client) call(ctx context.Context, method, path, token string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "body")
	}
	server := c.Servers[c.next.Add(1)%uint64(len(c.Servers))]
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(text))
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return failure.Ran(failure.Unreachable, failure.NotRunUnknown, err, "%s", server)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
			return failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "%s", server)
		}
		return nil
	}
	refused := api.ErrorBody{}
	if err := json.NewDecoder(response.Body).Decode(&refused); err != nil {
		return failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "%s", server)
	}
	return failure.New(refused.Code, "%s", refused.Message)
}
