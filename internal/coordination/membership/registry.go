// Package membership keeps the soft state about upstreams and instances: who
// announced itself, where, and until when that stands. Nothing here is in the
// log; it is rebuilt from announcements after a restart.
//
// An instance that hears an upstream first hand vouches for it: it tells the
// others only what changed, in the order of its own sequence, and while it
// lives everything that it has told and not taken back stands. Renewals cost
// nothing that way, however many upstreams there are. When the instance is
// silent for Config.OriginTTL, all it vouched for goes; by then its upstreams
// have turned to another.
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

// Bounds of what one instance keeps.
const (
	// MaxHeld bounds the upstreams that one instance hears first hand.
	MaxHeld = 8192
	// MaxUpstreamBytes bounds one upstream's encoded soft state.
	MaxUpstreamBytes = 64 << 10
	// maxGone bounds the removals kept for watchers; one that is further
	// behind gets a whole copy.
	maxGone = 4096
	// floorLife is how long the newest version of an upstream is remembered
	// after the last news of it; older news that comes meanwhile is passed over.
	floorLife = time.Minute
)

var (
	announcements  = expvar.NewInt("membership_announcements")
	changes        = expvar.NewInt("membership_changes")
	upstreamsGone  = expvar.NewInt("membership_upstreams_gone")
	instancesMade  = expvar.NewInt("membership_instances_joined")
	instancesAnew  = expvar.NewInt("membership_instances_replaced")
	copiesReceived = expvar.NewInt("membership_copies_received")
)

// Config of a registry.
type Config struct {
	// Self names this instance.
	Self string
	// Incarnation grows with each start of this instance.
	Incarnation int64
	// OriginTTL is how long the upstreams of a silent instance stand.
	OriginTTL time.Duration
	Now       func() time.Time
	// Logger gets a line where it changes who vouches for an upstream; nil for none.
	Logger *logrus.Logger
}

// Registry is one instance's view of upstreams and instances.
type Registry struct {
	config  Config
	mu      sync.Mutex
	held    held
	origins map[string]*origin
	floors  map[string]floor
	self    *peerpb.InstanceState
	leaving bool
	changed chan struct{}
	view    atomic.Pointer[view]
	// lines wait to be written outside of the lock.
	lines []line
}

// floor is the newest version known of an upstream.
type floor struct {
	newest *peerpb.Upstream
	until  time.Time
}

// NewRegistry makes an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:  config,
		held:    held{upstreams: map[string]*heldUpstream{}},
		origins: map[string]*origin{},
		floors:  map[string]floor{},
		self:    &peerpb.InstanceState{Name: config.Self, Incarnation: config.Incarnation},
		changed: make(chan struct{}),
	}
}

// Changed gives a channel that is closed when there is news for watchers.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify wakes the watchers' sessions and the readers of the view.
func (r *Registry) notify() {
	r.view.Store(nil)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Merge takes an announcement, first hand from the upstream. Older news than
// what is known from anywhere is passed over, so that late and swapped messages
// do no harm: above all, nothing undoes that an upstream is leaving. It fails
// where a bound of this instance is reached.
func (r *Registry) Merge(upstream *peerpb.Upstream) error {
	if proto.Size(upstream) > MaxUpstreamBytes {
		return failure.New(failure.TooLarge, "an announcement of over %d bytes", MaxUpstreamBytes)
	}
	defer r.writeLines()
	r.mu.Lock()
	defer r.mu.Unlock()
	announcements.Add(1)
	if older(upstream, r.newest(upstream.Id)) {
		return nil
	}
	now := r.config.Now()
	known, ok := r.held.upstreams[upstream.Id]
	if !ok {
		if len(r.held.upstreams) >= MaxHeld {
			return failure.New(failure.Overloaded, "%d upstreams announce here already", MaxHeld)
		}
		r.held.handle++
		known = &heldUpstream{handle: r.held.handle}
		r.held.upstreams[upstream.Id] = known
		r.tell(heardHere, upstream)
	}
	r.raise(upstream, now)
	known.expires = now.Add(time.Duration(upstream.TtlMs) * time.Millisecond)
	if r.held.take(known, upstream, now) {
		changes.Add(1)
		r.notify()
	}
	return nil
}

// newest is the newest version known of an upstream, from anywhere, or nil.
func (r *Registry) newest(id string) *peerpb.Upstream { return r.floors[id].newest }

// raise remembers the newest version known.
func (r *Registry) raise(upstream *peerpb.Upstream, now time.Time) {
	newest := upstream
	if known := r.newest(upstream.Id); known != nil && older(upstream, known) {
		newest = known
	}
	r.floors[upstream.Id] = floor{newest: newest, until: now.Add(floorLife)}
}

// older orders the announcements of one upstream by incarnation and version.
func older(a, b *peerpb.Upstream) bool {
	if b == nil {
		return false
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Version < b.Version
}

// Sweep drops what has expired. It is called at a fixed pace.
func (r *Registry) Sweep() {
	defer r.writeLines()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	expired := 0
	for id, known := range r.held.upstreams {
		if !now.Before(known.expires) {
			r.tell(silentHere, known.upstream)
			r.held.drop(id)
			expired++
		}
	}
	for id, floor := range r.floors {
		if now.After(floor.until) {
			delete(r.floors, id)
		}
	}
	r.sweepOrigins(now)
	if expired > 0 {
		upstreamsGone.Add(int64(expired))
		r.notify()
	}
}
