package process

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/state/disk"
)

// DiskMode is how the disk of a process behaves.
type DiskMode string

// The modes of a disk.
const (
	DiskSound DiskMode = "sound"
	// DiskFull refuses writes for lack of room, after half of the bytes.
	DiskFull DiskMode = "full"
	// DiskRefusing fails every write.
	DiskRefusing DiskMode = "refusing"
	// DiskSlow takes slowDiskDelay more for each write and sync.
	DiskSlow DiskMode = "slow"
	// DiskHanging completes no write and no sync until the mode changes.
	DiskHanging DiskMode = "hanging"
)

const (
	slowDiskDelay    = 60 * time.Millisecond
	hangPollInterval = 10 * time.Millisecond
)

// SetDisk sets the mode of the disks that were started with this path.
func SetDisk(t testing.TB, path string, mode DiskMode) {
	is := is.New(t)
	// Written to a file of its own, so that no process reads an empty mode and calls may
	// overlap.
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path))
	is.NoErr(err)
	_, err = file.WriteString(string(mode))
	is.NoErr(err)
	is.NoErr(file.Close())
	is.NoErr(os.Rename(file.Name(), path))
}

// faultyDisk adds faults to a file system. Written data reaches it with the next sync
// only, so that killing the process has the effect of a loss of power.
type faultyDisk struct {
	disk.FS
	modePath string
}

func (d *faultyDisk) mode() DiskMode {
	text, err := os.ReadFile(d.modePath)
	if err != nil {
		return DiskSound
	}
	return DiskMode(strings.TrimSpace(string(text)))
}

// check waits as long as the disk takes and returns its error.
func (d *faultyDisk) check() error {
	for {
		switch d.mode() {
		case DiskFull:
			return syscall.ENOSPC
		case DiskRefusing:
			return syscall.EIO
		case DiskSlow:
			time.Sleep(slowDiskDelay)
			return nil
		case DiskHanging:
			time.Sleep(hangPollInterval)
			continue
		}
		return nil
	}
}

// Create creates a file whose faults are those of the disk.
func (d *faultyDisk) Create(path string) (disk.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.wrap(d.FS.Create(path))
}

// Open opens a file whose faults are those of the disk.
func (d *faultyDisk) Open(path string) (disk.File, error) { return d.wrap(d.FS.Open(path)) }

func (d *faultyDisk) wrap(file disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, disk: d}, nil
}

// faultyFile holds written data back until it is synced.
type faultyFile struct {
	disk.File
	disk *faultyDisk
	mu   sync.Mutex
	// unsynced is the data written since the last sync.
	unsynced []byte
}

// Write keeps the data in memory; a full disk takes half of it.
func (f *faultyFile) Write(data []byte) (int, error) {
	err := f.disk.check()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		data = data[:len(data)/2]
	}
	f.unsynced = append(f.unsynced, data...)
	return len(data), err
}

// Sync writes the data held back and syncs it.
func (f *faultyFile) Sync() error {
	if mode := f.disk.mode(); mode != DiskFull {
		if err := f.disk.check(); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.flush(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) flush() error {
	if len(f.unsynced) == 0 {
		return nil
	}
	if _, err := f.File.Write(f.unsynced); err != nil {
		return err
	}
	f.unsynced = nil
	return nil
}

// Size includes the data held back.
func (f *faultyFile) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size, err := f.File.Size()
	return size + int64(len(f.unsynced)), err
}

// ReadAt reads the data held back, too.
func (f *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.flush(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, off)
}

// Truncate removes data from the end, that held back first.
func (f *faultyFile) Truncate(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	written, err := f.File.Size()
	if err != nil {
		return err
	}
	if size >= written {
		f.unsynced = f.unsynced[:min(int(size-written), len(f.unsynced))]
		return nil
	}
	f.unsynced = nil
	return f.File.Truncate(size)
}
