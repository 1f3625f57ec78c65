// Package membership keeps the soft state about upstreams and instances: who
// announced itself, where, and until when that stands. Nothing here is in the
// log; it is rebuilt from announcements after a restart.
package membership

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Registry is one instance's view of upstreams. It is bounded: an upstream
// that stops announcing is dropped after its time to live.
type Registry struct {
	mu        sync.Mutex
	now       func() time.Time
	upstreams map[string]*known
	instances map[string]*knownInstance
	sequence  uint64
}

type known struct {
	upstream *peerpb.Upstream
	expires  time.Time
	// sequence orders local changes, for deltas.
	sequence uint64
}

type knownInstance struct {
	state *peerpb.InstanceState
	heard time.Time
}

// NewRegistry makes an empty registry.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, upstreams: map[string]*known{}, instances: map[string]*knownInstance{}}
}

// Merge takes an announcement, straight from the upstream or by way of another
// instance. Older news of the same incarnation is ignored, so that late and
// swapped messages do no harm.
func (r *Registry) Merge(upstream *peerpb.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.upstreams[upstream.Id]; ok && !newer(upstream, old.upstream) {
		return false
	}
	r.sequence++
	ttl := time.Duration(upstream.TtlMs) * time.Millisecond
	r.upstreams[upstream.Id] = &known{upstream: upstream, expires: r.now().Add(ttl), sequence: r.sequence}
	return true
}

func newer(a, b *peerpb.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// MergeInstance takes what an instance says of itself.
func (r *Registry) MergeInstance(state *peerpb.InstanceState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances[state.Name] = &knownInstance{state: state, heard: r.now()}
}

// Instances lists the instances heard within the window, by name.
func (r *Registry) Instances(window time.Duration) []*peerpb.InstanceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*peerpb.InstanceState
	oldest := r.now().Add(-window)
	for _, instance := range r.instances {
		if instance.heard.After(oldest) {
			live = append(live, instance.state)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Live lists the upstreams of a kind whose announcement stands, by id.
func (r *Registry) Live(kind peerpb.UpstreamKind) []*peerpb.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var live []*peerpb.Upstream
	for id, k := range r.upstreams {
		if !now.Before(k.expires) {
			delete(r.upstreams, id)
			continue
		}
		if k.upstream.Kind == kind {
			live = append(live, k.upstream)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Id < live[j].Id })
	return live
}

// Get looks up a live upstream.
func (r *Registry) Get(id string) (*peerpb.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.upstreams[id]
	if !ok || !r.now().Before(k.expires) {
		return nil, false
	}
	return k.upstream, true
}

// Delta gives what changed after the sequence, and the sequence to ask with
// next. Times to live shrink by the time an announcement has been held here.
func (r *Registry) Delta(after uint64) ([]*peerpb.Upstream, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var changed []*peerpb.Upstream
	for _, k := range r.upstreams {
		left := k.expires.Sub(now)
		if k.sequence <= after || left <= 0 {
			continue
		}
		upstream := proto.CloneOf(k.upstream)
		upstream.TtlMs = left.Milliseconds()
		changed = append(changed, upstream)
	}
	return changed, r.sequence
}
