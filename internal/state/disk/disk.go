// Package disk is the access to files of the control state. It is an interface
// so that tests can inject torn writes, failed syncs and full disks. Nothing
// written lasts before the file is synced, and no new name before its folder
// is synced.
package disk

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	folderAccess = 0o700
	fileAccess   = 0o600
	// asideSuffix marks a file that is still being written. A crash leaves it
	// behind; it is never read.
	asideSuffix = ".aside"
)

// FS is the file access that the state packages need.
type FS interface {
	// MakeFolder makes a folder and its parents.
	MakeFolder(path string) error
	// Create makes an empty file, in place of an old one.
	Create(path string) (File, error)
	// Open opens an existing file.
	Open(path string) (File, error)
	// Names lists the files of a folder in order.
	Names(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder last.
	SyncFolder(path string) error
}

// File is one open file. Write appends.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// OS is the machine's own file system.
type OS struct{}

// MakeFolder makes a folder and its parents.
func (OS) MakeFolder(path string) error { return os.MkdirAll(path, folderAccess) }

// Create makes an empty file, in place of an old one.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file.
func (OS) Open(path string) (File, error) { return open(path, 0) }

func open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags|os.O_RDWR|os.O_APPEND, fileAccess)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Names lists the files of a folder in order.
func (OS) Names(folder string) ([]string, error) {
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range found {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Rename gives a file another name, in place of an old file of that name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the names in a folder last.
func (OS) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// ReadFile reads a whole file; found is false where there is none.
func ReadFile(files FS, path string) (content []byte, found bool, err error) {
	file, err := files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, Fault(err, "open %s", path)
	}
	defer file.Close()
	content, err = ReadAll(file)
	if err != nil {
		return nil, false, Fault(err, "read %s", path)
	}
	return content, true, nil
}

// ReadAll reads an open file from its start to its end.
func ReadAll(file File) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size)
	n, err := file.ReadAt(content, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return content[:n], nil
}

// Fault makes the failure of an access to a disk: DiskFull where there is no room
// for the bytes, OutOfDescriptors where a file could not be opened for want of one,
// DiskFailed otherwise.
func Fault(err error, format string, args ...any) *failure.Error {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return failure.Wrap(failure.DiskFull, err, format, args...)
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return failure.Wrap(failure.OutOfDescriptors, err, format, args...)
	}
	return failure.Wrap(failure.DiskFailed, err, format, args...)
}

// MayTryAgain tells an access that found no room or no descriptor: the disk is well, and
// the same access may succeed later.
func MayTryAgain(err error) bool {
	return failure.Is(err, failure.DiskFull) || failure.Is(err, failure.OutOfDescriptors)
}

// Replace writes a file aside, syncs it, renames it and syncs the folder: after
// a crash there is the old file or the new one, whole.
func Replace(files FS, path string, parts ...[]byte) error {
	if err := replace(files, path, parts); err != nil {
		return Fault(err, "write %s", path)
	}
	return nil
}

func replace(files FS, path string, parts [][]byte) error {
	aside := path + asideSuffix
	if err := writeNew(files, aside, parts); err != nil {
		return err
	}
	if err := files.Rename(aside, path); err != nil {
		return err
	}
	return files.SyncFolder(filepath.Dir(path))
}

func writeNew(files FS, path string, parts [][]byte) error {
	file, err := files.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return err
		}
	}
	return file.Sync()
}

// RemoveAside removes what a crash left half written in a folder.
func RemoveAside(files FS, folder string) error {
	names, err := files.Names(folder)
	if err != nil {
		return Fault(err, "list %s", folder)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, asideSuffix) {
			continue
		}
		if err := files.Remove(filepath.Join(folder, name)); err != nil {
			return Fault(err, "remove %s", name)
		}
	}
	return nil
}
