package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// origin is another instance and what it vouches for.
type origin struct {
	incarnation int64
	position    uint64
	heard       time.Time
	state       *peerpb.InstanceState
	upstreams   map[string]*peerpb.Upstream
	// silent tells that what it vouches for no longer stands.
	silent bool
	// copying gathers a whole copy until it is complete; nil outside one.
	copying map[string]*peerpb.Upstream
}

// Position is what this registry holds of another instance's changes.
func (r *Registry) Position(name string) (incarnation int64, after uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origins[name]
	if o == nil {
		return 0, 0
	}
	return o.incarnation, o.position
}

// Receive takes a batch from another instance. It holds at least from `at` on,
// which is when the ping left that the batch answers. A batch that does not
// continue what is held fails with wrong_answer; the watcher then asks again.
func (r *Registry) Receive(name string, batch *peerpb.SoftBatch, at time.Time) error {
	defer r.writeLines()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origin(name, batch)
	if at.After(o.heard) {
		o.heard = at
	}
	if o.silent {
		o.silent = false
		r.lines = append(r.lines, line{message: instanceBack, instance: name, upstreams: len(o.upstreams)})
	}
	known := describe(o, batch)
	if batch.Reset_ {
		copiesReceived.Add(1)
		o.copying = map[string]*peerpb.Upstream{}
		o.position = 0
	}
	if batch.From != o.position && batch.To != 0 {
		return failure.New(failure.WrongAnswer, "changes of %s from %d do not continue %d", name, batch.From, o.position)
	}
	if err := r.applyChanges(o, batch); err != nil {
		return err
	}
	r.renew(o, batch)
	if known || len(batch.Upstreams) > 0 || batch.Complete || len(batch.Renewed) > 0 {
		r.view.Store(nil)
	}
	return nil
}

// renew takes newer versions of upstreams that said nothing else. A handle that
// is not known belongs to a change that is still to come, or to one taken back.
func (r *Registry) renew(o *origin, batch *peerpb.SoftBatch) {
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
		r.raise(renewed, r.config.Now())
	}
}

// origin finds the instance's record. A new incarnation is another process
// under the same name; what the earlier one vouched for stands until the new
// one has told all it hears, or until its time runs out.
func (r *Registry) origin(name string, batch *peerpb.SoftBatch) *origin {
	o := r.origins[name]
	if o == nil {
		instancesMade.Add(1)
		o = &origin{upstreams: map[string]*peerpb.Upstream{}}
		r.origins[name] = o
	}
	if batch.Incarnation != 0 && batch.Incarnation != o.incarnation {
		if o.incarnation != 0 {
			instancesAnew.Add(1)
		}
		o.incarnation = batch.Incarnation
		o.position = 0
		o.copying = map[string]*peerpb.Upstream{}
	}
	return o
}

// describe keeps what the instance says of itself.
func describe(o *origin, batch *peerpb.SoftBatch) bool {
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
	return batch.Instance != nil || batch.Progress != nil
}

func (r *Registry) applyChanges(o *origin, batch *peerpb.SoftBatch) error {
	if batch.To == 0 && !batch.Reset_ {
		return nil
	}
	into := o.upstreams
	if o.copying != nil {
		into = o.copying
	}
	for _, upstream := range batch.Upstreams {
		if err := r.applyChange(into, upstream); err != nil {
			o.position = 0
			return err
		}
	}
	o.position = batch.To
	if batch.Complete && o.copying != nil {
		o.upstreams, o.copying = o.copying, nil
	}
	return nil
}

func (r *Registry) applyChange(into map[string]*peerpb.Upstream, upstream *peerpb.Upstream) error {
	if upstream.Gone {
		delete(into, upstream.Id)
		return nil
	}
	if upstream.Partial {
		whole, ok := into[upstream.Id]
		if !ok {
			return failure.New(failure.WrongAnswer, "a part of upstream %q without the whole", upstream.Id)
		}
		upstream = complete(whole, upstream)
	}
	if _, ok := into[upstream.Id]; !ok && len(into) >= MaxHeld {
		return failure.New(failure.Overloaded, "an instance vouches for over %d upstreams", MaxHeld)
	}
	into[upstream.Id] = upstream
	r.raise(upstream, r.config.Now())
	r.settleWith(upstream)
	return nil
}

// complete puts a partial change onto what it leaves out.
func complete(whole, partial *peerpb.Upstream) *peerpb.Upstream {
	upstream := proto.CloneOf(whole)
	upstream.Version = partial.Version
	upstream.Leaving = partial.Leaving
	upstream.Tasks = partial.Tasks
	upstream.Busy = partial.Busy
	return upstream
}

// settleWith compares what another instance vouches for with what is heard
// here. An upstream that has since announced itself there is let go. One that
// came back here is passed on again, even where it says what it last said here:
// the others have seen the other instance's news in between.
func (r *Registry) settleWith(upstream *peerpb.Upstream) {
	known, ok := r.held.upstreams[upstream.Id]
	switch {
	case !ok:
	case older(known.upstream, upstream):
		r.tell(heardElsewhere, known.upstream)
		r.held.drop(upstream.Id)
		r.notify()
	case older(known.passed, upstream):
		r.held.pass(known, r.config.Now())
		r.notify()
	}
}

// sweepOrigins forgets what instances vouched for that have long been silent;
// their names stay for lists, and are bounded by the settings' peers.
func (r *Registry) sweepOrigins(now time.Time) {
	for name, o := range r.origins {
		if silence := now.Sub(o.heard); !o.silent && silence >= r.config.OriginTTL {
			o.silent = true
			r.lines = append(r.lines, line{message: instanceSilent, instance: name, upstreams: len(o.upstreams), silence: silence})
		}
		if len(o.upstreams) > 0 && now.Sub(o.heard) > max(r.config.OriginTTL, floorLife) {
			o.upstreams = map[string]*peerpb.Upstream{}
			o.copying = map[string]*peerpb.Upstream{}
			o.position = 0
		}
	}
}
