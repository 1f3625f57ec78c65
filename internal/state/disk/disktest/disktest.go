// Package disktest is a file system in memory for tests: it forgets at a crash
// what was not synced, and fails where it is told to.
package disktest

import (
	"io"
	"io/fs"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"pinewinch.example/pinewinch/internal/state/disk"
)

// FS is the file system. Its exported fields inject faults; they are set while
// no other goroutine uses it.
type FS struct {
	// Room is how many more bytes fit on the disk; negative for no limit.
	Room int
	// Opens is how many more files and folders can be opened before the process is out
	// of descriptors; negative for no limit.
	Opens int
	// FailSyncs is how many of the next syncs of files fail. A failed sync drops
	// the bytes but keeps showing them, as the page cache of a kernel does.
	FailSyncs int
	// SyncCount counts the syncs of files that worked, WriteCount the writes.
	SyncCount  int
	WriteCount int

	mu     sync.Mutex
	names  map[string]*content
	synced map[string]*content
}

type content struct {
	data    []byte
	durable []byte
}

// New makes an empty file system.
func New() *FS {
	return &FS{Room: -1, Opens: -1, names: map[string]*content{}, synced: map[string]*content{}}
}

// Crash gives what the disk holds after power was lost: synced names with
// synced bytes, and of what was appended since the first kept bytes (a torn
// write).
func (f *FS) Crash(kept int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	for name, c := range f.synced {
		data := append([]byte(nil), c.durable...)
		if len(c.data) > len(data) {
			rest := c.data[len(data):]
			data = append(data, rest[:min(kept, len(rest))]...)
		}
		survivor := &content{data: data, durable: append([]byte(nil), data...)}
		after.names[name], after.synced[name] = survivor, survivor
	}
	return after
}

// SetRoom sets Room while other goroutines use the file system.
func (f *FS) SetRoom(room int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Room = room
}

// SetOpens sets Opens while other goroutines use the file system.
func (f *FS) SetOpens(opens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Opens = opens
}

// open takes one descriptor; the caller holds the lock.
func (f *FS) open() error {
	if f.Opens == 0 {
		return syscall.EMFILE
	}
	f.Opens = max(f.Opens-1, -1)
	return nil
}

// Damage flips a bit of a file.
func (f *FS) Damage(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[path].data[offset] ^= 0x10
}

// Content gives what a file holds now.
func (f *FS) Content(path string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names[path].data
}

// MakeFolder does nothing: every folder exists.
func (f *FS) MakeFolder(string) error { return nil }

// Create makes an empty file.
func (f *FS) Create(path string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.open(); err != nil {
		return nil, err
	}
	f.names[path] = &content{}
	return &file{fs: f, content: f.names[path]}, nil
}

// Open opens an existing file.
func (f *FS) Open(path string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	return &file{fs: f, content: c}, nil
}

// Names lists the files of a folder.
func (f *FS) Names(folder string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.open(); err != nil {
		return nil, err
	}
	var names []string
	for path := range f.names {
		if filepath.Dir(path) == filepath.Clean(folder) {
			names = append(names, filepath.Base(path))
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	f.names[to] = c
	delete(f.names, from)
	return nil
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, path)
	return nil
}

// SyncFolder makes the names of a folder last.
func (f *FS) SyncFolder(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.open(); err != nil {
		return err
	}
	for path := range f.synced {
		if filepath.Dir(path) == filepath.Clean(folder) {
			delete(f.synced, path)
		}
	}
	for path, c := range f.names {
		if filepath.Dir(path) == filepath.Clean(folder) {
			f.synced[path] = c
		}
	}
	return nil
}

type file struct {
	fs      *FS
	content *content
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.WriteCount++
	n := len(p)
	if f.fs.Room >= 0 {
		n = min(n, f.fs.Room)
		f.fs.Room -= n
	}
	f.content.data = append(f.content.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if offset >= int64(len(f.content.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.content.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.content.data)), nil
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.content.data = f.content.data[:size:size]
	f.content.durable = f.content.durable[:min(int(size), len(f.content.durable))]
	return nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.FailSyncs > 0 {
		f.fs.FailSyncs--
		return syscall.EIO
	}
	f.fs.SyncCount++
	f.content.durable = append([]byte(nil), f.content.data...)
	return nil
}

func (f *file) Close() error { return nil }
