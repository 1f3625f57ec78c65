package feed

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Tail holds the newest applied entries in memory, up to a limit in bytes. Their
// indexes are consecutive.
type Tail struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  []tailEntry
}

type tailEntry struct {
	entry *peerpb.LogEntry
	size  int
	// packed is the entry with its command compressed, or nil if the entry is small.
	packed *peerpb.LogEntry
}

// encoded returns the entry in the encoding that a follower accepts, and its size in bytes.
func (e *tailEntry) encoded(enc encoding) (*peerpb.LogEntry, int) {
	if enc == packed && e.packed != nil {
		return e.packed, proto.Size(e.packed)
	}
	return e.entry, e.size
}

// NewTail creates an empty tail of at most maxBytes of encoded entries.
func NewTail(maxBytes int) *Tail { return &Tail{maxBytes: maxBytes} }

// Append adds applied entries. If there is a gap in the indexes, as after the
// installation of a snapshot, the earlier entries are dropped.
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

// Reset drops all entries.
func (t *Tail) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.bytes = nil, 0
}

// trim drops the oldest entries until the rest fits into maxBytes.
func (t *Tail) trim() {
	drop := 0
	for t.bytes > t.maxBytes {
		t.bytes -= t.entries[drop].size
		drop++
	}
	clear(t.entries[:drop])
	t.entries = t.entries[drop:]
}

// After returns the entries after the index: up to maxBytes, but at least one if there
// is any. It reports false if the tail does not reach back to the index.
func (t *Tail) After(index uint64, maxBytes int, enc encoding) ([]*peerpb.LogEntry, bool) {
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
		entry, bytes := held.encoded(enc)
		size += bytes
		if size > maxBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, entry)
	}
	return batch, true
}
