// Package disk provides file access for the control state, behind an interface so that
// tests can inject torn writes, failed syncs and full disks. Data is durable only once its
// file is synced, and a new name only once its directory is synced.
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
	dirMode  = 0o700
	fileMode = 0o600
	// tempSuffix is the suffix of a file that is being written. A crash may leave such a
	// file behind; it is never read.
	tempSuffix = ".aside"
)

// FS is the file access that the state packages need.
type FS interface {
	// MkdirAll creates a directory and its parents.
	MkdirAll(path string) error
	// Create creates an empty file, replacing an existing one.
	Create(path string) (File, error)
	// Open opens an existing file.
	Open(path string) (File, error)
	// Names lists the names of the regular files in a directory in order.
	Names(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(path string) error
}

// File is an open file. Write appends.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// Create creates an empty file, replacing an existing one.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file.
func (OS) Open(path string) (File, error) { return open(path, 0) }

func open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Names lists the names of the regular files in a directory in order.
func (OS) Names(dir string) ([]string, error) {
	found, err := os.ReadDir(dir)
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

// Rename renames a file, replacing an existing one of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a directory durable.
func (OS) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// ReadFile reads a whole file; found is false if it doesn't exist.
func ReadFile(files FS, path string) (content []byte, found bool, err error) {
	file, err := files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, WrapError(err, "open %s", path)
	}
	defer file.Close()
	content, err = ReadAll(file)
	if err != nil {
		return nil, false, WrapError(err, "read %s", path)
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

// WrapError wraps an error of a file operation: as DiskFull if there was no free space or
// quota, as OutOfDescriptors if no file descriptor was available, as DiskFailed otherwise.
func WrapError(err error, format string, args ...any) *failure.Error {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return failure.Wrap(failure.DiskFull, err, format, args...)
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return failure.Wrap(failure.OutOfDescriptors, err, format, args...)
	}
	return failure.Wrap(failure.DiskFailed, err, format, args...)
}

// Retryable reports whether the error is a lack of free space or of file descriptors: the
// disk has not failed, and the same operation may succeed later.
func Retryable(err error) bool {
	return failure.Is(err, failure.DiskFull) || failure.Is(err, failure.OutOfDescriptors)
}

// Replace writes a file atomically: it writes and syncs a temporary file, renames it and
// syncs the directory. After a crash, either the complete old file or the complete new one
// exists.
func Replace(files FS, path string, parts ...[]byte) error {
	if err := replace(files, path, parts); err != nil {
		return WrapError(err, "write %s", path)
	}
	return nil
}

func replace(files FS, path string, parts [][]byte) error {
	temp := path + tempSuffix
	if err := writeNew(files, temp, parts); err != nil {
		return err
	}
	if err := files.Rename(temp, path); err != nil {
		return err
	}
	return files.SyncDir(filepath.Dir(path))
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

// RemoveTemp removes the temporary files that a crash left in a directory.
func RemoveTemp(files FS, dir string) error {
	names, err := files.Names(dir)
	if err != nil {
		return WrapError(err, "list %s", dir)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := files.Remove(filepath.Join(dir, name)); err != nil {
			return WrapError(err, "remove %s", name)
		}
	}
	return nil
}
