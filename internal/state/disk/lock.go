package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const lockFile = "lock"

// Lock is the exclusive lock of a process on a data directory. The kernel releases it when
// the process ends in any way, so a killed process leaves nothing to clean up.
type Lock struct{ file *os.File }

// AcquireLock locks a data directory, or fails immediately with FolderInUse if another process
// holds the lock: two processes appending to one log would each overwrite entries that the
// other had acknowledged.
func AcquireLock(dir string) (*Lock, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, WrapError(err, "create %s", dir)
	}
	file, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, WrapError(err, "open the lock file of %s", dir)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, failure.Wrap(failure.FolderInUse, err, "data folder %s", dir)
	}
	return &Lock{file: file}, nil
}

// Release releases the lock.
func (l *Lock) Release() error { return l.file.Close() }
