// Package standin implements stand-in workers and minions for tests. They use
// only the published upstream protocol and can be configured to misbehave.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	announceTimeout = 2 * time.Second
	// retryInterval is the delay before the next instance is tried.
	retryInterval = 100 * time.Millisecond
)

// announcer keeps an upstream registered. It announces to one instance at a time,
// at the interval that the reply gives, and switches to the next instance after an
// error or when the reply says that the instance is partitioned.
type announcer struct {
	path    string
	servers []string
	// token is the upstreams' token, if the instances require one.
	token string
	next  int
	// isolated drops announcements and replies, as a network partition does.
	isolated atomic.Bool
	// onlyServer is the only reachable server; nil if all are reachable.
	onlyServer atomic.Pointer[string]
	// wake requests an immediate announcement, for example when a task ended.
	wake chan struct{}
}

func newAnnouncer(path string, servers []string, token string) *announcer {
	return &announcer{path: path, servers: servers, token: token, wake: make(chan struct{}, 1)}
}

func (a *announcer) announceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context, describe func() *api.Announcement, handle func(*api.Announcement, *api.AnnounceReply)) {
	for {
		pause := retryInterval
		announcement := describe()
		if reply, err := a.announce(ctx, announcement); err == nil && !a.isolated.Load() {
			handle(announcement, reply)
			pause = time.Duration(reply.NextMs) * time.Millisecond
			if reply.TryOther {
				a.switchServer()
			}
		} else {
			a.switchServer()
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-time.After(pause):
		}
	}
}

// switchServer makes the next instance the one that receives announcements.
func (a *announcer) switchServer() { a.next = (a.next + 1) % len(a.servers) }

func (a *announcer) announce(ctx context.Context, announcement *api.Announcement) (*api.AnnounceReply, error) {
	if a.isolated.Load() {
		return nil, failure.New(failure.Unreachable, "the upstream is isolated")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return nil, err
	}
	server := a.servers[a.next]
	if only := a.onlyServer.Load(); only != nil {
		server = *only
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server+a.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+a.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, failure.Ran(failure.UpstreamFailed, failure.NotRunUnknown, nil, "announcement failed with status %s", response.Status)
	}
	reply := &api.AnnounceReply{}
	return reply, json.NewDecoder(response.Body).Decode(reply)
}
