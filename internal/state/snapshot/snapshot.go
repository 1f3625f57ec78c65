// Package snapshot stores the two newest snapshots of the state machine on disk. A
// snapshot is written to a temporary file, which is synced and renamed, and then the
// directory is synced. The older snapshot is the fallback if the newer one is corrupted.
package snapshot

import (
	"path/filepath"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// retained is the number of snapshots kept on disk.
const retained = 2

// Store is a directory of snapshots. It is safe for concurrent use.
type Store struct {
	files disk.FS
	path  string
	mu    sync.Mutex
	// ids are the snapshots on disk, oldest first.
	ids []ID
}

// Open lists the snapshots in a directory and creates the directory if it doesn't exist.
func Open(files disk.FS, path string) (*Store, error) {
	if err := files.MkdirAll(path); err != nil {
		return nil, disk.WrapError(err, "create %s", path)
	}
	if err := disk.RemoveTemp(files, path); err != nil {
		return nil, err
	}
	names, err := files.Names(path)
	if err != nil {
		return nil, disk.WrapError(err, "list %s", path)
	}
	f := &Store{files: files, path: path}
	for _, name := range names {
		if id, ok := parseName(name, fileSuffix); ok {
			f.ids = append(f.ids, id)
		}
	}
	// After a crash, a removed snapshot can be back if the directory was not synced.
	return f, f.prune()
}

// Empty reports whether there is no snapshot.
func (f *Store) Empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids) == 0
}

// Newest returns the id of the newest snapshot; false if there is none.
func (f *Store) Newest() (ID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ids) == 0 {
		return ID{}, false
	}
	return f.ids[len(f.ids)-1], true
}

// CompactionIndex returns the index up to which the log may be compacted, or 0 if it may not
// be: the log must still continue from the older snapshot, which is the fallback.
func (f *Store) CompactionIndex() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ids) < retained {
		return 0
	}
	return f.ids[0].Index
}

// Save makes a snapshot durable and removes all but the two newest.
func (f *Store) Save(s *Snapshot) error {
	meta, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Meta)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode the meta of a snapshot")
	}
	path := f.file(idOf(s.Meta), fileSuffix)
	if err := disk.Replace(f.files, path, encodeHeader(meta, s.Data), meta, s.Data); err != nil {
		return err
	}
	return f.add(idOf(s.Meta))
}

// add records a durable snapshot and removes those that are no longer retained.
func (f *Store) add(id ID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, have := range f.ids {
		if have == id {
			return nil
		}
	}
	f.ids = append(f.ids, id)
	sort.Slice(f.ids, func(i, j int) bool { return f.ids[i].Index < f.ids[j].Index })
	return f.prune()
}

// prune removes all but the newest retained snapshots.
func (f *Store) prune() error {
	for len(f.ids) > retained {
		if err := f.files.Remove(f.file(f.ids[0], fileSuffix)); err != nil {
			return disk.WrapError(err, "remove an old snapshot")
		}
		f.ids = f.ids[1:]
	}
	return nil
}

// Load returns the newest valid snapshot, or nil if there is none at all. A corrupted one
// is renamed and the older one used instead, but only if the log continues from there:
// otherwise the state in between would be lost silently. logFirst and logLast are the
// indexes of the first and last entries of the log, 0 if it has none; mark is its newest
// snapshot marker, or nil.
func (f *Store) Load(logFirst, logLast uint64, mark *consensuspb.SnapshotMeta) (*Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var damage error
	for len(f.ids) > 0 {
		id := f.ids[len(f.ids)-1]
		s, err := f.read(id)
		if err == nil {
			return s, checkLogCovers(s.Meta, logFirst, logLast, mark, damage)
		}
		if !failure.Is(err, failure.Corrupt) {
			return nil, err
		}
		damage = err
		if err := f.renameDamaged(id, logFirst, logLast, mark); err != nil {
			return nil, failure.Wrap(failure.Corrupt, damage, "%s", err)
		}
	}
	if damage != nil || mark != nil {
		return nil, failure.Wrap(failure.Corrupt, damage, "%s: no valid snapshot, and the log begins at entry %d", f.path, logFirst)
	}
	return nil, nil
}

func checkLogCovers(meta *consensuspb.SnapshotMeta, logFirst, logLast uint64, mark *consensuspb.SnapshotMeta, damage error) error {
	covered := logFirst != 0 && logFirst <= meta.Index+1 && logLast >= mark.GetIndex()
	if meta.Index >= mark.GetIndex() || covered {
		return nil
	}
	return failure.Wrap(failure.Corrupt, damage, "the log holds entries %d to %d, which do not cover the gap from snapshot %d to %d",
		logFirst, logLast, meta.Index, mark.GetIndex())
}

// renameDamaged renames a corrupted snapshot, which is kept for inspection, after checking
// that the next older one can replace it.
func (f *Store) renameDamaged(id ID, logFirst, logLast uint64, mark *consensuspb.SnapshotMeta) error {
	rest := f.ids[:len(f.ids)-1]
	if len(rest) == 0 {
		return failure.New(failure.Corrupt, "no older snapshot")
	}
	// The log must cover the state of the corrupted snapshot, even if its marker was not
	// written yet.
	need := &consensuspb.SnapshotMeta{Index: max(id.Index, mark.GetIndex())}
	older := &consensuspb.SnapshotMeta{Index: rest[len(rest)-1].Index}
	if err := checkLogCovers(older, logFirst, logLast, need, nil); err != nil {
		return err
	}
	if err := f.files.Rename(f.file(id, fileSuffix), f.file(id, damagedSuffix)); err != nil {
		return disk.WrapError(err, "rename a corrupted snapshot")
	}
	f.ids = rest
	return nil
}

func (f *Store) read(id ID) (*Snapshot, error) {
	path := f.file(id, fileSuffix)
	content, found, err := disk.ReadFile(f.files, path)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, failure.New(failure.Corrupt, "%s does not exist", path)
	}
	s, err := decode(path, content)
	if err != nil {
		return nil, err
	}
	if idOf(s.Meta) != id {
		return nil, failure.New(failure.Corrupt, "%s holds snapshot %d", path, s.Meta.Index)
	}
	return s, nil
}

func (f *Store) file(id ID, suffix string) string {
	return filepath.Join(f.path, id.name()+suffix)
}
