// Package membership keeps the soft state about upstreams and instances: which
// upstreams have announced themselves, to which instance, and until when the
// announcement is valid. None of it is in the replicated log; after a restart it is
// rebuilt from announcements.
//
// An instance that receives an upstream's announcements directly reports the
// upstream to the other instances. It sends them only changes, in the order of its
// own sequence, and while it is alive everything that it has sent and not removed
// stays valid. Renewals therefore cost nothing between instances, however many
// upstreams there are. If nothing is received from an instance for Config.OriginTTL,
// all upstreams it reported expire; by then they have switched to another instance.
package membership

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Limits on what one instance keeps.
const (
	// MaxLocalUpstreams is the maximum number of upstreams that announce to one
	// instance.
	MaxLocalUpstreams = 8192
	// MaxUpstreamBytes is the maximum size of one upstream's encoded soft state.
	MaxUpstreamBytes = 64 << 10
	// maxRemovals is the maximum number of removals kept for watchers; a watcher
	// that is further behind gets a full snapshot.
	maxRemovals = 4096
	// versionRetention is how long the newest version of an upstream is remembered at least
	// after the upstream was last received, reported or live; older announcements that
	// arrive meanwhile are ignored.
	versionRetention = time.Minute
)

var (
	announcements     = expvar.NewInt("membership_announcements")
	changes           = expvar.NewInt("membership_changes")
	upstreamsExpired  = expvar.NewInt("membership_upstreams_gone")
	instancesJoined   = expvar.NewInt("membership_instances_joined")
	instancesReplaced = expvar.NewInt("membership_instances_replaced")
	snapshotsReceived = expvar.NewInt("membership_copies_received")
)

// Config configures a Registry.
type Config struct {
	// Self names this instance.
	Self string
	// Incarnation increases with each start of this instance.
	Incarnation int64
	// OriginTTL is how long the upstreams of an instance stay valid after it was
	// last heard from.
	OriginTTL time.Duration
	Now       func() time.Time
	// Logger gets an entry whenever the instance that reports an upstream changes;
	// nil for none.
	Logger *logrus.Logger
}

// Registry is one instance's view of upstreams and instances. It is safe for
// concurrent use.
type Registry struct {
	config   Config
	mu       sync.Mutex
	local    localState
	origins  map[string]*origin
	versions map[string]versionRecord
	self     *peerpb.InstanceState
	leaving  bool
	changed  chan struct{}
	view     atomic.Pointer[view]
	// touched holds the ids of upstreams whose entries in the view may have changed, and
	// viewOutdated is set while there are any.
	touched      map[string]bool
	viewOutdated atomic.Bool
	// pendingLog holds the log entries that are written after mu is released.
	pendingLog []logEntry
}

// versionRecord holds the newest version known of an upstream.
type versionRecord struct {
	newest      *peerpb.Upstream
	retainUntil time.Time
	// since is when the incarnation of the newest version became known.
	since time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:   config,
		local:    localState{upstreams: map[string]*localUpstream{}},
		origins:  map[string]*origin{},
		versions: map[string]versionRecord{},
		self:     &peerpb.InstanceState{Name: config.Self, Incarnation: config.Incarnation},
		changed:  make(chan struct{}),
		touched:  map[string]bool{},
	}
}

