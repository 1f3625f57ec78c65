// Package snapshot keeps the newest two snapshots of the state machine on disk.
// A snapshot is written aside, synced, renamed and its folder synced; the older
// one stays for the case that the newer is damaged.
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

// kept is how many snapshots stay on disk.
const kept = 2

// Folder is the folder of snapshots. Several goroutines may use it.
type Folder struct {
	files disk.FS
	path  string
	mu    sync.Mutex
	// ids are those on disk, oldest first.
	ids []ID
}

// Open lists the snapshots of a folder and makes it where there is none.
func Open(files disk.FS, path string) (*Folder, error) {
	if err := files.MakeFolder(path); err != nil {
		return nil, disk.Fault(err, "make %s", path)
	}
	if err := disk.RemoveTemp(files, path); err != nil {
		return nil, err
	}
	names, err := files.Names(path)
	if err != nil {
		return nil, disk.Fault(err, "list %s", path)
	}
	f := &Folder{files: files, path: path}
	for _, name := range names {
		if id, ok := parseName(name, fileSuffix); ok {
			f.ids = append(f.ids, id)
		}
	}
	// A crash can bring back the name of one that was removed.
	return f, f.prune()
}

// Empty tells whether there is no snapshot.
func (f *Folder) Empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids) == 0
}

// Newest names the newest snapshot.
func (f *Folder) Newest() (ID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ids) == 0 {
		return ID{}, false
	}
	return f.ids[len(f.ids)-1], true
}

// Oldest is the index up to which the log may be dropped: the older snapshot
// must still be reached by it.
func (f *Folder) Oldest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ids) < kept {
		return 0
	}
	return f.ids[0].Index
}

// Save makes a snapshot durable and drops all but the newest two.
func (f *Folder) Save(s *Snapshot) error {
	meta, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Meta)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode the meta of a snapshot")
	}
	path := f.file(idOf(s.Meta), fileSuffix)
	if err := disk.Replace(f.files, path, encodeHead(meta, s.Data), meta, s.Data); err != nil {
		return err
	}
	return f.add(idOf(s.Meta))
}

// add notes a durable snapshot and removes those no longer kept.
func (f *Folder) add(id ID) error {
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

// prune removes all but the newest.
func (f *Folder) prune() error {
	for len(f.ids) > kept {
		if err := f.files.Remove(f.file(f.ids[0], fileSuffix)); err != nil {
			return disk.Fault(err, "remove an old snapshot")
		}
		f.ids = f.ids[1:]
	}
	return nil
}

// Load gives the newest snapshot that is whole; nil where there is none at all.
// A damaged one is put out of the way and the older one stands in for it, but
// only where the log goes on from there: state that came between would
// otherwise be gone without a word.
func (f *Folder) Load(logFirst, logLast uint64, mark *consensuspb.SnapshotMeta) (*Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var damage error
	for len(f.ids) > 0 {
		id := f.ids[len(f.ids)-1]
		s, err := f.read(id)
		if err == nil {
			return s, checkReach(s.Meta, logFirst, logLast, mark, damage)
		}
		if !failure.Is(err, failure.Corrupt) {
			return nil, err
		}
		damage = err
		if err := f.setAside(id, logFirst, logLast, mark); err != nil {
			return nil, failure.Wrap(failure.Corrupt, damage, "%s", err)
		}
	}
	if damage != nil || mark != nil {
		return nil, failure.Wrap(failure.Corrupt, damage, "%s: no snapshot is whole and the log begins at entry %d", f.path, logFirst)
	}
	return nil, nil
}

func checkReach(meta *consensuspb.SnapshotMeta, logFirst, logLast uint64, mark *consensuspb.SnapshotMeta, damage error) error {
	reaches := logFirst != 0 && logFirst <= meta.Index+1 && logLast >= mark.GetIndex()
	if meta.Index >= mark.GetIndex() || reaches {
		return nil
	}
	return failure.Wrap(failure.Corrupt, damage, "the log holds entries %d to %d: it does not lead from snapshot %d to %d",
		logFirst, logLast, meta.Index, mark.GetIndex())
}

// setAside renames a damaged snapshot, for a person to look at, once it is sure
// that the next older one can stand in.
func (f *Folder) setAside(id ID, logFirst, logLast uint64, mark *consensuspb.SnapshotMeta) error {
	rest := f.ids[:len(f.ids)-1]
	if len(rest) == 0 {
		return failure.New(failure.Corrupt, "no older snapshot")
	}
	// What the damaged one covered must be in the log, marked or not.
	need := &consensuspb.SnapshotMeta{Index: max(id.Index, mark.GetIndex())}
	older := &consensuspb.SnapshotMeta{Index: rest[len(rest)-1].Index}
	if err := checkReach(older, logFirst, logLast, need, nil); err != nil {
		return err
	}
	if err := f.files.Rename(f.file(id, fileSuffix), f.file(id, damagedSuffix)); err != nil {
		return disk.Fault(err, "put a damaged snapshot aside")
	}
	f.ids = rest
	return nil
}

func (f *Folder) read(id ID) (*Snapshot, error) {
	path := f.file(id, fileSuffix)
	content, found, err := disk.ReadFile(f.files, path)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, failure.New(failure.Corrupt, "%s is gone", path)
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

func (f *Folder) file(id ID, suffix string) string {
	return filepath.Join(f.path, id.name()+suffix)
}
