// Package standin holds small stand-ins for a worker and a minion. They speak
// only the published upstream protocol, and can be told to misbehave.
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
	// retryAnnounce is the pause before the next instance is tried.
	retryAnnounce = 100 * time.Millisecond
)

// announcer keeps an upstream known: it announces to one instance after
// another, until one answers that is not cut off, and again when the answer says so.
type announcer struct {
	path    string
	servers []string
	// token is the upstreams' token, where the instances want one.
	token string
	next  int
	// muted drops announcements and their answers, as a cut network does.
	muted atomic.Bool
	// only is the one server that can be reached; nil for all.
	only atomic.Pointer[string]
	// kick asks for an announcement now: a task ended.
	kick chan struct{}
}

func newAnnouncer(path string, servers []string, token string) *announcer {
	return &announcer{path: path, servers: servers, token: token, kick: make(chan struct{}, 1)}
}

func (a *announcer) hurry() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context, describe func() *api.Announcement, take func(*api.Announcement, *api.AnnounceReply)) {
	for {
		pause := retryAnnounce
		announcement := describe()
		if reply, err := a.once(ctx, announcement); err == nil && !a.muted.Load() {
			take(announcement, reply)
			pause = time.Duration(reply.NextMs) * time.Millisecond
			if reply.TryOther {
				a.turn()
			}
		} else {
			a.turn()
		}
		select {
		case <-ctx.Done():
			return
		case <-a.kick:
		case <-time.After(pause):
		}
	}
}

// turn makes the next instance the one that hears the upstream.
func (a *announcer) turn() { a.next = (a.next + 1) % len(a.servers) }

func (a *announcer) once(ctx context.Context, announcement *api.Announcement) (*api.AnnounceReply, error) {
	if a.muted.Load() {
		return nil, failure.New(failure.Unreachable, "cut off")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return nil, err
	}
	server := a.servers[a.next]
	if only := a.only.Load(); only != nil {
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
		return nil, failure.Ran(failure.UpstreamFailed, failure.NotRunUnknown, nil, "announcement answered %s", response.Status)
	}
	reply := &api.AnnounceReply{}
	return reply, json.NewDecoder(response.Body).Decode(reply)
}
