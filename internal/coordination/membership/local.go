package membership

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// minUsageInterval is the shortest time between two published updates of the
	// load and usage of one upstream; every other change is published at once.
	minUsageInterval = 5 * time.Second
	// usageIntervalPerUpstream lengthens that interval with the number of
	// upstreams that announce to this instance, so that usage costs at most two
	// updates a second in all: the update for a worker of ten tasks is about
	// 400 bytes and is sent to every instance.
	usageIntervalPerUpstream = 500 * time.Millisecond
)

// announceSpacing is the share of the announcement interval per upstream that
// announces to this instance: an instance receives at most fifty announcements a
// second, as long as the leases allow the resulting interval.
const announceSpacing = 20 * time.Millisecond

// AnnounceEvery returns the interval between the announcements of one upstream.
// It grows with the number of upstreams that announce to this instance, from
// configured up to most.
func (r *Registry) AnnounceEvery(configured, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	scaled := time.Duration(len(r.local.upstreams)) * announceSpacing
	return max(configured, min(scaled, most))
}

// localState holds the upstreams that announce to this instance directly, and
// their changes in the order of this instance's sequence.
type localState struct {
	upstreams map[string]*localUpstream
	// byChange has the upstreams in the order of their newest published change.
	byChange list.List
	sequence uint64
	removals []removal
	// discarded is the sequence of the newest removal that is no longer kept.
	discarded uint64
	// handle is the handle most recently assigned to an upstream.
	handle uint32
}

type localUpstream struct {
	upstream *peerpb.Upstream
	handle   uint32
	expires  time.Time
	// sequence is that of the newest published change, and fullSequence that of the
	// newest one that changed more than leaving, tasks and load.
	sequence     uint64
	fullSequence uint64
	// published is the upstream as watchers were last sent it.
	published   *peerpb.Upstream
	publishedAt time.Time
	// place is the upstream's place in byChange; nil before the first change.
	place *list.Element
}

type removal struct {
	id       string
	sequence uint64
}

// update stores an announcement and reports whether it was published to watchers.
func (s *localState) update(known *localUpstream, upstream *peerpb.Upstream, now time.Time) bool {
	known.upstream = upstream
	switch {
	case known.published == nil,
		!proto.Equal(staticFields(known.published), staticFields(upstream)),
		!proto.Equal(urgentFields(known.published), urgentFields(upstream)),
		now.Sub(known.publishedAt) >= s.usageInterval() && !proto.Equal(usageFields(known.published), usageFields(upstream)):
		s.publish(known, now)
		return true
	}
	return false
}

// publish makes the newest announcement a change for watchers.
func (s *localState) publish(known *localUpstream, now time.Time) {
	s.sequence++
	if known.published == nil || !proto.Equal(staticFields(known.published), staticFields(known.upstream)) {
		known.fullSequence = s.sequence
	}
	known.sequence = s.sequence
	known.published = known.upstream
	known.publishedAt = now
	if known.place == nil {
		known.place = s.byChange.PushBack(known)
		return
	}
	s.byChange.MoveToBack(known.place)
}

func (s *localState) usageInterval() time.Duration {
	return max(minUsageInterval, time.Duration(len(s.upstreams))*usageIntervalPerUpstream)
}

// staticFields returns the fields that do not change while an upstream runs.
func staticFields(u *peerpb.Upstream) *peerpb.Upstream {
	u = proto.CloneOf(u)
	u.Leaving, u.Version, u.Tasks, u.Busy, u.TtlMs = false, 0, nil, 0, 0
	return u
}

// urgentFields returns the fields that other instances base decisions on: leaving
// and the phases of tasks.
func urgentFields(u *peerpb.Upstream) *peerpb.Upstream {
	reduced := &peerpb.Upstream{Leaving: u.Leaving}
	for _, task := range u.Tasks {
		reduced.Tasks = append(reduced.Tasks, &peerpb.TaskReport{
			Job: task.Job, Task: task.Task, Epoch: task.Epoch, Phase: task.Phase, Code: task.Code,
		})
	}
	return reduced
}

