package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// origin is another instance and the upstreams that it reports as live.
type origin struct {
	incarnation int64
	position    uint64
	lastContact time.Time
	state       *peerpb.InstanceState
	upstreams   map[string]*peerpb.Upstream
	// expired is set once nothing was received for OriginTTL: its upstreams no
	// longer count as live.
	expired bool
	// pendingSnapshot collects a full snapshot until its last batch; nil otherwise.
	pendingSnapshot map[string]*peerpb.Upstream
}

// Position returns the incarnation and sequence number up to which this registry
// has the changes of another instance, both 0 if it has none.
func (r *Registry) Position(name string) (incarnation int64, after uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origins[name]
	if o == nil {
		return 0, 0
	}
	return o.incarnation, o.position
}

// Receive applies a batch from another instance. The batch proves that the instance
// was alive at the time at, when the ping that it answers was sent. A batch that does
// not continue from the current position, or that updates a part of an unknown
// upstream, fails with wrong_answer, and one that exceeds the limit of upstreams with
// overloaded; the watcher then requests the changes again.
func (r *Registry) Receive(name string, batch *peerpb.SoftBatch, at time.Time) error {
	defer r.flushLog()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origin(name, batch)
	if !r.config.Now().Before(o.lastContact.Add(r.config.OriginTTL)) {
		// Its upstreams were left out and become live again.
		r.dropView()
	}
	if at.After(o.lastContact) {
		o.lastContact = at
	}
	if o.expired {
		o.expired = false
		r.pendingLog = append(r.pendingLog, logEntry{message: instanceReturned, instance: name, upstreams: len(o.upstreams)})
	}
	applyInstanceState(o, batch)
	if batch.Reset_ {
		snapshotsReceived.Add(1)
		o.pendingSnapshot = map[string]*peerpb.Upstream{}
		o.position = 0
	}
	if batch.From != o.position && batch.To != 0 {
		return failure.New(failure.WrongAnswer, "batch from %s starts at change %d, but this instance is at %d", name, batch.From, o.position)
	}
	if err := r.applyChanges(o, batch); err != nil {
		return err
	}
	r.applyRenewals(o, batch)
	return nil
}

// applyRenewals applies newer versions of otherwise unchanged upstreams. An unknown
// handle belongs to a change that has not arrived yet or to an upstream that has
// been removed.
func (r *Registry) applyRenewals(o *origin, batch *peerpb.SoftBatch) {
	if len(batch.Renewed) != len(batch.Versions) || len(batch.Renewed) == 0 {
		return
	}
	byHandle := make(map[uint32]*peerpb.Upstream, len(o.upstreams))
	for _, upstream := range o.upstreams {
		byHandle[upstream.Handle] = upstream
	}
	for i, handle := range batch.Renewed {
		known, ok := byHandle[handle]
		if !ok || batch.Versions[i] <= known.Version {
			continue
		}
		renewed := proto.CloneOf(known)
		renewed.Version = batch.Versions[i]
		o.upstreams[known.Id] = renewed
		r.touch(known.Id)
		r.recordNewest(renewed, r.config.Now())
	}
}

// origin returns the record of an instance, creating it if necessary. A new
// incarnation is another process under the same name: the upstreams reported by the
// previous one stay until the new one has sent a full snapshot or the previous
// reports expire.
func (r *Registry) origin(name string, batch *peerpb.SoftBatch) *origin {
	o := r.origins[name]
	if o == nil {
		instancesJoined.Add(1)
		o = &origin{upstreams: map[string]*peerpb.Upstream{}}
		r.origins[name] = o
	}
	if batch.Incarnation != 0 && batch.Incarnation != o.incarnation {
		if o.incarnation != 0 {
			instancesReplaced.Add(1)
		}
		o.incarnation = batch.Incarnation
		o.position = 0
		o.pendingSnapshot = map[string]*peerpb.Upstream{}
	}
	return o
}

