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

// announcements passes workers' announcements to the registry, which forwards them
// to the leader.
type announcements struct {
	node     control.Node
	registry *membership.Registry
	logger   *logrus.Logger
	// self is the name of this instance.
	self string
	// maxConnections is how many connections an instance accepts.
	maxConnections int
	// workers is the number of live workers.
	workers atomic.Int64
	mu      sync.Mutex
	// refused holds the ids for which an invalid announcement has been logged.
	refused map[string]bool
}

// maxRefused limits the ids that are remembered, and so the log lines about them: a
// misbehaving client may send a new id each time.
const maxRefused = 256

var announcementsRefused = expvar.NewInt("announcements_refused")

// Refused counts an invalid announcement and logs the first one for each id. A worker
// already known by that id is left unchanged.
func (a *announcements) Refused(id string, reason error) {
	announcementsRefused.Add(1)
	a.mu.Lock()
	logged := a.refused[id] || len(a.refused) >= maxRefused
	if !logged {
		a.refused[id] = true
	}
	a.mu.Unlock()
	if logged {
		return
	}
	_, known := a.registry.Get(id)
	a.logger.WithFields(logrus.Fields{"worker": truncateID(id), "known": known, "reason": reason.Error()}).Warn("announcement names no worker")
}

// truncateID limits how much of an id that a client sent goes into the log.
func truncateID(text string) string { return text[:min(len(text), maxLoggedID)] }

// maxLoggedID is in bytes; every valid worker id fits.
const maxLoggedID = 64

func newAnnouncements(node control.Node, registry *membership.Registry, logger *logrus.Logger, self string, maxConnections int) *announcements {
	return &announcements{node: node, registry: registry, logger: logger, self: self, maxConnections: maxConnections, refused: map[string]bool{}}
}

// Announce fails while this instance is not fresh: a worker that announces its
// departure must be known to the leader as leaving soon after it gets the
// acknowledgement. It fails with bad_request if the announcement is another writer's.
func (a *announcements) Announce(upstream *peerpb.Upstream) error {
	if err := a.node.CheckFresh(); err != nil {
		return err
	}
	a.workers.Store(int64(len(a.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER))))
	known, ok := a.registry.Get(upstream.Id)
	if err := a.checkClaim(upstream, known); err != nil {
		a.Refused(upstream.Id, err)
		return err
	}
	if !ok || known.Leaving != upstream.Leaving || known.Incarnation != upstream.Incarnation {
		a.logger.WithFields(logrus.Fields{
			"worker": upstream.Id, "address": upstream.Address, "leaving": upstream.Leaving, "incarnation": upstream.Incarnation, "version": upstream.Version,
		}).Info("worker announced")
	}
	return a.registry.Merge(upstream)
}

// checkClaim fails if an announcement is not that of a worker. Until there are declarations, each
// service may be one.
func (a *announcements) checkClaim(upstream, known *peerpb.Upstream) error {
	state := a.node.State()
	declared := func(service string) bool {
		_, named := state.Service(service)
		return named || state.Document() == nil
	}
	return membership.CheckClaim(upstream, known, declared, a.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER))
}

// Departed records that an incarnation of a worker has departed, under a version higher
// than those of its announcements; 0 stands for the known one. A departure of another
// incarnation is late: the worker has started again since. It fails while this instance is
// not fresh.
func (a *announcements) Departed(id string, incarnation int64) error {
	if err := a.node.CheckFresh(); err != nil {
		return err
	}
	known, ok := a.registry.Get(id)
	late := ok && incarnation != 0 && incarnation != known.Incarnation
	a.logger.WithFields(logrus.Fields{"worker": id, "incarnation": incarnation, "late": late}).Info("worker departed")
	if !ok || late {
		return nil
	}
	departed := proto.CloneOf(known)
	departed.Leaving, departed.Departed = true, true
	departed.Version++
	departed.TtlMs = departedTTL.Milliseconds()
	return a.registry.Merge(departed)
}

// departedTTL is how long a departed worker stays in the registry, so that its runs
// are known to have ended.
const departedTTL = 10 * time.Second

// leaderConnectionsDivisor limits the connections that workers take at the leader to
// 1/leaderConnectionsDivisor of those it accepts: operators and workers that connect
// for the first time need connections, too.
const leaderConnectionsDivisor = 2

// AnnouncementTarget returns the instance that workers should announce themselves to: the leader,
// which then gets their announcements directly, or this instance where the leader could
// not accept a connection from each. Workers refused by the leader would come back and be
// redirected to it again, each time on a new connection.
func (a *announcements) AnnouncementTarget() string {
	if int(a.workers.Load())*leaderConnectionsDivisor > a.maxConnections {
		return a.self
	}
	return a.node.Leader()
}
