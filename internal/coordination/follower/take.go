package follower

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// take applies one batch and confirms the state where the batch allows it.
func (f *Follower) take(l *link, batch *peerpb.FollowBatch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.describe(l, batch); err != nil {
		return err
	}
	if err := f.install(l, batch.Snapshot); err != nil {
		return err
	}
	if err := f.apply(batch.Entries); err != nil {
		return err
	}
	f.confirm(l, batch)
	return nil
}

// describe keeps what the source says of itself. A source that follows this
// instance is left: both would wait for each other.
func (f *Follower) describe(l *link, batch *peerpb.FollowBatch) error {
	if batch.Leader != "" {
		l.leader = batch.Leader
	}
	if len(batch.Path) > 0 {
		l.path = append(slices.Clone(batch.Path), f.config.Self.Name)
	}
	if slices.Contains(l.path[:max(0, len(l.path)-1)], f.config.Self.Name) {
		return failure.New(failure.NotReady, "%s follows this instance", l.source)
	}
	return nil
}

// install replaces the state by a newer snapshot. A source that is behind may
// send an older one; it is passed over, since a revision must never go back.
func (f *Follower) install(l *link, part *peerpb.SnapshotPart) error {
	if part == nil {
		return nil
	}
	snapshot, err := l.assembly.Add(part)
	if err != nil || snapshot == nil || snapshot.Index <= f.State().Index() {
		return err
	}
	if snapshot.Revision < f.State().Revision() {
		return failure.New(failure.WrongAnswer, "snapshot of revision %d after %d", snapshot.Revision, f.State().Revision())
	}
	snapshots.Add(1)
	state := store.Restore(snapshot)
	f.feed.Installed(state)
	f.published.Publish(state)
	return nil
}

// apply moves the state over the entries. Those already applied are passed
// over, for streams may overlap; a gap means that the source lost its place.
func (f *Follower) apply(entries []*peerpb.LogEntry) error {
	state := f.State()
	var applied []*peerpb.LogEntry
	for _, entry := range entries {
		if entry.Index <= state.Index() {
			continue
		}
		if entry.Index != state.Index()+1 {
			return failure.New(failure.WrongAnswer, "entry %d after %d", entry.Index, state.Index())
		}
		entry, err := feed.Unpack(entry)
		if err != nil {
			return err
		}
		if entry.Command != nil && !store.Understands(entry.Command) {
			return failure.New(failure.CommandTooNew, "command %d is of a newer process", entry.Index)
		}
		state, _ = control.Apply(state, entry)
		f.feed.Passed(state)
		applied = append(applied, entry)
	}
	if len(applied) > 0 {
		f.feed.Applied(applied...)
		f.published.Publish(state)
	}
	return nil
}

// confirm notes until when the state is known to be complete: `age` before the
// ping left that the batch answers. A state that lacks entries of the batch's
// commit is not confirmed by it. Only this process's clock is read, and no
// later confirmation is undone by an earlier one from another source.
func (f *Follower) confirm(l *link, batch *peerpb.FollowBatch) {
	sent, ok := l.pings.SentAt(batch.Echo)
	if !ok || f.State().Index() < batch.Commit {
		return
	}
	at := sent.Add(-time.Duration(batch.AgeMs) * time.Millisecond)
	if earlier := f.confirmed.Load(); earlier == nil || at.After(*earlier) {
		f.confirmed.Store(&at)
	}
	leader, path := l.leader, l.path
	if earlier := f.leader.Swap(&leader); *earlier != leader {
		f.leaderChanged.Raise()
	}
	f.path.Store(&path)
	l.confirm.Do(func() { close(l.confirmed) })
}
