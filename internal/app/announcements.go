package app

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// announcements hands workers' announcements to the registry, which tells the
// leader.
type announcements struct {
	node     control.Node
	registry *membership.Registry
	logger   *logrus.Logger
	// self is this instance, and places are the connections that an instance accepts.
	self   string
	places int
	// workers is how many are live.
	workers atomic.Int64
	mu      sync.Mutex
	// refused holds the ids whose newest announcement named no worker.
	refused map[string]bool
}

// maxRefused bounds the ids that are remembered and so the lines on them: another
// writer may send a new one each time.
const maxRefused = 256

var announcementsRefused = expvar.NewInt("announcements_refused")

// Refused counts an announcement that names no worker, with a line for the first in
// an id's name. A worker that is known by that id stays as it is.
func (a *announcements) Refused(id string, reason error) {
	announcementsRefused.Add(1)
	a.mu.Lock()
	told := a.refused[id] || len(a.refused) >= maxRefused
	if !told {
		a.refused[id] = true
	}
	a.mu.Unlock()
	if told {
		return
	}
	_, known := a.registry.Get(id)
	a.logger.WithFields(logrus.Fields{"worker": clipped(id), "known": known, "reason": reason.Error()}).Warn("announcement names no worker")
}

// clipped bounds what another writer puts into a line.
func clipped(text string) string { return text[:min(len(text), maxLoggedID)] }

// maxLoggedID is room for any id of a worker.
const maxLoggedID = 64

func newAnnouncements(node control.Node, registry *membership.Registry, logger *logrus.Logger, self string, places int) *announcements {
	return &announcements{node: node, registry: registry, logger: logger, self: self, places: places, refused: map[string]bool{}}
}

// Announce refuses while this instance is cut off: a worker that says it leaves
// must be known to the leader soon after it was told that it is.
func (a *announcements) Announce(upstream *peerpb.Upstream) error {
	if err := a.node.Fresh(); err != nil {
		return err
	}
	a.workers.Store(int64(len(a.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER))))
	known, ok := a.registry.Get(upstream.Id)
	if !ok || known.Leaving != upstream.Leaving {
		a.logger.WithFields(logrus.Fields{"worker": upstream.Id, "address": upstream.Address, "leaving": upstream.Leaving, "version": upstream.Version}).Info("worker announced")
	}
	return a.registry.Merge(upstream)
}

// Depart notes the end of a worker, under a version beyond its announcements'.
func (a *announcements) Depart(id string) error {
	if err := a.node.Fresh(); err != nil {
		return err
	}
	a.logger.WithField("worker", id).Info("worker departed")
	known, ok := a.registry.Get(id)
	if !ok {
		return nil
	}
	departed := proto.CloneOf(known)
	departed.Leaving, departed.Departed = true, true
	departed.Version++
	departed.TtlMs = departedLife.Milliseconds()
	return a.registry.Merge(departed)
}

// departedLife is how long a departed worker is remembered, so that its runs are
// known to be over.
const departedLife = 10 * time.Second

// leaderPlaces is the part of an instance's places that all workers together may take at
// the leader: operators and workers that come anew need some, too.
const leaderPlaces = 2

// AnnounceTo names the leader, which then hears of workers at first hand, or this instance
// where the leader could not keep a connection to each: turned away there, they would come
// back and be sent there again, each time on a new connection.
func (a *announcements) AnnounceTo() string {
	if int(a.workers.Load())*leaderPlaces > a.places {
		return a.self
	}
	return a.node.Leader()
}
