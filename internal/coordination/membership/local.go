package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// minorEvery is how often load and usage of one upstream are passed on;
	// every other change is passed on at once.
	minorEvery = 5 * time.Second
	// minorPerUpstream stretches that where many upstreams announce here, so
	// that usage of all of them costs at most two updates a second: a worker of
	// ten tasks is about 400 bytes, and goes to every instance.
	minorPerUpstream = 500 * time.Millisecond
)

// announceShare is the part of the interval between announcements that each
// upstream heard here is given: at most fifty announcements a second reach one
// instance, as long as the leases allow the interval.
const announceShare = 20 * time.Millisecond

// AnnounceEvery stretches the interval between the announcements of one
// upstream with how many announce here, from the configured one up to most.
func (r *Registry) AnnounceEvery(configured, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	stretched := time.Duration(len(r.held.upstreams)) * announceShare
	return max(configured, min(stretched, most))
}

// held is what this instance hears first hand, with its changes in order.
type held struct {
	upstreams map[string]*heldUpstream
	sequence  uint64
	gone      []removal
	// forgotten is the newest removal that is no longer kept.
	forgotten uint64
	// handle is the newest given to an upstream.
	handle uint32
}

type heldUpstream struct {
	upstream *peerpb.Upstream
	handle   uint32
	expires  time.Time
	// sequence is that of the newest change passed on, whole that of the newest
	// change of more than leaving, tasks and load.
	sequence uint64
	whole    uint64
	// passed is the upstream as last passed on.
	passed   *peerpb.Upstream
	passedAt time.Time
}

type removal struct {
	id       string
	sequence uint64
}

// take keeps an announcement and tells whether it is passed on.
func (h *held) take(known *heldUpstream, upstream *peerpb.Upstream, now time.Time) bool {
	known.upstream = upstream
	switch {
	case known.passed == nil,
		!proto.Equal(fixed(known.passed), fixed(upstream)),
		!proto.Equal(urgent(known.passed), urgent(upstream)),
		now.Sub(known.passedAt) >= h.minorPause() && !proto.Equal(minor(known.passed), minor(upstream)):
		h.pass(known, now)
		return true
	}
	return false
}

// pass makes the newest announcement a change for watchers.
func (h *held) pass(known *heldUpstream, now time.Time) {
	h.sequence++
	if known.passed == nil || !proto.Equal(fixed(known.passed), fixed(known.upstream)) {
		known.whole = h.sequence
	}
	known.sequence = h.sequence
	known.passed = known.upstream
	known.passedAt = now
}

func (h *held) minorPause() time.Duration {
	return max(minorEvery, time.Duration(len(h.upstreams))*minorPerUpstream)
}

// fixed is what stays the same while an upstream runs.
func fixed(u *peerpb.Upstream) *peerpb.Upstream {
	u = proto.CloneOf(u)
	u.Leaving, u.Version, u.Tasks, u.Busy, u.TtlMs = false, 0, nil, 0, 0
	return u
}

// urgent is what others decide by: leaving and the phases of tasks.
func urgent(u *peerpb.Upstream) *peerpb.Upstream {
	reduced := &peerpb.Upstream{Leaving: u.Leaving}
	for _, task := range u.Tasks {
		reduced.Tasks = append(reduced.Tasks, &peerpb.TaskReport{
			Job: task.Job, Task: task.Task, Epoch: task.Epoch, Phase: task.Phase, Code: task.Code,
		})
	}
	return reduced
}

// minor is the rest that changes: load and usage.
func minor(u *peerpb.Upstream) *peerpb.Upstream {
	return &peerpb.Upstream{Busy: u.Busy, Tasks: u.Tasks}
}

// drop forgets an upstream and keeps its removal for watchers.
func (h *held) drop(id string) {
	delete(h.upstreams, id)
	h.sequence++
	h.gone = append(h.gone, removal{id: id, sequence: h.sequence})
	if len(h.gone) > maxGone {
		h.forgotten = h.gone[0].sequence
		h.gone = h.gone[1:]
	}
}

// change is one upstream or one removal on its way to a watcher.
type change struct {
	sequence uint64
	upstream *peerpb.Upstream
}

// after lists the changes after a sequence in their order. An upstream that the
// watcher lacks takes its place by the change that made it whole, not by a later
// one: a batch may be cut between the two, and the watcher, past the first, would
// then be sent a part of what it never had.
func (h *held) after(sequence uint64) []change {
	var changes []change
	for _, known := range h.upstreams {
		switch {
		case known.whole > sequence:
			changes = append(changes, change{known.whole, known.wire()})
		case known.sequence > sequence:
			changes = append(changes, change{known.sequence, known.partial()})
		}
	}
	for _, removed := range h.gone {
		if removed.sequence > sequence {
			changes = append(changes, change{removed.sequence, &peerpb.Upstream{Id: removed.id, Gone: true}})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.sequence, b.sequence) })
	return changes
}

// wire is the whole upstream as it is sent.
func (k *heldUpstream) wire() *peerpb.Upstream {
	whole := proto.CloneOf(k.passed)
	whole.TtlMs = 0
	whole.Handle = k.handle
	return whole
}

// partial is what changes while an upstream runs.
func (k *heldUpstream) partial() *peerpb.Upstream {
	return &peerpb.Upstream{
		Id:      k.passed.Id,
		Version: k.passed.Version,
		Leaving: k.passed.Leaving,
		Tasks:   k.passed.Tasks,
		Busy:    k.passed.Busy,
		Partial: true,
	}
}

// Changes gives what a watcher lacks that holds this instance's changes of that
// incarnation up to the sequence, in at most about maxBytes. A watcher that
// holds nothing, or something this process can't continue, gets a whole copy:
// so does one that has restarted, without waiting for new announcements.
func (r *Registry) Changes(incarnation int64, after uint64, maxBytes int) *peerpb.SoftBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := &peerpb.SoftBatch{From: after}
	if incarnation != r.config.Incarnation || after == 0 || after > r.held.sequence || after < r.held.forgotten {
		batch.From, batch.Reset_ = 0, true
	}
	batch.To = r.held.sequence
	size := 0
	for i, change := range r.held.after(batch.From) {
		size += proto.Size(change.upstream)
		if size > maxBytes && i > 0 {
			return batch
		}
		batch.Upstreams = append(batch.Upstreams, change.upstream)
		batch.To = change.sequence
	}
	batch.To = r.held.sequence
	batch.Complete = true
	return batch
}

// Renewals lists the upstreams whose newest announcement is later than the
// version that the watcher has by their handle, and notes it there.
func (r *Registry) Renewals(has map[uint32]uint64) (handles []uint32, versions []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.held.upstreams {
		if has[known.handle] != known.upstream.Version {
			has[known.handle] = known.upstream.Version
			handles = append(handles, known.handle)
			versions = append(versions, known.upstream.Version)
		}
	}
	if len(has) > 2*len(r.held.upstreams)+maxGone {
		clear(has)
	}
	return handles, versions
}