// usageFields returns the remaining fields that change: load and usage.
func usageFields(u *peerpb.Upstream) *peerpb.Upstream {
	return &peerpb.Upstream{Busy: u.Busy, Tasks: u.Tasks}
}

// remove deletes an upstream and keeps its removal for watchers.
func (s *localState) remove(id string) {
	if known := s.upstreams[id]; known != nil && known.place != nil {
		s.byChange.Remove(known.place)
	}
	delete(s.upstreams, id)
	s.sequence++
	s.removals = append(s.removals, removal{id: id, sequence: s.sequence})
	if len(s.removals) > maxRemovals {
		s.discarded = s.removals[0].sequence
		s.removals = s.removals[1:]
	}
}

// change is one upstream or one removal to be sent to a watcher.
type change struct {
	sequence uint64
	upstream *peerpb.Upstream
}

// changesAfter lists the changes after a sequence number in their order. An
// upstream that the watcher lacks is ordered by its last full change, not by a
// later partial one: a batch may be split between the two, and a watcher that has
// passed only the first would then receive a partial update of an upstream that it
// does not have.
func (s *localState) changesAfter(sequence uint64) []change {
	var changes []change
	for place := s.byChange.Back(); place != nil; place = place.Prev() {
		known := place.Value.(*localUpstream)
		if known.sequence <= sequence {
			break
		}
		if known.fullSequence > sequence {
			changes = append(changes, change{known.fullSequence, known.full()})
			continue
		}
		changes = append(changes, change{known.sequence, known.partial()})
	}
	for _, removed := range slices.Backward(s.removals) {
		if removed.sequence <= sequence {
			break
		}
		changes = append(changes, change{removed.sequence, &peerpb.Upstream{Id: removed.id, Gone: true}})
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.sequence, b.sequence) })
	return changes
}

// full returns the full message for the upstream as last published.
func (u *localUpstream) full() *peerpb.Upstream {
	upstream := proto.CloneOf(u.published)
	upstream.TtlMs = 0
	upstream.Handle = u.handle
	return upstream
}

// partial returns only the fields that change while an upstream runs.
func (u *localUpstream) partial() *peerpb.Upstream {
	return &peerpb.Upstream{
		Id:      u.published.Id,
		Version: u.published.Version,
		Leaving: u.published.Leaving,
		Tasks:   u.published.Tasks,
		Busy:    u.published.Busy,
		Partial: true,
	}
}

// Changes returns the changes that a watcher lacks, given that it holds the changes
// of the incarnation up to sequence number after. The upstreams of a batch take
// about maxBytes at most, but a batch holds at least one. A watcher that holds
// nothing, or a position that this process cannot continue from, gets a full
// snapshot; so a restarted watcher need not wait for new announcements.
func (r *Registry) Changes(incarnation int64, after uint64, maxBytes int) *peerpb.SoftBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := &peerpb.SoftBatch{From: after}
	if incarnation != r.config.Incarnation || after == 0 || after > r.local.sequence || after < r.local.discarded {
		batch.From, batch.Reset_ = 0, true
	}
	batch.To = r.local.sequence
	size := 0
	for i, change := range r.local.changesAfter(batch.From) {
		size += proto.Size(change.upstream)
		if size > maxBytes && i > 0 {
			return batch
		}
		batch.Upstreams = append(batch.Upstreams, change.upstream)
		batch.To = change.sequence
	}
	batch.To = r.local.sequence
	batch.Complete = true
	return batch
}

// Renewals lists the upstreams whose newest announcement has a version other than
// the one recorded for their handle in sent, and records the new version there.
// Handles and versions are in the same order. It clears sent when that has become
// much larger than the number of upstreams; all versions are then listed again by
// the next call.
func (r *Registry) Renewals(sent map[uint32]uint64) (handles []uint32, versions []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.local.upstreams {
		if sent[known.handle] != known.upstream.Version {
			sent[known.handle] = known.upstream.Version
			handles = append(handles, known.handle)
			versions = append(versions, known.upstream.Version)
		}
	}
	if len(sent) > 2*len(r.local.upstreams)+maxRemovals {
		clear(sent)
	}
	return handles, versions
}
