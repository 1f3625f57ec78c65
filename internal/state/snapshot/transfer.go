package snapshot

import (
	"errors"
	"io"
	"io/fs"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// Chunk is a part of a snapshot file on its way to another replica.
type Chunk struct {
	ID ID
	// Total is the length of the file in bytes.
	Total  int64
	Offset int64
	Data   []byte
}

// ReadChunk gives up to maxBytes of a snapshot file. It fails with not_found
// when a newer snapshot has replaced that one: the receiver then begins anew.
func (f *Folder) ReadChunk(id ID, offset int64, maxBytes int) (*Chunk, error) {
	path := f.file(id, fileSuffix)
	file, err := f.files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, failure.New(failure.NotFound, "snapshot %d is no longer kept", id.Index)
	}
	if err != nil {
		return nil, disk.Fault(err, "open %s", path)
	}
	defer file.Close()
	total, err := file.Size()
	if err != nil {
		return nil, disk.Fault(err, "size of %s", path)
	}
	if offset < 0 || offset > total {
		return nil, failure.New(failure.BadRequest, "offset %d of a snapshot of %d bytes", offset, total)
	}
	data := make([]byte, min(int64(maxBytes), total-offset))
	if _, err := file.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, disk.Fault(err, "read %s", path)
	}
	return &Chunk{ID: id, Total: total, Offset: offset, Data: data}, nil
}

// Incoming is a snapshot that comes in chunks. What was received stays on disk,
// so that a broken transfer goes on where it stopped, also after a restart.
// Nothing of it is synced or trusted before Finish has checked the whole.
type Incoming struct {
	folder *Folder
	id     ID
	file   disk.File
	offset int64
}

// Receive begins or resumes a transfer. Parts of other snapshots are dropped.
func (f *Folder) Receive(id ID) (*Incoming, error) {
	if err := f.dropPartials(id); err != nil {
		return nil, err
	}
	path := f.file(id, partialSuffix)
	file, err := f.files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		file, err = f.files.Create(path)
	}
	if err != nil {
		return nil, disk.Fault(err, "open %s", path)
	}
	offset, err := file.Size()
	if err != nil {
		file.Close()
		return nil, disk.Fault(err, "size of %s", path)
	}
	return &Incoming{folder: f, id: id, file: file, offset: offset}, nil
}

// Resumable names a transfer that was begun and not finished.
func (f *Folder) Resumable() (ID, bool) {
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

func (f *Folder) dropPartials(but ID) error {
	names, err := f.files.Names(f.path)
	if err != nil {
		return disk.Fault(err, "list %s", f.path)
	}
	for _, name := range names {
		id, ok := parseName(name, partialSuffix)
		if !ok || id == but {
			continue
		}
		if err := f.files.Remove(f.file(id, partialSuffix)); err != nil {
			return disk.Fault(err, "remove %s", name)
		}
	}
	return nil
}

// Offset is where the next chunk must begin.
func (in *Incoming) Offset() int64 { return in.offset }

// Add takes the next chunk and tells whether it was the last.
func (in *Incoming) Add(c *Chunk) (bool, error) {
	if c.ID != in.id || c.Offset != in.offset || c.Offset+int64(len(c.Data)) > c.Total {
		return false, failure.New(failure.WrongAnswer, "chunk of snapshot %d at %d, wanted %d at %d", c.ID.Index, c.Offset, in.id.Index, in.offset)
	}
	if _, err := in.file.Write(c.Data); err != nil {
		return false, disk.Fault(err, "write a chunk")
	}
	in.offset += int64(len(c.Data))
	return in.offset == c.Total, nil
}

// Finish checks the whole, makes it durable under its name and gives it back.
// A transfer whose checksum differs is dropped and begins anew.
func (in *Incoming) Finish() (*Snapshot, error) {
	defer in.file.Close()
	f, path := in.folder, in.folder.file(in.id, partialSuffix)
	content, err := disk.ReadAll(in.file)
	if err != nil {
		return nil, disk.Fault(err, "read %s", path)
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
		return nil, disk.Fault(err, "keep %s", path)
	}
	return s, f.add(in.id)
}

func (in *Incoming) install(path string) error {
	if err := in.file.Sync(); err != nil {
		return err
	}
	if err := in.folder.files.Rename(path, in.folder.file(in.id, fileSuffix)); err != nil {
		return err
	}
	return in.folder.files.SyncDir(in.folder.path)
}

// Close leaves a transfer to be resumed.
func (in *Incoming) Close() error { return in.file.Close() }
