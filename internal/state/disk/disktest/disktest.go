// Package disktest is an in-memory file system for tests. It loses unsynced data in a
// simulated crash and injects faults on demand.
package disktest

import (
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"pinewinch.example/pinewinch/internal/state/disk"
)

// FS is the file system. Its exported fields inject faults and count operations. They may
// be accessed only while no other goroutine uses the file system.
type FS struct {
	// FreeBytes is the free space in bytes; negative means no limit.
	FreeBytes int
	// FreeDescriptors is how many more files and directories can be opened before opening
	// fails with EMFILE; negative means no limit.
	FreeDescriptors int
	// FailSyncs is how many of the next file syncs fail. After a failed sync the data is not
	// durable but still readable, as from a kernel's page cache.
	FailSyncs int
	// SyncCount counts successful file syncs, WriteCount all writes.
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

// New returns an empty file system without limits.
func New() *FS {
	return &FS{FreeBytes: -1, FreeDescriptors: -1, names: map[string]*content{}, synced: map[string]*content{}}
}

// Crash returns the file system after a power loss: the synced names with their synced
// data, plus at most kept bytes of the data that was appended to each since (a torn write).
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

// SetFreeBytes sets FreeBytes while other goroutines use the file system.
func (f *FS) SetFreeBytes(free int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.FreeBytes = free
}

// SetFreeDescriptors sets FreeDescriptors while other goroutines use the file system.
func (f *FS) SetFreeDescriptors(free int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.FreeDescriptors = free
}

// takeDescriptor uses up one descriptor; the caller holds the lock.
func (f *FS) takeDescriptor() error {
	if f.FreeDescriptors == 0 {
		return syscall.EMFILE
	}
	f.FreeDescriptors = max(f.FreeDescriptors-1, -1)
	return nil
}

// FlipBit flips one bit of the byte at an offset of a file.
func (f *FS) FlipBit(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[path].data[offset] ^= 0x10
}

// Content returns the current content of a file, synced or not.
func (f *FS) Content(path string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names[path].data
}

// MkdirAll does nothing: every directory exists.
func (f *FS) MkdirAll(string) error { return nil }

// Create creates an empty file, replacing an existing one.
func (f *FS) Create(path string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.takeDescriptor(); err != nil {
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
	if err := f.takeDescriptor(); err != nil {
		return nil, err
	}
	return &file{fs: f, content: c}, nil
}

// Names lists the names of the files in a directory in order.
func (f *FS) Names(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.takeDescriptor(); err != nil {
		return nil, err
	}
	var names []string
	for path := range f.names {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames a file, or a directory with the files in it. The new names of the latter are
// durable.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[from]
	if !ok {
		return f.renameDir(from, to)
	}
	f.names[to] = c
	delete(f.names, from)
	return nil
}

// renameDir renames a directory; the caller holds the lock.
func (f *FS) renameDir(from, to string) error {
	found := false
	for _, names := range []map[string]*content{f.names, f.synced} {
		for path, c := range maps.Clone(names) {
			if filepath.Dir(path) == filepath.Clean(from) {
				names[filepath.Join(to, filepath.Base(path))] = c
				delete(names, path)
				found = true
			}
		}
	}
	if !found {
		return fs.ErrNotExist
	}
	return nil
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, path)
	return nil
}

// SyncDir makes the names in a directory durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.takeDescriptor(); err != nil {
		return err
	}
	for path := range f.synced {
		if filepath.Dir(path) == filepath.Clean(dir) {
			delete(f.synced, path)
		}
	}
	for path, c := range f.names {
		if filepath.Dir(path) == filepath.Clean(dir) {
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
	if f.fs.FreeBytes >= 0 {
		n = min(n, f.fs.FreeBytes)
		f.fs.FreeBytes -= n
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
