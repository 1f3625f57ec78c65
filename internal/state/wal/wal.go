// Package wal keeps the replicated log on disk: records with checksums,
// synced before they are answered.
package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	fileName     = "log"
	headerBytes  = 8
	maxRecord    = 64 << 20
	folderAccess = 0o700
	fileAccess   = 0o600
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log file. One goroutine uses it.
type Log struct {
	file   *os.File
	failed error
}

// Open reads the log in a folder and cuts a torn tail: a record that was never
// synced was never answered.
func Open(folder string) (*Log, []*peerpb.LogEntry, error) {
	if err := os.MkdirAll(folder, folderAccess); err != nil {
		return nil, nil, failure.Wrap(failure.DiskFailed, err, "make %s", folder)
	}
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileAccess)
	if err != nil {
		return nil, nil, failure.Wrap(failure.DiskFailed, err, "open %s", path)
	}
	entries, good, err := readAll(file)
	if err != nil {
		return nil, nil, err
	}
	if err := file.Truncate(good); err != nil {
		return nil, nil, failure.Wrap(failure.DiskFailed, err, "cut the tail of %s", path)
	}
	if _, err := file.Seek(good, io.SeekStart); err != nil {
		return nil, nil, failure.Wrap(failure.DiskFailed, err, "seek in %s", path)
	}
	return &Log{file: file}, entries, nil
}

func readAll(file *os.File) ([]*peerpb.LogEntry, int64, error) {
	var entries []*peerpb.LogEntry
	var offset int64
	for {
		entry, size, err := readRecord(file)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return entries, offset, nil
		}
		if err != nil {
			return nil, 0, failure.Wrap(failure.Corrupt, err, "%s at offset %d", file.Name(), offset)
		}
		entries = append(entries, entry)
		offset += size
	}
}

func readRecord(r io.Reader) (*peerpb.LogEntry, int64, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.LittleEndian.Uint32(header[:4])
	if size > maxRecord {
		return nil, 0, failure.New(failure.Corrupt, "record of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, 0, err
	}
	if crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, failure.New(failure.Corrupt, "checksum differs")
	}
	entry := &peerpb.LogEntry{}
	if err := proto.Unmarshal(body, entry); err != nil {
		return nil, 0, failure.Wrap(failure.Corrupt, err, "record does not decode")
	}
	return entry, headerBytes + int64(size), nil
}

// Append writes entries and syncs once. After a failed write or sync the log
// refuses all further appends: what is on the disk is no longer known.
func (l *Log) Append(entries []*peerpb.LogEntry) error {
	if l.failed != nil {
		return l.failed
	}
	var buffer []byte
	for _, entry := range entries {
		body, err := proto.Marshal(entry)
		if err != nil {
			return failure.Wrap(failure.Internal, err, "encode entry %d", entry.Index)
		}
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(body)))
		buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(body, checksums))
		buffer = append(buffer, body...)
	}
	if _, err := l.file.Write(buffer); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = failure.Wrap(failure.DiskFailed, err, "write %s", l.file.Name())
	return l.failed
}

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }
