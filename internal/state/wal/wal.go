// Package wal keeps a replica's part of the replicated log on disk: segments of
// records, each with a checksum and synced before the append returns.
//
// Bounds of what it can tell: a torn write is told from damage by the whole
// records behind it (see checkTorn). Damage to the very last synced record
// looks like a torn write and is cut; the other replicas still hold it.
package wal

import (
	"path/filepath"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// DefaultSegmentBytes is the size from which on a segment is followed by a new one.
const DefaultSegmentBytes = 16 << 20

// Options of a log.
type Options struct {
	Files  disk.FS
	Folder string
	// SegmentBytes is DefaultSegmentBytes where 0.
	SegmentBytes int64
}

// Log is an open log. One goroutine uses it.
type Log struct {
	options  Options
	segments []segment
	active   disk.File
	// synced is the length of the active segment that lasts.
	synced int64
	// rotating is set while the next segment is not begun. Until it is, nothing is
	// written: its file may be there already, with the hard state of before.
	rotating bool
	// dropped tells that segments were removed and their folder not synced since.
	dropped bool
	hard    *consensuspb.HardState
	mark    *consensuspb.SnapshotMeta
	failed  error
}

// Open reads the log in a folder, makes one where there is none, and cuts a
// torn tail: an append that was never synced was never answered.
func Open(options Options) (*Log, *Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{options: options}
	if err := options.Files.MakeFolder(options.Folder); err != nil {
		return nil, nil, disk.Fault(err, "make %s", options.Folder)
	}
	if err := disk.RemoveTemp(options.Files, options.Folder); err != nil {
		return nil, nil, err
	}
	numbers, err := listSegments(options.Files, options.Folder)
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
	if err := contents.check(options.Folder); err != nil {
		l.Close()
		return nil, nil, err
	}
	l.hard, l.mark = contents.Hard, contents.Snapshot
	if len(numbers) == 0 {
		if err := l.startSegment(1); err != nil {
			return nil, nil, err
		}
	}
	return l, contents, nil
}

func (l *Log) load(number uint64, isLast bool, contents *Contents) error {
	s := segment{number: number, path: filepath.Join(l.options.Folder, segmentName(number))}
	file, err := l.options.Files.Open(s.path)
	if err != nil {
		return disk.Fault(err, "open %s", s.path)
	}
	if isLast {
		l.active = file
	} else {
		defer file.Close()
	}
	data, err := disk.ReadAll(file)
	if err != nil {
		return disk.Fault(err, "read %s", s.path)
	}
	take := func(record *consensuspb.LogRecord) error {
		s.last = max(s.last, lastIndex(record))
		return contents.take(record)
	}
	good, err := readSegment(s.path, number, data, isLast, take)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, s)
	if !isLast {
		return nil
	}
	return l.settleTail(file, good, int64(len(data)))
}

// settleTail cuts a torn tail and syncs what is left: a process that was killed
// between write and sync leaves records that read well and do not last yet.
func (l *Log) settleTail(file disk.File, good, size int64) error {
	if good < size {
		if err := file.Truncate(good); err != nil {
			return disk.Fault(err, "cut the log's tail")
		}
	}
	if err := file.Sync(); err != nil {
		return disk.Fault(err, "sync the log's tail")
	}
	l.synced = good
	return nil
}

// Append writes a hard state (nil: unchanged) and entries with one write and
// one sync. Entries whose indexes the log already has replace its tail.
//
// On a full disk it fails with DiskFull, and without a descriptor for the next segment
// with OutOfDescriptors: it has written nothing, and the same append may be tried again. Once a sync, or a write for another reason, has failed, the
// log refuses everything with DiskFailed: the kernel may have dropped the bytes
// and would call the next sync a success all the same.
func (l *Log) Append(hard *consensuspb.HardState, entries []*consensuspb.Entry) error {
	return l.write(&consensuspb.LogRecord{Hard: hard, Entries: entries})
}

// Mark notes a durable snapshot. A log without that entry, or with another one
// there, is emptied: the snapshot came from the leader and replaces it. An older
// mark is passed over: a save that ends after a newer snapshot was installed
// would set the mark before the log's first entry, and the next start would
// refuse the log as having a gap.
func (l *Log) Mark(meta *consensuspb.SnapshotMeta) error {
	if meta.Index < l.mark.GetIndex() {
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
	if l.synced > segmentHeadBytes && l.synced+int64(len(encoded)) > l.options.SegmentBytes {
		l.rotating = true
	}
	if l.rotating {
		if err := l.rotate(); err != nil {
			return l.refuse(err)
		}
		l.rotating = false
	}
	if _, err := l.active.Write(encoded); err != nil {
		return l.refuse(err)
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err)
	}
	l.synced += int64(len(encoded))
	l.note(record)
	return nil
}

// refuse ends a write before its sync. Where it may be tried again the part of the
// record that was written is cut off: nothing of it was synced, so that nothing lasts
// that the next append could meet.
func (l *Log) refuse(err error) error {
	refused := disk.Fault(err, "write the log in %s", l.options.Folder)
	if !disk.MayTryAgain(refused) {
		return l.fail(err)
	}
	if err := l.active.Truncate(l.synced); err != nil {
		return l.fail(err)
	}
	return refused
}

func (l *Log) note(record *consensuspb.LogRecord) {
	if record.Hard != nil {
		l.hard = record.Hard
	}
	if record.Snapshot != nil {
		l.mark = record.Snapshot
	}
	newest := &l.segments[len(l.segments)-1]
	newest.last = max(newest.last, lastIndex(record))
}

// fail stops the log for good. The bytes that were not synced are cut off, so
// that a restart does not read them from the kernel's cache as if they lasted.
func (l *Log) fail(err error) error {
	l.failed = disk.Fault(err, "write the log in %s", l.options.Folder)
	_ = l.active.Truncate(l.synced)
	return l.failed
}

// rotate starts the next segment. It repeats the hard state and the snapshot
// mark, so that the older segments can go without loss. Where it fails, the
// segment before it is still the active one.
func (l *Log) rotate() error {
	before := l.active
	if err := l.startSegment(l.segments[len(l.segments)-1].number + 1); err != nil {
		return err
	}
	return before.Close()
}

func (l *Log) startSegment(number uint64) error {
	head, err := encodeRecord(segmentHead(number), &consensuspb.LogRecord{Hard: l.hard, Snapshot: l.mark})
	if err != nil {
		return err
	}
	path := filepath.Join(l.options.Folder, segmentName(number))
	if err := disk.Replace(l.options.Files, path, head); err != nil {
		return err
	}
	started, err := l.options.Files.Open(path)
	if err != nil {
		return disk.Fault(err, "open %s", path)
	}
	l.active = started
	l.synced = int64(len(head))
	l.segments = append(l.segments, segment{number: number, path: path})
	return nil
}

// Compact drops the whole segments that hold nothing above an index. Oldest
// first, so that a crash in between leaves no gap.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.options.Files.Remove(l.segments[0].path); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
		l.dropped = true
	}
	if !l.dropped {
		return nil
	}
	if err := l.options.Files.SyncDir(l.options.Folder); err != nil {
		fault := disk.Fault(err, "sync %s", l.options.Folder)
		if disk.MayTryAgain(fault) {
			return fault
		}
		return l.fail(err)
	}
	l.dropped = false
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
