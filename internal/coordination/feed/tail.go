package feed

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Tail keeps the newest applied entries in memory, bounded in bytes. Indexes
// in it are consecutive.
type Tail struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  []tailEntry
}

type tailEntry struct {
	entry *peerpb.LogEntry
	size  int
	// packed is the entry with its command compressed; nil for a small one.
	packed *peerpb.LogEntry
}

// sent is the entry in the form that a follower reads.
func (e *tailEntry) sent(reads form) (*peerpb.LogEntry, int) {
	if reads == packed && e.packed != nil {
		return e.packed, proto.Size(e.packed)
	}
	return e.entry, e.size
}

// NewTail makes an empty tail of at most maxBytes of encoded entries.
func NewTail(maxBytes int) *Tail { return &Tail{maxBytes: maxBytes} }

// Append adds applied entries. A gap, as an installed snapshot leaves it,
// drops what came before.
func (t *Tail) Append(entries ...*peerpb.LogEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		if last := len(t.entries) - 1; last >= 0 && t.entries[last].entry.Index+1 != entry.Index {
			t.entries, t.bytes = nil, 0
		}
		size := proto.Size(entry)
		t.entries = append(t.entries, tailEntry{entry: entry, size: size, packed: pack(entry, size)})
		t.bytes += size
	}
	t.trim()
}

// Reset drops everything.
func (t *Tail) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.bytes = nil, 0
}

// trim drops the oldest entries until the rest fits.
func (t *Tail) trim() {
	drop := 0
	for t.bytes > t.maxBytes {
		t.bytes -= t.entries[drop].size
		drop++
	}
	clear(t.entries[:drop])
	t.entries = t.entries[drop:]
}

// After gives entries from after the index, at most maxBytes of them but at
// least one. It reports false where the tail does not reach back that far.
func (t *Tail) After(index uint64, maxBytes int, reads form) ([]*peerpb.LogEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 || index+1 < t.entries[0].entry.Index {
		return nil, false
	}
	skip := index + 1 - t.entries[0].entry.Index
	if skip >= uint64(len(t.entries)) {
		return nil, true
	}
	var batch []*peerpb.LogEntry
	size := 0
	for _, held := range t.entries[skip:] {
		entry, bytes := held.sent(reads)
		size += bytes
		if size > maxBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, entry)
	}
	return batch, true
}
