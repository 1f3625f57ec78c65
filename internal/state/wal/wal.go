// Package wal is the write-ahead log of a replica: it stores the replica's copy of the
// replicated log on disk, in segments of records. Each record has a checksum and is synced
// before the append returns.
//
// Limitation: a torn write is distinguished from corruption by valid records after it (see
// checkTornTail). Corruption of the very last synced record looks like a torn write and is
// truncated; the other replicas still have the record.
package wal

import (
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// DefaultSegmentBytes is the default size, in bytes, beyond which a segment doesn't grow:
// the next record starts a new one.
const DefaultSegmentBytes = 16 << 20

// targetRecordBytes is the size, in bytes, beyond which entries are written as several
// records: one of maxBodyBytes can't be read again.
const targetRecordBytes = 8 << 20

// Options of a log.
type Options struct {
	Files disk.FS
	Dir   string
	// SegmentBytes is the size limit of a segment; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	options  Options
	segments []segment
	active   disk.File
	// synced is the durable length of the active segment in bytes.
	synced int64
	// rotating is set while the start of the next segment is outstanding. Nothing is
	// written until it succeeds: the file of the next segment may exist already and hold
	// the earlier hard state, which must not follow a newer one.
	rotating bool
	// removalsUnsynced is set while segments were removed and the directory was not synced
	// since.
	removalsUnsynced bool
	hard             *consensuspb.HardState
	snapshot         *consensuspb.SnapshotMeta
	failed           error
}

// Open reads the log in a directory, creates one if there is none, and truncates a torn
// tail: an append that was not synced was never acknowledged.
func Open(options Options) (*Log, *Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{options: options}
	if err := options.Files.MkdirAll(options.Dir); err != nil {
		return nil, nil, disk.WrapError(err, "create %s", options.Dir)
	}
	if err := disk.RemoveTemp(options.Files, options.Dir); err != nil {
		return nil, nil, err
	}
	numbers, err := listSegments(options.Files, options.Dir)
	if err != nil {
		return nil, nil, err
	}
	contents := &Contents{}
	for i, number := range numbers {
		if err := l.load(number, i == len(numbers)-1, contents); err != nil {
			l.Close()
			return nil, nil, err
		}
	}
	if err := contents.checkReachesSnapshot(options.Dir); err != nil {
		l.Close()
		return nil, nil, err
	}
	l.hard, l.snapshot = contents.HardState, contents.Snapshot
	if len(numbers) == 0 {
		if err := l.startSegment(1); err != nil {
			return nil, nil, err
		}
	}
	return l, contents, nil
}

func (l *Log) load(number uint64, isLast bool, contents *Contents) error {
	s := segment{number: number, path: filepath.Join(l.options.Dir, segmentName(number))}
	file, err := l.options.Files.Open(s.path)
	if err != nil {
		return disk.WrapError(err, "open %s", s.path)
	}
	if isLast {
		l.active = file
	} else {
		defer file.Close()
	}
	data, err := disk.ReadAll(file)
	if err != nil {
		return disk.WrapError(err, "read %s", s.path)
	}
	apply := func(record *consensuspb.LogRecord) error {
		s.last = max(s.last, lastIndex(record))
		return contents.apply(record)
	}
	valid, err := readSegment(s.path, number, data, isLast, apply)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, s)
	if !isLast {
		return nil
	}
	return l.recoverTail(file, valid, int64(len(data)))
}

// recoverTail truncates a torn tail and syncs the rest: a process that was killed between
// write and sync leaves records that are readable but not durable.
func (l *Log) recoverTail(file disk.File, valid, size int64) error {
	if valid < size {
		if err := file.Truncate(valid); err != nil {
			return disk.WrapError(err, "truncate the log's tail")
		}
	}
	if err := file.Sync(); err != nil {
		return disk.WrapError(err, "sync the log's tail")
	}
	l.synced = valid
	return nil
}

// Append writes a hard state (nil if unchanged) and entries with one write and one sync, or
// with more if they exceed targetRecordBytes. Entries at indexes that the log already has
// replace its tail.
//
// It fails with DiskFull if the disk is full, and with OutOfDescriptors if no descriptor is
// available for the next segment. In both cases none or some first entries were written and
// the append may be retried. After a failed sync, or a write that failed for another reason, every call fails
// with DiskFailed: the kernel may have dropped the data and could still report the next
// sync as successful.
func (l *Log) Append(hard *consensuspb.HardState, entries []*consensuspb.Entry) error {
	next := sizeLimited(entries)
	if err := l.write(&consensuspb.LogRecord{Hard: hard, Entries: entries[:next]}); err != nil {
		return err
	}
	for rest := entries[next:]; len(rest) > 0; rest = rest[next:] {
		next = sizeLimited(rest)
		// Each record is synced before the next one is written: a torn record that valid ones
		// follow counts as damage.
		if err := l.write(&consensuspb.LogRecord{Entries: rest[:next]}); err != nil {
			return err
		}
	}
	return nil
}

