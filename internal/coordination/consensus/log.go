package consensus

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// entryLog is the in-memory log: all entries after the compacted base. Slices that were
// returned to the driver are never modified.
type entryLog struct {
	base     uint64 // index of the newest compacted entry
	baseTerm uint64
	entries  []*consensuspb.Entry
	emitted  uint64 // newest index returned in Ready.Entries
	durable  uint64 // newest index that was synced to disk
	commit   uint64
	applied  uint64 // newest index returned in Ready.Committed
}

func newEntryLog(recovered Recovered) entryLog {
	l := entryLog{
		base:     recovered.Snapshot.GetIndex(),
		baseTerm: recovered.Snapshot.GetTerm(),
	}
	for _, entry := range recovered.Entries {
		// After the installation of a snapshot the disk may still contain the tail of
		// an older log, recognizable by a term lower than the snapshot's. If that tail
		// were kept, this replica would vote as if it did not have the snapshot's newer
		// term.
		if entry.Index == l.last()+1 && entry.Term >= l.lastTerm() {
			l.entries = append(l.entries, entry)
		}
	}
	l.emitted, l.durable = l.last(), l.last()
	l.commit = max(min(recovered.Hard.GetCommit(), l.last()), l.base)
	l.applied = max(recovered.Applied, l.base)
	l.commit = max(l.commit, l.applied)
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at index; false if the index is outside the log.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.termAt(index)
	return ok && have == term
}

// upToDate reports whether a log whose last entry has this index and term is at least
// as up to date as this one, so that its owner may be elected (Raft paper, section
// 5.4.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// findConflictByTerm returns the newest index, up to limit, of an entry whose term is
// at most term: the newest position at which two logs that differ at limit can match.
func (l *entryLog) findConflictByTerm(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.base {
		return limit
	}
	upTo := l.entries[:limit-l.base]
	newer := sort.Search(len(upTo), func(i int) bool { return upTo[i].Term > term })
	return l.base + uint64(newer)
}

// extend appends entries that directly follow the newest one.
func (l *entryLog) extend(entries ...*consensuspb.Entry) {
	l.entries = append(l.entries, entries...)
}

// merge adds entries received from the leader, replaces a conflicting tail, and returns
// the entries that were new. The entry that precedes them must match.
func (l *entryLog) merge(entries []*consensuspb.Entry) ([]*consensuspb.Entry, error) {
	for i, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.commit {
			return nil, failure.New(failure.Corrupt, "entry %d of term %d conflicts with a committed entry", entry.Index, entry.Term)
		}
		l.truncate(entry.Index)
		l.extend(entries[i:]...)
		return entries[i:], nil
	}
	return nil, nil
}

// truncate removes the entries from index on. It also reduces the capacity of the
// slice, so that later appends do not overwrite slices returned earlier.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.emitted = min(l.emitted, index-1)
	l.durable = min(l.durable, index-1)
}

// compact removes the entries up to index, which a durable snapshot covers.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.applied)
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.termAt(index)
	l.entries = append([]*consensuspb.Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// restore resets the log to an installed snapshot. Entries after the snapshot are kept
// if the log contains the snapshot's last entry.
func (l *entryLog) restore(index, term uint64) {
	if l.matches(index, term) {
		l.commit = max(l.commit, index)
		l.applied = max(l.applied, index)
		l.compact(index)
		return
	}
	*l = entryLog{base: index, baseTerm: term, emitted: index, durable: index, commit: index, applied: index}
}

// entriesFrom returns entries from index on, at least one, up to maxBytes in encoded
// size.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []*consensuspb.Entry {
	rest := l.entries[index-l.base-1:]
	size := 0
	for i, entry := range rest {
		size += proto.Size(entry)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries in the range (after, upTo].
func (l *entryLog) entriesBetween(after, upTo uint64) []*consensuspb.Entry {
	if upTo <= after {
		return nil
	}
	return l.entries[after-l.base : upTo-l.base : upTo-l.base]
}
