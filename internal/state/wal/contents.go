package wal

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Contents is what a log held when it was opened.
type Contents struct {
	Hard *consensuspb.HardState
	// Snapshot is the newest mark; nil where there is none.
	Snapshot *consensuspb.SnapshotMeta
	// Entries without a gap; they may begin before the mark.
	Entries []*consensuspb.Entry
}

// Empty tells whether nothing was ever written.
func (c *Contents) Empty() bool {
	return c.Hard == nil && c.Snapshot == nil && len(c.Entries) == 0
}

func (c *Contents) take(record *consensuspb.LogRecord) error {
	if record.Hard != nil {
		c.Hard = record.Hard
	}
	if record.Snapshot != nil && !proto.Equal(record.Snapshot, c.Snapshot) {
		c.Mark(record.Snapshot)
	}
	for _, entry := range record.Entries {
		if err := c.add(entry); err != nil {
			return err
		}
	}
	return nil
}

// Mark does to the contents what Log.Mark does to the log.
func (c *Contents) Mark(meta *consensuspb.SnapshotMeta) {
	c.Snapshot = meta
	if c.replacedBy(meta) {
		c.Entries = nil
	}
}

// First and Last are the indexes of the entries; 0 where there are none.
func (c *Contents) First() uint64 {
	if len(c.Entries) == 0 {
		return 0
	}
	return c.Entries[0].Index
}

// Last is the index of the newest entry.
func (c *Contents) Last() uint64 {
	if len(c.Entries) == 0 {
		return 0
	}
	return c.Entries[len(c.Entries)-1].Index
}

// replacedBy tells whether a marked snapshot replaces the entries: it lies
// beyond them, or they have another entry at its index. A mark before them is
// of a snapshot made here whose entries have been compacted since.
func (c *Contents) replacedBy(meta *consensuspb.SnapshotMeta) bool {
	if len(c.Entries) == 0 || meta.Index < c.Entries[0].Index {
		return false
	}
	at := meta.Index - c.Entries[0].Index
	return at >= uint64(len(c.Entries)) || c.Entries[at].Term != meta.Term
}

// add joins an entry to the log. One below the first replaces everything: the
// segment with the entries before was compacted, and a mark will follow.
func (c *Contents) add(entry *consensuspb.Entry) error {
	if len(c.Entries) == 0 || entry.Index < c.Entries[0].Index {
		c.Entries = append(c.Entries[:0], entry)
		return nil
	}
	first := c.Entries[0].Index
	if entry.Index > first+uint64(len(c.Entries)) {
		return failure.New(failure.Corrupt, "entry %d does not join the log of %d to %d",
			entry.Index, first, first+uint64(len(c.Entries))-1)
	}
	c.Entries = append(c.Entries[:entry.Index-first], entry)
	return nil
}

// check refuses a log that does not reach back to its snapshot.
func (c *Contents) check(folder string) error {
	if len(c.Entries) > 0 && c.Entries[0].Index > c.Snapshot.GetIndex()+1 {
		return failure.New(failure.Corrupt, "%s: the log begins at entry %d and its snapshot ends at %d",
			folder, c.Entries[0].Index, c.Snapshot.GetIndex())
	}
	return nil
}
