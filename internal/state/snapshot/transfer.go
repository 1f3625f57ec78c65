package snapshot

import (
	"errors"
	"io"
	"io/fs"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// Chunk is a part of a snapshot file that is transferred to another replica.
type Chunk struct {
	ID ID
	// Total is the length of the whole file in bytes.
	Total  int64
	Offset int64
	Data   []byte
}

// ReadChunk returns up to maxBytes of a snapshot file from an offset in bytes. It fails
// with NotFound if the snapshot was removed because of newer ones; the receiver then starts
// over.
func (f *Store) ReadChunk(id ID, offset int64, maxBytes int) (*Chunk, error) {
	path := f.file(id, fileSuffix)
	file, err := f.files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, failure.New(failure.NotFound, "snapshot %d is no longer kept", id.Index)
	}
	if err != nil {
		return nil, disk.WrapError(err, "open %s", path)
	}
	defer file.Close()
	total, err := file.Size()
	if err != nil {
		return nil, disk.WrapError(err, "size of %s", path)
	}
	if offset < 0 || offset > total {
		return nil, failure.New(failure.BadRequest, "offset %d of a snapshot of %d bytes", offset, total)
	}
	data := make([]byte, min(int64(maxBytes), total-offset))
	if _, err := file.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, disk.WrapError(err, "read %s", path)
	}
	return &Chunk{ID: id, Total: total, Offset: offset, Data: data}, nil
}

// Incoming is a snapshot that is received in chunks. Received chunks stay on disk, so that
// an interrupted transfer resumes where it stopped, even after a restart. Nothing is synced
// or used before Finish has verified the whole file.
type Incoming struct {
	store  *Store
	id     ID
	file   disk.File
	offset int64
}

// Receive starts or resumes a transfer and removes partial files of other snapshots.
func (f *Store) Receive(id ID) (*Incoming, error) {
	if err := f.removePartials(id); err != nil {
		return nil, err
	}
	path := f.file(id, partialSuffix)
	file, err := f.files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		file, err = f.files.Create(path)
	}
	if err != nil {
		return nil, disk.WrapError(err, "open %s", path)
	}
	offset, err := file.Size()
	if err != nil {
		file.Close()
		return nil, disk.WrapError(err, "size of %s", path)
	}
	return &Incoming{store: f, id: id, file: file, offset: offset}, nil
}

// Resumable returns the id of a transfer that was started and not finished; false if there
// is none.
func (f *Store) Resumable() (ID, bool) {
	names, err := f.files.Names(f.path)
	if err != nil {
		return ID{}, false
	}
	for _, name := range names {
		if id, ok := parseName(name, partialSuffix); ok {
			return id, true
		}
	}
	return ID{}, false
}

func (f *Store) removePartials(except ID) error {
	names, err := f.files.Names(f.path)
	if err != nil {
		return disk.WrapError(err, "list %s", f.path)
	}
	for _, name := range names {
		id, ok := parseName(name, partialSuffix)
		if !ok || id == except {
			continue
		}
		if err := f.files.Remove(f.file(id, partialSuffix)); err != nil {
			return disk.WrapError(err, "remove %s", name)
		}
	}
	return nil
}

// Offset returns the offset, in bytes, at which the next chunk must start.
func (in *Incoming) Offset() int64 { return in.offset }

// Add writes the next chunk and reports whether it was the last.
func (in *Incoming) Add(c *Chunk) (bool, error) {
	if c.ID != in.id || c.Offset != in.offset || c.Offset+int64(len(c.Data)) > c.Total {
		return false, failure.New(failure.WrongAnswer, "chunk of snapshot %d at offset %d, expected snapshot %d at offset %d", c.ID.Index, c.Offset, in.id.Index, in.offset)
	}
	if _, err := in.file.Write(c.Data); err != nil {
		return false, disk.WrapError(err, "write a chunk")
	}
	in.offset += int64(len(c.Data))
	return in.offset == c.Total, nil
}

// Finish verifies the received file, makes it durable under its final name and returns the
// snapshot. A file that fails verification is removed, so that the transfer starts over.
func (in *Incoming) Finish() (*Snapshot, error) {
	defer in.file.Close()
	f, path := in.store, in.store.file(in.id, partialSuffix)
	content, err := disk.ReadAll(in.file)
	if err != nil {
		return nil, disk.WrapError(err, "read %s", path)
	}
	s, err := decode(path, content)
	if err == nil && idOf(s.Meta) != in.id {
		err = failure.New(failure.Corrupt, "%s holds snapshot %d", path, s.Meta.Index)
	}
	if err != nil {
		_ = f.files.Remove(path)
		return nil, failure.Wrap(failure.WrongAnswer, err, "received snapshot")
	}
	if err := in.install(path); err != nil {
		return nil, disk.WrapError(err, "keep %s", path)
	}
	return s, f.add(in.id)
}

func (in *Incoming) install(path string) error {
	if err := in.file.Sync(); err != nil {
		return err
	}
	if err := in.store.files.Rename(path, in.store.file(in.id, fileSuffix)); err != nil {
		return err
	}
	return in.store.files.SyncDir(in.store.path)
}

// Close closes the partial file and keeps it, so that the transfer can be resumed.
func (in *Incoming) Close() error { return in.file.Close() }
