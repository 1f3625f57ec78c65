package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// viewLife is the longest that readers see load and usage unchanged.
	viewLife = time.Second
	// viewGrain is how much longer than its time an upstream may be seen; it
	// keeps views from being built again for each expiry.
	viewGrain = 50 * time.Millisecond
)

// view is an immutable list of what stands, shared by all readers.
type view struct {
	byID   map[string]*peerpb.Upstream
	byKind map[peerpb.UpstreamKind][]*peerpb.Upstream
	until  time.Time
}

// Live lists the upstreams of a kind that stand, by id. Readers share the
// list and must not change it.
func (r *Registry) Live(kind peerpb.UpstreamKind) []*peerpb.Upstream {
	return r.current().byKind[kind]
}

// Get looks up an upstream that stands.
func (r *Registry) Get(id string) (*peerpb.Upstream, bool) {
	upstream, ok := r.current().byID[id]
	return upstream, ok
}

func (r *Registry) current() *view {
	now := r.config.Now()
	if v := r.view.Load(); v != nil && now.Before(v.until) {
		return v
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.build(now)
	r.view.Store(v)
	return v
}

// build merges what is heard first hand with what live instances vouch for:
// the newest version of each upstream wins, first hand where it is the same.
func (r *Registry) build(now time.Time) *view {
	v := &view{
		byID:   map[string]*peerpb.Upstream{},
		byKind: map[peerpb.UpstreamKind][]*peerpb.Upstream{},
		until:  now.Add(viewLife),
	}
	for _, known := range r.held.upstreams {
		if now.Before(known.expires) {
			v.add(r.newest(known.upstream.Id), known.upstream, known.expires, now)
		}
	}
	for _, o := range r.origins {
		expires := o.heard.Add(r.config.OriginTTL)
		if !now.Before(expires) {
			continue
		}
		for _, upstream := range o.upstreams {
			v.add(r.newest(upstream.Id), upstream, expires, now)
		}
	}
	for _, upstream := range v.byID {
		v.byKind[upstream.Kind] = append(v.byKind[upstream.Kind], upstream)
	}
	for _, list := range v.byKind {
		slices.SortFunc(list, func(a, b *peerpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
	}
	return v
}

// add takes an upstream unless newer news is known. The newest may have been
// taken back since, as by one that left: an older one must not come to life
// again because another instance still holds it.
func (v *view) add(newest, upstream *peerpb.Upstream, expires, now time.Time) {
	if surpassed(upstream, newest) || surpassed(upstream, v.byID[upstream.Id]) {
		return
	}
	if present, ok := v.byID[upstream.Id]; ok && !older(present, upstream) {
		return
	}
	v.byID[upstream.Id] = upstream
	if grain := now.Add(viewGrain); expires.Before(grain) {
		expires = grain
	}
	if expires.Before(v.until) {
		v.until = expires
	}
}

// surpassed tells news that differs from newer news in more than its version:
// most announcements only renew and are not passed on, so that the instances
// hold different versions of the same content.
func surpassed(upstream, by *peerpb.Upstream) bool {
	if by == nil || !older(upstream, by) {
		return false
	}
	return upstream.Incarnation != by.Incarnation || upstream.Leaving != by.Leaving
}

// SetSelf takes what this instance says of itself.
func (r *Registry) SetSelf(state *peerpb.InstanceState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state.Incarnation = r.config.Incarnation
	state.Leaving = r.leaving
	state.Ready = state.Ready && !r.leaving
	told := proto.CloneOf(r.self)
	told.Applied = state.Applied
	news := !proto.Equal(told, state)
	r.self = state
	if news {
		r.notify()
	}
}

// Leave makes this instance say that it stops; it stays said.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	state := proto.CloneOf(r.self)
	state.Leaving, state.Ready = true, false
	r.self = state
	r.notify()
}

// Self is what this instance last said of itself.
func (r *Registry) Self() *peerpb.InstanceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Instances lists this instance and those heard within the window, by name.
func (r *Registry) Instances(window time.Duration) []*peerpb.InstanceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := []*peerpb.InstanceState{r.self}
	oldest := r.config.Now().Add(-window)
	for _, o := range r.origins {
		if o.state != nil && o.heard.After(oldest) {
			live = append(live, o.state)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.InstanceState) int { return cmp.Compare(a.Name, b.Name) })
	return live
}
