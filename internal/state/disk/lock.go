package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const lockFile = "lock"

// Lock keeps a second process out of a data folder. The kernel lets it go when
// the process ends, however it ends, so a kill leaves nothing to clean up.
type Lock struct{ file *os.File }

// TakeLock locks a data folder, or fails at once where another process has it:
// two processes appending to one log would each overwrite what the other had
// promised.
func TakeLock(folder string) (*Lock, error) {
	if err := os.MkdirAll(folder, folderAccess); err != nil {
		return nil, Fault(err, "make %s", folder)
	}
	file, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, fileAccess)
	if err != nil {
		return nil, Fault(err, "open the lock of %s", folder)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, failure.Wrap(failure.FolderInUse, err, "data folder %s", folder)
	}
	return &Lock{file: file}, nil
}

// Release lets the data folder go.
func (l *Lock) Release() error { return l.file.Close() }
