package replica

import (
	"path/filepath"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/snapshot"
	"pinewinch.example/pinewinch/internal/state/store"
	"pinewinch.example/pinewinch/internal/state/wal"
)

// Names in the data folder.
const (
	logFolder      = "log"
	snapshotFolder = "snapshots"
	// firstFile holds the configuration that the cluster was founded with.
	firstFile = "first"
)

// storage is a replica's data folder.
type storage struct {
	files     disk.FS
	folder    string
	lock      *disk.Lock
	identity  string
	log       *wal.Log
	snapshots *snapshot.Folder
	// first is the founding configuration; nil where this replica did not found.
	first *consensuspb.Configuration
}

// recovery is what the disk gave back.
type recovery struct {
	consensus consensus.Recovered
	state     *store.State
}

func openStorage(config *Config) (*storage, *recovery, error) {
	s := &storage{files: config.Files, folder: config.DataFolder}
	if _, real := config.Files.(disk.OS); real {
		lock, err := disk.TakeLock(config.DataFolder)
		if err != nil {
			return nil, nil, err
		}
		s.lock = lock
	}
	recovered, err := s.open(config.Instance)
	if err != nil {
		s.close()
		return nil, nil, err
	}
	return s, recovered, nil
}

func (s *storage) open(instance string) (*recovery, error) {
	used, err := s.used()
	if err != nil {
		return nil, err
	}
	if s.identity, err = disk.Identity(s.files, s.folder, instance, used, ulid.Make()); err != nil {
		return nil, err
	}
	log, contents, err := wal.Open(wal.Options{Files: s.files, Folder: s.path(logFolder)})
	if err != nil {
		return nil, err
	}
	s.log = log
	if s.snapshots, err = snapshot.Open(s.files, s.path(snapshotFolder)); err != nil {
		return nil, err
	}
	if err := s.readFirst(); err != nil {
		return nil, err
	}
	if s.first != nil && s.snapshots.Empty() {
		// The process died in the middle of founding.
		if err := s.found(s.first); err != nil {
			return nil, err
		}
	}
	return s.recover(contents)
}

// used tells whether the folder ever held a log: one whose identity is missing
// then is damaged and not new.
func (s *storage) used() (bool, error) {
	for _, folder := range []string{logFolder, snapshotFolder} {
		if err := s.files.MakeFolder(s.path(folder)); err != nil {
			return false, disk.Fault(err, "make %s", s.path(folder))
		}
		names, err := s.files.Names(s.path(folder))
		if err != nil {
			return false, disk.Fault(err, "list %s", s.path(folder))
		}
		if len(names) > 0 {
			return true, nil
		}
	}
	return false, nil
}

func (s *storage) recover(contents *wal.Contents) (*recovery, error) {
	newest, err := s.snapshots.Load(contents.First(), contents.Last(), contents.Snapshot)
	if err != nil {
		return nil, err
	}
	r := &recovery{state: store.New()}
	r.consensus.Hard = contents.Hard
	if newest == nil {
		r.consensus.Entries = contents.Entries
		return r, nil
	}
	if newest.Meta.Index > contents.Snapshot.GetIndex() {
		// The process died between making the snapshot durable and marking it.
		if err := s.log.Mark(newest.Meta); err != nil {
			return nil, err
		}
		contents.Mark(newest.Meta)
	}
	if r.state, err = decodeState(newest.Data); err != nil {
		return nil, err
	}
	r.consensus.Snapshot = newest.Meta
	r.consensus.Applied = newest.Meta.Index
	for _, entry := range contents.Entries {
		if entry.Index > newest.Meta.Index {
			r.consensus.Entries = append(r.consensus.Entries, entry)
		}
	}
	return r, nil
}

// found makes the first state of a cluster durable: the same bytes on every
// founder. The configuration comes first, so that a crash in between is seen at
// the next start.
func (s *storage) found(first *consensuspb.Configuration) error {
	encoded, err := encoding.Marshal(first)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode the first configuration")
	}
	if err := disk.Replace(s.files, s.path(firstFile), encoded); err != nil {
		return err
	}
	s.first = first
	founded := consensus.Bootstrap(first.Members)
	data, err := encodeState(store.Restore(&controlpb.Snapshot{Index: founded.Snapshot.Index}))
	if err != nil {
		return err
	}
	if err := s.snapshots.Save(&snapshot.Snapshot{Meta: founded.Snapshot, Data: data}); err != nil {
		return err
	}
	return s.log.Mark(founded.Snapshot)
}

func (s *storage) readFirst() error {
	content, found, err := disk.ReadFile(s.files, s.path(firstFile))
	if err != nil || !found {
		return err
	}
	s.first = &consensuspb.Configuration{}
	if err := proto.Unmarshal(content, s.first); err != nil {
		return failure.Wrap(failure.Corrupt, err, "%s", s.path(firstFile))
	}
	return nil
}

// newestSnapshot is the index of the newest durable snapshot; 0 where there is none.
func (s *storage) newestSnapshot() uint64 {
	newest, _ := s.snapshots.Newest()
	return newest.Index
}

func (s *storage) path(name string) string { return filepath.Join(s.folder, name) }

func (s *storage) close() {
	if s.log != nil {
		_ = s.log.Close()
	}
	if s.lock != nil {
		_ = s.lock.Release()
	}
}

var encoding = proto.MarshalOptions{Deterministic: true}

func encodeState(state *store.State) ([]byte, error) {
	data, err := encoding.Marshal(state.Snapshot())
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a snapshot")
	}
	return data, nil
}

func decodeState(data []byte) (*store.State, error) {
	decoded := &controlpb.Snapshot{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		return nil, failure.Wrap(failure.Corrupt, err, "snapshot does not decode")
	}
	return store.Restore(decoded), nil
}
