package standin

import (
	"fmt"
	"io"
	"sync"
)

// Record writes a line for each thing that a stand-in did, so that a script can
// tell what was lost or done twice without asking the system.
type Record struct {
	mu   sync.Mutex
	w    io.Writer
	seen map[recorded]bool
}

type recorded struct {
	kind   string
	what   string
	number uint64
}

// NewRecord writes to w.
func NewRecord(w io.Writer) *Record {
	return &Record{w: w, seen: map[recorded]bool{}}
}

// once writes KIND WHAT unless it was written with the same number before: a
// worker repeats its report of one run, and another run has another number. A
// nil Record writes nothing.
func (r *Record) once(kind, what string, number uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := recorded{kind, what, number}
	if r.seen[key] {
		return
	}
	r.seen[key] = true
	fmt.Fprintln(r.w, kind, what)
}
