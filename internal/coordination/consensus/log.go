package consensus

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// entryLog is the log in memory: everything after the compacted base. Slices
// that were handed out are never written to again.
type entryLog struct {
	base     uint64 // index of the newest compacted entry
	baseTerm uint64
	entries  []*consensuspb.Entry
	handed   uint64 // newest index given in a Ready
	durable  uint64 // newest index that was synced
	commit   uint64
	applied  uint64 // newest index given in Ready.Committed
}

func newEntryLog(recovered Recovered) entryLog {
	l := entryLog{
		base:     recovered.Snapshot.GetIndex(),
		baseTerm: recovered.Snapshot.GetTerm(),
	}
	for _, entry := range recovered.Entries {
		// After a snapshot was installed the disk may still hold an older log's
		// tail behind it. Such a tail goes down in term; kept, it would make
		// this replica vote as if it had not the snapshot's newer term.
		if entry.Index == l.last()+1 && entry.Term >= l.lastTerm() {
			l.entries = append(l.entries, entry)
		}
	}
	l.handed, l.durable = l.last(), l.last()
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

// termAt gives the term of the entry at index; false outside the log.
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

// upToDate tells whether a log that ends so may lead this one (Raft, 5.4.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// closest is the newest index up to limit whose term is at most term: where
// two logs that differ at limit can first agree.
func (l *entryLog) closest(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.base {
		return limit
	}
	upTo := l.entries[:limit-l.base]
	newer := sort.Search(len(upTo), func(i int) bool { return upTo[i].Term > term })
	return l.base + uint64(newer)
}

// extend appends entries that follow the newest one.
func (l *entryLog) extend(entries ...*consensuspb.Entry) {
	l.entries = append(l.entries, entries...)
}

// merge takes a leader's entries, replaces a tail that conflicts with them and
// gives the entries that were new. The entry before them must match.
func (l *entryLog) merge(entries []*consensuspb.Entry) ([]*consensuspb.Entry, error) {
	for i, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.commit {
			return nil, failure.New(failure.Corrupt, "entry %d of term %d contradicts a committed one", entry.Index, entry.Term)
		}
		l.truncate(entry.Index)
		l.extend(entries[i:]...)
		return entries[i:], nil
	}
	return nil, nil
}

// truncate drops the entries from index on. The capacity goes too, so that
// later appends leave slices that were handed out alone.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.handed = min(l.handed, index-1)
	l.durable = min(l.durable, index-1)
}

// compact drops the entries up to index, which a durable snapshot covers.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.applied)
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.termAt(index)
	l.entries = append([]*consensuspb.Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// restore starts the log anew behind an installed snapshot. A tail that goes
// on from the snapshot is kept.
func (l *entryLog) restore(index, term uint64) {
	if l.matches(index, term) {
		l.commit = max(l.commit, index)
		l.applied = max(l.applied, index)
		l.compact(index)
		return
	}
	*l = entryLog{base: index, baseTerm: term, handed: index, durable: index, commit: index, applied: index}
}

// from gives entries from index on, at least one, up to maxBytes.
func (l *entryLog) from(index uint64, maxBytes int) []*consensuspb.Entry {
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

// between gives the entries after one index up to another.
func (l *entryLog) between(after, upTo uint64) []*consensuspb.Entry {
	if upTo <= after {
		return nil
	}
	return l.entries[after-l.base : upTo-l.base : upTo-l.base]
}
