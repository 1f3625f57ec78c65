// Command standin plays the clients, the operator, the minions and the platform of the
// review's cases around processes of the project.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// since returns the time since the start of the record.
func (r *record) since() time.Duration { return time.Since(r.began) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
