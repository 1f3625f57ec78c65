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

// applyBatch applies one batch and confirms the state if the batch permits it.
func (f *Follower) applyBatch(l *link, batch *peerpb.FollowBatch) error {
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

// describe records the leader and the path that the source reports. It fails if the
// source follows this instance, since neither would then reach a voter.
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

// install replaces the state by a newer snapshot. A lagging source may send an older
// one, which is ignored, since the revision must never decrease.
func (f *Follower) install(l *link, part *peerpb.SnapshotPart) error {
	if part == nil {
		return nil
	}
	snapshot, err := l.assembly.Add(part)
	if err != nil || snapshot == nil || snapshot.Index <= f.State().Index() {
		return err
	}
	if snapshot.Revision < f.State().Revision() {
		return failure.New(failure.WrongAnswer, "snapshot has revision %d, older than the current %d", snapshot.Revision, f.State().Revision())
	}
	snapshots.Add(1)
	state := store.Restore(snapshot)
	f.feed.SnapshotInstalled(state)
	f.published.Publish(state)
	return nil
}

// apply applies the entries. Those already applied are skipped, since streams may
// overlap. A gap means that the source lost track of this follower's position.
func (f *Follower) apply(entries []*peerpb.LogEntry) error {
	state := f.State()
	var applied []*peerpb.LogEntry
	var changes []int64
	for _, entry := range entries {
		if entry.Index <= state.Index() {
			continue
		}
		if entry.Index != state.Index()+1 {
			return failure.New(failure.WrongAnswer, "gap in the log: entry %d received after %d", entry.Index, state.Index())
		}
		entry, err := feed.Unpack(entry)
		if err != nil {
			return err
		}
		if entry.Command != nil && !store.Supports(entry.Command) {
			return failure.New(failure.CommandTooNew, "entry %d has a command of a newer version", entry.Index)
		}
		before := state.Revision()
		state, _ = control.Apply(state, entry)
		if state.Revision() != before {
			changes = append(changes, entry.Command.GetTimeMs())
		}
		f.feed.StateApplied(state)
		applied = append(applied, entry)
	}
	if len(applied) > 0 {
		f.feed.EntriesApplied(applied...)
		f.published.Publish(state)
		f.recordInForce(changes)
	}
	return nil
}

// recordInForce records how long ago the changes of the declarations that are in force now were
// proposed, by the leader's clock in ms since 1970. The changes that a start catches up with
// are left out.
func (f *Follower) recordInForce(changes []int64) {
	if f.confirmed.Load() == nil {
		return
	}
	for _, proposed := range changes {
		if proposed == 0 {
			continue
		}
		inForce.Record(time.Since(time.UnixMilli(proposed)))
	}
}

// confirm records the time up to which the state is known to be complete: `age` before
// the echoed ping was sent. A batch does not confirm a state that has not reached the
// batch's commit index. Only this process's clock is used, and an earlier confirmation
// from another source does not replace a later one.
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
