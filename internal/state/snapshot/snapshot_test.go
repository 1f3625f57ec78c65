package snapshot_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
	"pinewinch.example/pinewinch/internal/state/snapshot"
)

const dir = "/snapshots"

func open(t is.T, files *disktest.FS) *snapshot.Store {
	f, err := snapshot.Open(files, dir)
	is.New(t).NoErr(err)
	return f
}

func newSnapshot(index uint64) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Meta: &consensuspb.SnapshotMeta{Index: index, Term: 3},
		Data: bytes.Repeat([]byte{byte(index)}, 1000),
	}
}

func path(index uint64) string { return fmt.Sprintf("%s/%016x-%016x.snap", dir, index, 3) }

// Two snapshots are retained. After power is lost during a save, the newest completed
// snapshot is valid and the one being written is not loaded.
func TestSaveIsDurableAndKeepsTwo(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	f := open(t, files)
	for _, index := range []uint64{10, 20, 30} {
		is.NoErr(f.Save(newSnapshot(index)))
	}
	is.Equal(f.CompactionIndex(), uint64(20))
	files.FailSyncs = 1
	is.True(failure.Is(f.Save(newSnapshot(40)), failure.DiskFailed))
	loaded, err := open(t, files.Crash(7)).Load(11, 45, newSnapshot(30).Meta)
	is.NoErr(err)
	is.Equal(loaded.Meta.Index, uint64(30))
	is.Equal(loaded.Data, newSnapshot(30).Data)
}

// The newest snapshot is corrupted. The older one is used if the log continues from it;
// otherwise the replica refuses to start, because the entries in between would silently be
// missing.
func TestDamagedSnapshotFallsBackOnlyIfLogCoversGap(t *testing.T) {
	cases := map[string]struct {
		first, last uint64
		unmarked    bool // the process ended between saving the snapshot and marking it in the log
		refused     bool
	}{
		"not marked yet, log short": {first: 11, last: 15, unmarked: true, refused: true},
		"not marked yet":            {first: 11, last: 35, unmarked: true},

		"log reaches":            {first: 11, last: 35},
		"log begins too late":    {first: 12, last: 35, refused: true},
		"log ends too early":     {first: 5, last: 19, refused: true},
		"log is empty":           {refused: true},
		"log ends right at mark": {first: 11, last: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			f := open(t, files)
			is.NoErr(f.Save(newSnapshot(10)))
			is.NoErr(f.Save(newSnapshot(20)))
			files.FlipBit(path(20), 100)
			mark := newSnapshot(20).Meta
			if c.unmarked {
				mark = newSnapshot(10).Meta
			}
			loaded, err := open(t, files).Load(c.first, c.last, mark)
			if c.refused {
				is.True(failure.Is(err, failure.Corrupt))
				_, err = open(t, files).Load(c.first, c.last, mark)
				is.True(failure.Is(err, failure.Corrupt)) // the next start fails, too
				return
			}
			is.NoErr(err)
			is.Equal(loaded.Meta.Index, uint64(10))
		})
	}
}

// A transfer is interrupted and the receiver restarts. The transfer resumes where it stopped,
// and data corrupted in transit is never installed.
func TestTransferResumesAndIsChecked(t *testing.T) {
	for _, flip := range []bool{false, true} {
		t.Run(fmt.Sprintf("flip=%v", flip), func(t *testing.T) {
			is := is.New(t)
			source := open(t, disktest.New())
			is.NoErr(source.Save(newSnapshot(20)))
			id, _ := source.Newest()
			files := disktest.New()
			var done bool
			for !done {
				in, err := open(t, files).Receive(id)
				is.NoErr(err)
				chunk, err := source.ReadChunk(id, in.Offset(), 300)
				is.NoErr(err)
				chunk.Data[0] ^= map[bool]byte{true: 1}[flip]
				done, err = in.Add(chunk)
				is.NoErr(err)
				is.NoErr(in.Close())
			}
			target := open(t, files)
			in, err := target.Receive(id)
			is.NoErr(err)
			got, err := in.Finish()
			if flip {
				is.True(failure.Is(err, failure.WrongAnswer))
				is.True(target.Empty())
				return
			}
			is.NoErr(err)
			is.Equal(got.Data, newSnapshot(20).Data)
			loaded, err := open(t, files.Crash(0)).Load(0, 0, nil)
			is.NoErr(err)
			is.Equal(loaded.Meta.Index, uint64(20))
		})
	}
}
