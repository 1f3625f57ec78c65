package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// maxViewLifetime is the longest time for which readers see the same load and
	// usage.
	maxViewLifetime = time.Second
	// minViewLifetime keeps the view from being rebuilt for each expiry; an
	// upstream may be listed for that long after it expired.
	minViewLifetime = 50 * time.Millisecond
)

// view is an immutable list of the live upstreams, shared by all readers.
type view struct {
	// byKind holds the upstreams of each kind, sorted by id.
	byKind     map[peerpb.UpstreamKind][]*peerpb.Upstream
	validUntil time.Time
}

// Live lists the live upstreams of a kind, by id. Readers share the list and must
// not change it.
func (r *Registry) Live(kind peerpb.UpstreamKind) []*peerpb.Upstream {
	return r.current().byKind[kind]
}

// Get returns the live upstream with the id.
func (r *Registry) Get(id string) (*peerpb.Upstream, bool) {
	for _, list := range r.current().byKind {
		if at, found := findUpstream(list, id); found {
			return list[at], true
		}
	}
	return nil, false
}

// findUpstream returns the position of an id in a list sorted by id.
func findUpstream(list []*peerpb.Upstream, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(u *peerpb.Upstream, id string) int { return cmp.Compare(u.Id, id) })
}

func (r *Registry) current() *view {
	now := r.config.Now()
	if v := r.view.Load(); v != nil && !r.viewOutdated.Load() && now.Before(v.validUntil) {
		return v
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view.Load()
	switch {
	case v == nil || !now.Before(v.validUntil) || len(r.touched) > maxPatched:
		v = r.buildView(now)
	case len(r.touched) > 0:
		v = r.patchView(v, now)
	}
	clear(r.touched)
	r.viewOutdated.Store(false)
	r.view.Store(v)
	return v
}

// maxPatched is the number of changed upstreams up to which a view is patched. A patch
// copies the lists, which takes microseconds for thousands of upstreams; to merge and sort
// them takes milliseconds, too long for each announcement.
const maxPatched = 256

// touch marks an upstream whose entry in the view may have changed.
func (r *Registry) touch(id string) {
	r.touched[id] = true
	r.viewOutdated.Store(true)
}

// dropView has the view built anew.
func (r *Registry) dropView() { r.view.Store(nil) }

// patchView returns the view with the touched upstreams as they are now.
func (r *Registry) patchView(v *view, now time.Time) *view {
	patched := &view{byKind: make(map[peerpb.UpstreamKind][]*peerpb.Upstream, len(v.byKind)), validUntil: v.validUntil}
	for kind, list := range v.byKind {
		patched.byKind[kind] = slices.Clone(list)
	}
	for id := range r.touched {
		patched.set(id, r.liveVersion(id, now, &patched.validUntil))
	}
	return patched
}

// liveVersion returns the live version of one upstream, or nil, as buildView finds it. It
// moves validUntil forward to the upstream's expiry.
func (r *Registry) liveVersion(id string, now time.Time, validUntil *time.Time) *peerpb.Upstream {
	candidates := &merge{byID: map[string]*peerpb.Upstream{}, validUntil: *validUntil}
	if known := r.local.upstreams[id]; known != nil && now.Before(known.expires) {
		candidates.add(r.newest(id), known.upstream, known.expires, now)
	}
	for _, o := range r.origins {
		expires := o.lastContact.Add(r.config.OriginTTL)
		if upstream := o.upstreams[id]; upstream != nil && now.Before(expires) {
			candidates.add(r.newest(id), upstream, expires, now)
		}
	}
	*validUntil = candidates.validUntil
	return candidates.byID[id]
}

// set replaces the entry of an upstream; nil removes it. The lists must not be shared yet.
func (v *view) set(id string, upstream *peerpb.Upstream) {
	for kind, list := range v.byKind {
		if at, found := findUpstream(list, id); found && (upstream == nil || upstream.Kind != kind) {
			v.byKind[kind] = slices.Delete(list, at, at+1)
		}
	}
	if upstream == nil {
		return
	}
	list := v.byKind[upstream.Kind]
	at, found := findUpstream(list, id)
	if found {
		list[at] = upstream
		return
	}
	v.byKind[upstream.Kind] = slices.Insert(list, at, upstream)
}

// merge collects the live version of each upstream.
type merge struct {
	byID       map[string]*peerpb.Upstream
	validUntil time.Time
}

// buildView merges the upstreams that announce to this instance with those that live
// instances report: the newest version of each upstream wins, and the local one if
// the versions are equal.
func (r *Registry) buildView(now time.Time) *view {
	merged := &merge{byID: map[string]*peerpb.Upstream{}, validUntil: now.Add(maxViewLifetime)}
	for _, known := range r.local.upstreams {
		if now.Before(known.expires) {
			merged.add(r.newest(known.upstream.Id), known.upstream, known.expires, now)
		}
	}
	for _, o := range r.origins {
		expires := o.lastContact.Add(r.config.OriginTTL)
		if !now.Before(expires) {
			continue
		}
		for _, upstream := range o.upstreams {
			merged.add(r.newest(upstream.Id), upstream, expires, now)
		}
	}
	v := &view{byKind: map[peerpb.UpstreamKind][]*peerpb.Upstream{}, validUntil: merged.validUntil}
	for _, upstream := range merged.byID {
		v.byKind[upstream.Kind] = append(v.byKind[upstream.Kind], upstream)
	}
	for _, list := range v.byKind {
		slices.SortFunc(list, func(a, b *peerpb.Upstream) int { return cmp.Compare(a.Id, b.Id) })
	}
	return v
}

// add inserts an upstream unless it is superseded. The newest version may have been
// removed since, as when the upstream left: an older one must not become live again
// because another instance still reports it.
func (m *merge) add(newest, upstream *peerpb.Upstream, expires, now time.Time) {
	if superseded(upstream, newest) || superseded(upstream, m.byID[upstream.Id]) {
		return
	}
	if present, ok := m.byID[upstream.Id]; ok && !older(present, upstream) {
		return
	}
	m.byID[upstream.Id] = upstream
	if earliest := now.Add(minViewLifetime); expires.Before(earliest) {
		expires = earliest
	}
	if expires.Before(m.validUntil) {
		m.validUntil = expires
	}
}

// superseded reports whether by is newer than upstream and differs in incarnation or
// leaving. A newer version alone does not count: most announcements are only renewals
// and are not published, so the instances hold different versions of the same content.
func superseded(upstream, by *peerpb.Upstream) bool {
	if by == nil || !older(upstream, by) {
		return false
	}
	return upstream.Incarnation != by.Incarnation || upstream.Leaving != by.Leaving
}

// SetSelf sets the state that this instance reports of itself. It overwrites the
// incarnation and leaving in state, and clears ready while this instance is leaving.
// Watchers are not notified if only the applied index changed.
func (r *Registry) SetSelf(state *peerpb.InstanceState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state.Incarnation = r.config.Incarnation
	state.Leaving = r.leaving
	state.Ready = state.Ready && !r.leaving
	previous := proto.CloneOf(r.self)
	previous.Applied = state.Applied
	changed := !proto.Equal(previous, state)
	r.self = state
	if changed {
		r.notify()
	}
}

// Leave marks this instance as leaving, which cannot be undone.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	state := proto.CloneOf(r.self)
	state.Leaving, state.Ready = true, false
	r.self = state
	r.notify()
}

// Self returns the state that this instance last reported of itself.
func (r *Registry) Self() *peerpb.InstanceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// LastContact returns when an instance was last heard from, if this process ever has.
func (r *Registry) LastContact(instance string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origins[instance]
	if o == nil {
		return time.Time{}, false
	}
	return o.lastContact, true
}

// Instances lists this instance and those heard from within the window, by name.
func (r *Registry) Instances(window time.Duration) []*peerpb.InstanceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := []*peerpb.InstanceState{r.self}
	oldest := r.config.Now().Add(-window)
	for _, o := range r.origins {
		if o.state != nil && o.lastContact.After(oldest) {
			live = append(live, o.state)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.InstanceState) int { return cmp.Compare(a.Name, b.Name) })
	return live
}
