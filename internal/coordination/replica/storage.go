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
	// initialFile contains the initial configuration of the cluster.
	initialFile = "first"
)

// storage is a replica's data folder.
type storage struct {
	files     disk.FS
	folder    string
	lock      *disk.Lock
	identity  string
	log       *wal.Log
	snapshots *snapshot.Store
	// initial is the initial configuration; nil if this replica did not take part in the
	// bootstrap.
	initial *consensuspb.Configuration
	// starts are the starts that the folder remembers, up to the present one.
	starts disk.Starts
}

// recovery is what was recovered from disk.
type recovery struct {
	consensus consensus.Recovered
	state     *store.State
}

func openStorage(config *Config) (*storage, *recovery, error) {
	s := &storage{files: config.Files, folder: config.DataFolder}
	if _, real := config.Files.(disk.OS); real {
		lock, err := disk.AcquireLock(config.DataFolder)
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
	if err := disk.SetAside(s.files, s.folder, []string{logFolder, snapshotFolder, initialFile}, ulid.Make()); err != nil {
		return nil, err
	}
	used, err := s.used()
	if err != nil {
		return nil, err
	}
	if s.identity, err = disk.Identity(s.files, s.folder, instance, used, ulid.Make()); err != nil {
		return nil, err
	}
	if err := s.recordStart(); err != nil {
		return nil, err
	}
	log, contents, err := wal.Open(wal.Options{Files: s.files, Dir: s.path(logFolder)})
	if err != nil {
		return nil, err
	}
	s.log = log
	if s.snapshots, err = snapshot.Open(s.files, s.path(snapshotFolder)); err != nil {
		return nil, err
	}
	if err := s.readInitial(); err != nil {
		return nil, err
	}
	if s.initial != nil && s.snapshots.Empty() {
		// The process crashed during the bootstrap.
		if err := s.bootstrap(s.initial); err != nil {
			return nil, err
		}
	}
	return s.recover(contents)
}

// recordStart records this start in the folder. Without room for it the replica goes on under its
// last start.
func (s *storage) recordStart() error {
	starts, err := disk.ReadStarts(s.files, s.folder)
	if err != nil {
		return err
	}
	s.starts, err = starts.Record(s.files, s.folder, ulid.Make())
	if disk.Retryable(err) {
		return nil
	}
	return err
}

// used reports whether the folder ever contained a log: if so and its identity is
// missing, it is damaged rather than new.
func (s *storage) used() (bool, error) {
	for _, folder := range []string{logFolder, snapshotFolder} {
		if err := s.files.MkdirAll(s.path(folder)); err != nil {
			return false, disk.WrapError(err, "make %s", s.path(folder))
		}
		names, err := s.files.Names(s.path(folder))
		if err != nil {
			return false, disk.WrapError(err, "list %s", s.path(folder))
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
	r.consensus.Hard = contents.HardState
	if newest == nil {
		r.consensus.Entries = contents.Entries
		return r, nil
	}
	if newest.Meta.Index > contents.Snapshot.GetIndex() {
		// The process crashed between making the snapshot durable and marking it.
		if err := s.log.MarkSnapshot(newest.Meta); err != nil {
			return nil, err
		}
		contents.MarkSnapshot(newest.Meta)
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

// bootstrap makes the initial state of a cluster durable, with the same bytes on every
// voter. The configuration is written first, so that a crash in between is detected at
// the next start.
func (s *storage) bootstrap(initial *consensuspb.Configuration) error {
	encoded, err := encoding.Marshal(initial)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode the initial configuration")
	}
	if err := disk.Replace(s.files, s.path(initialFile), encoded); err != nil {
		return err
	}
	s.initial = initial
	bootstrapped := consensus.Bootstrap(initial.Members)
	data, err := encodeState(store.NewAt(bootstrapped.Snapshot.Index))
	if err != nil {
		return err
	}
	if err := s.snapshots.Save(&snapshot.Snapshot{Meta: bootstrapped.Snapshot, Data: data}); err != nil {
		return err
	}
	return s.log.MarkSnapshot(bootstrapped.Snapshot)
}

func (s *storage) readInitial() error {
	content, found, err := disk.ReadFile(s.files, s.path(initialFile))
	if err != nil || !found {
		return err
	}
	s.initial = &consensuspb.Configuration{}
	if err := proto.Unmarshal(content, s.initial); err != nil {
		return failure.Wrap(failure.Corrupt, err, "%s", s.path(initialFile))
	}
	return nil
}

// newestSnapshot returns the index of the newest durable snapshot; 0 if there is none.
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
		return nil, failure.Wrap(failure.Corrupt, err, "decode snapshot")
	}
	return store.Restore(decoded), nil
}