// applyInstanceState stores the state that the instance reports of itself.
func applyInstanceState(o *origin, batch *peerpb.SoftBatch) {
	if batch.Instance != nil {
		o.state = batch.Instance
	}
	if batch.Progress != nil && o.state != nil {
		state := proto.CloneOf(o.state)
		state.Applied = batch.Progress.Applied
		state.Revision = batch.Progress.Revision
		state.Ready = batch.Progress.Ready
		state.Leaving = batch.Progress.Leaving
		state.LogRole = batch.Progress.LogRole
		o.state = state
	}
}

func (r *Registry) applyChanges(o *origin, batch *peerpb.SoftBatch) error {
	if batch.To == 0 && !batch.Reset_ {
		return nil
	}
	target := o.upstreams
	if o.pendingSnapshot != nil {
		target = o.pendingSnapshot
	}
	for _, upstream := range batch.Upstreams {
		if err := r.applyChange(target, upstream); err != nil {
			o.position = 0
			return err
		}
	}
	o.position = batch.To
	if batch.Complete && o.pendingSnapshot != nil {
		o.upstreams, o.pendingSnapshot = o.pendingSnapshot, nil
		r.dropView()
	}
	return nil
}

func (r *Registry) applyChange(target map[string]*peerpb.Upstream, upstream *peerpb.Upstream) error {
	r.touch(upstream.Id)
	if upstream.Gone {
		delete(target, upstream.Id)
		return nil
	}
	if upstream.Partial {
		full, ok := target[upstream.Id]
		if !ok {
			return failure.New(failure.WrongAnswer, "partial update of upstream %q without a preceding full one", upstream.Id)
		}
		upstream = applyPartial(full, upstream)
	}
	if _, ok := target[upstream.Id]; !ok && len(target) >= MaxLocalUpstreams {
		return failure.New(failure.Overloaded, "instance reports more than %d upstreams", MaxLocalUpstreams)
	}
	target[upstream.Id] = upstream
	r.recordNewest(upstream, r.config.Now())
	r.reconcile(upstream)
	return nil
}

// applyPartial returns the full upstream with the fields of a partial update.
func applyPartial(full, partial *peerpb.Upstream) *peerpb.Upstream {
	upstream := proto.CloneOf(full)
	upstream.Version = partial.Version
	upstream.Leaving = partial.Leaving
	upstream.Tasks = partial.Tasks
	upstream.Busy = partial.Busy
	return upstream
}

// reconcile compares an upstream reported by another instance with the local one.
// An upstream that has since announced itself there is removed here. One that has
// come back here is published again, even if its announcement equals the last one
// published here: the watchers have received the other instance's state in between.
func (r *Registry) reconcile(upstream *peerpb.Upstream) {
	known, ok := r.local.upstreams[upstream.Id]
	switch {
	case !ok:
	case older(known.upstream, upstream):
		r.queueLog(announcedElsewhere, known.upstream)
		r.local.remove(upstream.Id)
		r.notify()
	case older(known.published, upstream):
		r.local.publish(known, r.config.Now())
		r.notify()
	}
}

// expireOrigins marks instances that have not been heard from for OriginTTL as expired,
// and drops their upstreams once versionRetention has passed as well. The instances
// stay for listings; the configured peers limit their number.
func (r *Registry) expireOrigins(now time.Time) {
	for name, o := range r.origins {
		if sinceContact := now.Sub(o.lastContact); !o.expired && sinceContact >= r.config.OriginTTL {
			o.expired = true
			r.pendingLog = append(r.pendingLog, logEntry{message: instanceExpired, instance: name, upstreams: len(o.upstreams), sinceContact: sinceContact})
		}
		if len(o.upstreams) > 0 && now.Sub(o.lastContact) > max(r.config.OriginTTL, versionRetention) {
			o.upstreams = map[string]*peerpb.Upstream{}
			o.pendingSnapshot = map[string]*peerpb.Upstream{}
			o.position = 0
		}
	}
}