// sizeLimited returns how many of the entries share a record: as many as targetRecordBytes
// hold, but at least one.
func sizeLimited(entries []*consensuspb.Entry) int {
	size := 0
	for i, entry := range entries {
		size += proto.Size(entry)
		if i > 0 && size > targetRecordBytes {
			return i
		}
	}
	return len(entries)
}

// MarkSnapshot records that a snapshot is durable. If the log has no entry at its index, or one of
// another term, the log is emptied: the snapshot came from the leader and replaces it. A
// marker older than the current one is ignored: a save that finishes after a newer snapshot
// was installed would otherwise put the marker before the first entry of the log, and the
// next start would fail because of the gap.
func (l *Log) MarkSnapshot(meta *consensuspb.SnapshotMeta) error {
	if meta.Index < l.snapshot.GetIndex() {
		return nil
	}
	return l.write(&consensuspb.LogRecord{Snapshot: meta})
}

func (l *Log) write(record *consensuspb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	encoded, err := encodeRecord(nil, record)
	if err != nil {
		return err
	}
	if l.synced > segmentHeaderBytes && l.synced+int64(len(encoded)) > l.options.SegmentBytes {
		l.rotating = true
	}
	if l.rotating {
		if err := l.rotate(); err != nil {
			return l.abortWrite(err)
		}
		l.rotating = false
	}
	if _, err := l.active.Write(encoded); err != nil {
		return l.abortWrite(err)
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err)
	}
	l.synced += int64(len(encoded))
	l.recordWritten(record)
	return nil
}

// abortWrite handles a write that failed before its sync. If it may be retried, the part of
// the record that was written is truncated; none of it was synced, so the next append starts
// from a clean tail.
func (l *Log) abortWrite(err error) error {
	fault := disk.WrapError(err, "write the log in %s", l.options.Dir)
	if !disk.Retryable(fault) {
		return l.fail(err)
	}
	if err := l.active.Truncate(l.synced); err != nil {
		return l.fail(err)
	}
	return fault
}

func (l *Log) recordWritten(record *consensuspb.LogRecord) {
	if record.Hard != nil {
		l.hard = record.Hard
	}
	if record.Snapshot != nil {
		l.snapshot = record.Snapshot
	}
	newest := &l.segments[len(l.segments)-1]
	newest.last = max(newest.last, lastIndex(record))
}

// fail disables the log permanently. The bytes that were not synced are truncated, so that
// a restart doesn't read them from the kernel's page cache as if they were durable.
func (l *Log) fail(err error) error {
	l.failed = disk.WrapError(err, "write the log in %s", l.options.Dir)
	_ = l.active.Truncate(l.synced)
	return l.failed
}

// rotate starts the next segment, which repeats the hard state and the snapshot marker so
// that the older segments can be removed. If it fails, the previous segment remains active.
func (l *Log) rotate() error {
	before := l.active
	if err := l.startSegment(l.segments[len(l.segments)-1].number + 1); err != nil {
		return err
	}
	return before.Close()
}

func (l *Log) startSegment(number uint64) error {
	header, err := encodeRecord(segmentHeader(number), &consensuspb.LogRecord{Hard: l.hard, Snapshot: l.snapshot})
	if err != nil {
		return err
	}
	path := filepath.Join(l.options.Dir, segmentName(number))
	if err := disk.Replace(l.options.Files, path, header); err != nil {
		return err
	}
	started, err := l.options.Files.Open(path)
	if err != nil {
		return disk.WrapError(err, "open %s", path)
	}
	l.active = started
	l.synced = int64(len(header))
	l.segments = append(l.segments, segment{number: number, path: path})
	return nil
}

// Compact removes the segments without entries above an index, except the active one. They
// are removed oldest first, so that a crash in between leaves no gap.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.options.Files.Remove(l.segments[0].path); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
		l.removalsUnsynced = true
	}
	if !l.removalsUnsynced {
		return nil
	}
	if err := l.options.Files.SyncDir(l.options.Dir); err != nil {
		fault := disk.WrapError(err, "sync %s", l.options.Dir)
		if disk.Retryable(fault) {
			return fault
		}
		return l.fail(err)
	}
	l.removalsUnsynced = false
	return nil
}

// Close closes the log.
func (l *Log) Close() error {
	if l.active == nil {
		return nil
	}
	return l.active.Close()
}

func lastIndex(record *consensuspb.LogRecord) uint64 {
	if len(record.Entries) == 0 {
		return 0
	}
	return record.Entries[len(record.Entries)-1].Index
}
