package standin

import (
	"fmt"
	"io"
	"sync"
)

// Record writes a line for each task or request that a stand-in executed, so that a
// script can detect lost and repeated executions without asking the system.
type Record struct {
	mu   sync.Mutex
	w    io.Writer
	seen map[recordKey]bool
}

type recordKey struct {
	kind   string
	what   string
	number uint64
}

// NewRecord writes to w.
func NewRecord(w io.Writer) *Record {
	return &Record{w: w, seen: map[recordKey]bool{}}
}

// writeOnce writes KIND WHAT unless it was written with the same number before: a
// worker repeats the report of one run, and a different run has a different number.
// A nil Record writes nothing.
func (r *Record) writeOnce(kind, what string, number uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := recordKey{kind, what, number}
	if r.seen[key] {
		return
	}
	r.seen[key] = true
	fmt.Fprintln(r.w, kind, what)
}