// Changed returns a channel that is closed at the next change for watchers.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify wakes the watchers' sessions.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Merge applies an announcement that an upstream sent to this instance. An
// announcement older than the newest known from any instance is ignored, so that
// delayed and reordered messages do no harm; in particular, none can undo that an
// upstream is leaving. It fails with too_large or overloaded where a limit of this
// instance is reached.
func (r *Registry) Merge(upstream *peerpb.Upstream) error {
	if proto.Size(upstream) > MaxUpstreamBytes {
		return failure.New(failure.TooLarge, "announcement exceeds %d bytes", MaxUpstreamBytes)
	}
	defer r.flushLog()
	r.mu.Lock()
	defer r.mu.Unlock()
	announcements.Add(1)
	now := r.config.Now()
	if r.outdated(upstream, now) {
		return nil
	}
	known, ok := r.local.upstreams[upstream.Id]
	if !ok {
		if len(r.local.upstreams) >= MaxLocalUpstreams {
			return failure.New(failure.Overloaded, "limit of %d upstreams that announce to this instance reached", MaxLocalUpstreams)
		}
		r.local.handle++
		known = &localUpstream{handle: r.local.handle}
		r.local.upstreams[upstream.Id] = known
		r.queueLog(announcedHere, upstream)
	}
	r.recordNewest(upstream, now)
	if !now.Before(known.expires) {
		r.touch(upstream.Id)
	}
	known.expires = now.Add(time.Duration(upstream.TtlMs) * time.Millisecond)
	if r.local.update(known, upstream, now) {
		changes.Add(1)
		r.touch(upstream.Id)
		r.notify()
	}
	return nil
}

// newest returns the newest version known of an upstream, from any instance, or nil.
func (r *Registry) newest(id string) *peerpb.Upstream { return r.versions[id].newest }

// recordNewest remembers an upstream's version if it is the newest known, and extends
// the retention.
func (r *Registry) recordNewest(upstream *peerpb.Upstream, now time.Time) {
	newest := upstream
	if r.outdated(upstream, now) {
		newest = r.newest(upstream.Id)
	}
	since := now
	if known := r.versions[upstream.Id]; known.newest.GetIncarnation() == newest.Incarnation {
		since = known.since
	}
	r.versions[upstream.Id] = versionRecord{newest: newest, retainUntil: now.Add(versionRetention), since: since}
}

// KnownSince returns since when the incarnation has been known as the upstream's newest; false if it is not.
func (r *Registry) KnownSince(id string, incarnation int64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.versions[id]
	return known.since, ok && known.newest.Incarnation == incarnation
}

// outdated reports whether a newer announcement of the upstream is known. The number of an
// incarnation may come from the upstream's time of day, which may have been set back before
// its latest start. A lower number is therefore outdated only while the incarnation with the
// higher one counts as live, or has just left.
func (r *Registry) outdated(upstream *peerpb.Upstream, now time.Time) bool {
	known := r.newest(upstream.Id)
	if known == nil || !older(upstream, known) {
		return false
	}
	return upstream.Incarnation == known.Incarnation || r.isLive(known, now)
}

// isLive reports whether the incarnation is announced here or reported by a live instance.
func (r *Registry) isLive(upstream *peerpb.Upstream, now time.Time) bool {
	if local := r.local.upstreams[upstream.Id]; local != nil && local.upstream.GetIncarnation() == upstream.Incarnation && now.Before(local.expires) {
		return true
	}
	for _, o := range r.origins {
		reported, ok := o.upstreams[upstream.Id]
		if ok && reported.Incarnation == upstream.Incarnation && now.Before(o.lastContact.Add(r.config.OriginTTL)) {
			return true
		}
	}
	return false
}

// older orders the announcements of one upstream by incarnation and version. A departure is the
// last of its incarnation, whatever its version: the instance that it reached may not have heard
// the newest announcement.
func older(a, b *peerpb.Upstream) bool {
	if b == nil {
		return false
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	if a.Departed != b.Departed {
		return b.Departed
	}
	return a.Version < b.Version
}

// Sweep removes what has expired. It must be called periodically.
func (r *Registry) Sweep() {
	defer r.flushLog()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	expired := 0
	for id, known := range r.local.upstreams {
		if !now.Before(known.expires) {
			r.queueLog(expiredHere, known.upstream)
			r.local.remove(id)
			r.touch(id)
			expired++
		}
	}
	for id, record := range r.versions {
		switch {
		case !now.After(record.retainUntil):
		case r.isLive(record.newest, now):
			record.retainUntil = now.Add(versionRetention)
			r.versions[id] = record
		default:
			delete(r.versions, id)
		}
	}
	r.expireOrigins(now)
	if expired > 0 {
		upstreamsExpired.Add(int64(expired))
		r.notify()
	}
}
