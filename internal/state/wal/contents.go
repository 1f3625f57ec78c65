package wal

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Contents is what a log contained when it was opened.
type Contents struct {
	HardState *consensuspb.HardState
	// Snapshot is the newest snapshot marker, or nil if there is none.
	Snapshot *consensuspb.SnapshotMeta
	// Entries are contiguous. They may begin before the snapshot.
	Entries []*consensuspb.Entry
}

// Empty reports whether nothing was ever written.
func (c *Contents) Empty() bool {
	return c.HardState == nil && c.Snapshot == nil && len(c.Entries) == 0
}

func (c *Contents) apply(record *consensuspb.LogRecord) error {
	if record.Hard != nil {
		c.HardState = record.Hard
	}
	if record.Snapshot != nil && !proto.Equal(record.Snapshot, c.Snapshot) {
		c.MarkSnapshot(record.Snapshot)
	}
	for _, entry := range record.Entries {
		if err := c.appendEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// MarkSnapshot has the same effect on the contents as Log.MarkSnapshot has on the log.
func (c *Contents) MarkSnapshot(meta *consensuspb.SnapshotMeta) {
	c.Snapshot = meta
	if c.replacedBy(meta) {
		c.Entries = nil
	}
}

// First returns the index of the oldest entry, or 0 if there are none.
func (c *Contents) First() uint64 {
	if len(c.Entries) == 0 {
		return 0
	}
	return c.Entries[0].Index
}

// Last returns the index of the newest entry, or 0 if there are none.
func (c *Contents) Last() uint64 {
	if len(c.Entries) == 0 {
		return 0
	}
	return c.Entries[len(c.Entries)-1].Index
}

// replacedBy reports whether the snapshot of a marker replaces the entries: its index is
// beyond them, or the entry at its index has another term. A marker before the first entry
// is of a local snapshot whose entries have been compacted since.
func (c *Contents) replacedBy(meta *consensuspb.SnapshotMeta) bool {
	if len(c.Entries) == 0 || meta.Index < c.Entries[0].Index {
		return false
	}
	at := meta.Index - c.Entries[0].Index
	return at >= uint64(len(c.Entries)) || c.Entries[at].Term != meta.Term
}

// appendEntry appends an entry, replacing the log from its index on. An entry below the
// first one replaces all entries: the segment with the earlier entries was compacted, and a
// snapshot marker follows.
func (c *Contents) appendEntry(entry *consensuspb.Entry) error {
	if len(c.Entries) == 0 || entry.Index < c.Entries[0].Index {
		c.Entries = append(c.Entries[:0], entry)
		return nil
	}
	first := c.Entries[0].Index
	if entry.Index > first+uint64(len(c.Entries)) {
		return failure.New(failure.Corrupt, "entry %d leaves a gap after entries %d to %d of the log",
			entry.Index, first, first+uint64(len(c.Entries))-1)
	}
	c.Entries = append(c.Entries[:entry.Index-first], entry)
	return nil
}

// checkReachesSnapshot fails with Corrupt if there is a gap between the snapshot and the
// first entry.
func (c *Contents) checkReachesSnapshot(dir string) error {
	if len(c.Entries) > 0 && c.Entries[0].Index > c.Snapshot.GetIndex()+1 {
		return failure.New(failure.Corrupt, "%s: gap in the log: it begins at entry %d and its snapshot ends at %d",
			dir, c.Entries[0].Index, c.Snapshot.GetIndex())
	}
	return nil
}
