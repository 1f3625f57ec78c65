package wal_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
	"pinewinch.example/pinewinch/internal/state/wal"
)

const folder = "/log"

func open(t is.T, files *disktest.FS, segmentBytes int64) (*wal.Log, *wal.Contents) {
	log, contents, err := wal.Open(wal.Options{Files: files, Folder: folder, SegmentBytes: segmentBytes})
	is.New(t).NoErr(err)
	return log, contents
}

func entries(term uint64, indexes ...uint64) []*consensuspb.Entry {
	var made []*consensuspb.Entry
	for _, index := range indexes {
		made = append(made, &consensuspb.Entry{Index: index, Term: term, Data: []byte("some data of an entry")})
	}
	return made
}

func segmentPath(number string) string {
	return filepath.Join(folder, strings.Repeat("0", 16-len(number))+number+".wal")
}

// The power fails in the middle of a write. Whatever part of it reached the
// disk, what had been synced before is there at the next start and the torn
// part is not; a log that kept half a record would refuse to open for ever.
func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 1, Vote: "a.1"}, entries(1, 1, 2)))
	whole := len(files.Content(segmentPath("1")))
	next := sampleRecord(t)
	for kept := range next {
		torn := files.Crash(0)
		cut, _ := torn.Open(segmentPath("1"))
		_, err := cut.Write(next[:kept])
		is.NoErr(err)
		reopened, contents := open(t, torn, 0)
		is.Equal(len(contents.Entries), 2)
		is.Equal(contents.Hard.Vote, "a.1")
		is.Equal(len(torn.Content(segmentPath("1"))), whole)
		is.NoErr(reopened.Append(nil, entries(1, 3)))
		_, contents = open(t, torn, 0)
		is.Equal(len(contents.Entries), 3)
	}
}

// A replica saves its own snapshot at 50 while it fetches one at 100 from the
// leader. The fetched one is installed first, and the mark of the older save
// comes after it. The log must open again with what was appended since.
func TestAnOlderMarkIsPassedOver(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 1}, entries(1, 1, 2, 3)))
	is.NoErr(log.Mark(&consensuspb.SnapshotMeta{Index: 100, Term: 1}))
	is.NoErr(log.Mark(&consensuspb.SnapshotMeta{Index: 2, Term: 1}))
	is.NoErr(log.Append(nil, entries(1, 101)))
	_, contents := open(t, files.Crash(0), 0)
	is.Equal(contents.Snapshot.Index, uint64(100))
	is.Equal(len(contents.Entries), 1)
}

func sampleRecord(t is.T) []byte {
	files := disktest.New()
	log, _ := open(t, files, 0)
	before := len(files.Content(segmentPath("1")))
	is.New(t).NoErr(log.Append(nil, entries(1, 3)))
	return files.Content(segmentPath("1"))[before:]
}

// A bit flips in a record that was synced and answered long ago. Cutting the
// log there would silently drop everything behind it; the caller must see a
// typed failure that names file and offset.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	for name, segmentBytes := range map[string]int64{"one segment": 0, "older segment": 150} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			log, _ := open(t, files, segmentBytes)
			for index := uint64(1); index <= 6; index++ {
				is.NoErr(log.Append(nil, entries(1, index)))
			}
			files.FlipBit(segmentPath("1"), 60)
			_, _, err := wal.Open(wal.Options{Files: files, Folder: folder, SegmentBytes: segmentBytes})
			is.True(failure.Is(err, failure.Corrupt))
			is.True(strings.Contains(err.Error(), segmentPath("1")+" at offset 36"))
		})
	}
}

// Votes are records without entries. Damage to the last one of an older
// segment, or the loss of a segment that holds only votes, leaves no gap in the
// entries: without a refusal, the replica could vote twice in one term.
func TestDamageToVotesIsRefused(t *testing.T) {
	damages := map[string]func(*disktest.FS){
		"last record of an older segment": func(files *disktest.FS) {
			files.FlipBit(segmentPath("1"), len(files.Content(segmentPath("1")))-1)
		},
		"segment lost": func(files *disktest.FS) { _ = files.Remove(segmentPath("2")) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			log, _ := open(t, files, 150)
			for term := uint64(1); term <= 20; term++ {
				is.NoErr(log.Append(&consensuspb.HardState{Term: term, Vote: "a.1"}, nil))
			}
			damage(files)
			_, _, err := wal.Open(wal.Options{Files: files, Folder: folder})
			is.True(failure.Is(err, failure.Corrupt))
		})
	}
}

// A sync fails and a later one would succeed, although the kernel has dropped
// the bytes. A log that tried again would answer for entries that are gone; this
// one refuses all appends from then on, and a restart finds what was synced.
func TestFailedSyncStopsTheLog(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(nil, entries(1, 1)))
	files.FailSyncs = 1
	is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFailed))
	is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFailed))
	// The process starts again on the same kernel and its cache.
	_, contents := open(t, files, 0)
	is.Equal(len(contents.Entries), 1)
}

// A disk fills up in the middle of a record and has room again later. The part
// that was written must not stay: a restart finds only what was answered for,
// and the same append works once there is room, without a restart.
func TestFullDiskRefusesUntilThereIsRoom(t *testing.T) {
	for name, segment := range map[string]int64{"in a segment": 0, "at a new segment": 40} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			log, _ := open(t, files, segment)
			is.NoErr(log.Append(&consensuspb.HardState{Term: 1}, entries(1, 1)))
			for range 3 {
				files.Room = 10
				is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFull))
				_, contents := open(t, files.Crash(100), segment)
				is.Equal(len(contents.Entries), 1)
			}
			files.Room = -1
			is.NoErr(log.Append(nil, entries(1, 2)))
			is.NoErr(log.Append(nil, entries(1, 3)))
			_, contents := open(t, files.Crash(0), segment)
			is.Equal(len(contents.Entries), 3)
		})
	}
}

// A log that took a process without descriptors for a failed disk, or that went on in
// the segment before a new one which it could not open: an older hard state would follow
// a newer one, and the replica could vote twice in one term.
func TestMissingDescriptorRefusesUntilThereIsOne(t *testing.T) {
	const segment = 200
	for opens := range 3 { // the new segment, its folder, the new segment again
		t.Run(fmt.Sprint("after opening ", opens), func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			log, _ := open(t, files, segment)
			is.NoErr(log.Append(&consensuspb.HardState{Term: 1}, entries(1, 1)))
			files.FreeDescriptors = opens
			refused := log.Append(nil, []*consensuspb.Entry{{Index: 2, Term: 1, Data: make([]byte, segment)}})
			is.True(failure.Is(refused, failure.OutOfDescriptors))
			newer := &consensuspb.HardState{Term: 2, Vote: "b.1"}
			is.True(failure.Is(log.Append(newer, nil), failure.OutOfDescriptors))
			files.FreeDescriptors = -1
			is.NoErr(log.Append(newer, nil))
			is.NoErr(log.Append(nil, entries(1, 2)))
			_, contents := open(t, files.Crash(0), segment)
			is.Equal(contents.Hard.Term, uint64(2))
			is.Equal(len(contents.Entries), 2)
		})
	}
}

// Segments that were dropped, and a folder that could not be synced for want of a
// descriptor: the log must not refuse everything from then on.
func TestCompactGoesOnWithoutADescriptor(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 40)
	for index := uint64(1); index <= 5; index++ {
		is.NoErr(log.Append(nil, entries(1, index)))
	}
	files.FreeDescriptors = 0
	is.True(failure.Is(log.Compact(3), failure.OutOfDescriptors))
	files.FreeDescriptors = -1
	is.NoErr(log.Compact(3))
	is.NoErr(log.Append(nil, entries(1, 6)))
}

// Segments below a snapshot go, oldest first; the hard state that they held
// must not go with them, or a replica could vote twice in one term.
func TestCompactKeepsHardStateAndTail(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 200)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 7, Vote: "b.2"}, nil))
	for index := uint64(1); index <= 30; index++ {
		is.NoErr(log.Append(nil, entries(7, index)))
	}
	is.NoErr(log.Mark(&consensuspb.SnapshotMeta{Index: 20, Term: 7}))
	is.NoErr(log.Compact(20))
	names, _ := files.Names(folder)
	is.True(len(names) < 8)
	_, contents := open(t, files.Crash(0), 200)
	is.Equal(contents.Hard.Vote, "b.2")
	is.Equal(contents.Snapshot.Index, uint64(20))
	is.True(contents.Entries[0].Index <= 21)
	is.Equal(contents.Entries[len(contents.Entries)-1].Index, uint64(30))
}

// model is what the log must give back: what was appended with success.
type model struct {
	hard    *consensuspb.HardState
	entries []*consensuspb.Entry
	mark    *consensuspb.SnapshotMeta
}

// Appends, replaced tails, snapshots from here and from the leader, crashes with
// any part of an unsynced write kept, full disks and failed syncs, in any
// order: the log gives back exactly what it had acknowledged.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := disktest.New()
		log, _ := open(t, files, 400)
		m := &model{}
		term := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			last := m.mark.GetIndex()
			if len(m.entries) > 0 {
				last = m.entries[len(m.entries)-1].Index
			}
			switch rapid.SampledFrom([]string{"append", "append", "replace", "snapshot", "install", "crash", "fault", "full"}).Draw(t, "step") {
			case "append":
				m.append(t, log, last+1, term)
			case "replace":
				term++
				m.append(t, log, rapid.Uint64Range(m.mark.GetIndex()+1, last+1).Draw(t, "from"), term)
			case "snapshot":
				if len(m.entries) > 0 {
					at := rapid.SampledFrom(m.entries).Draw(t, "at")
					m.snapshot(t, log, at.Index, at.Term)
				}
			case "install":
				term++
				m.snapshot(t, log, last+rapid.Uint64Range(1, 5).Draw(t, "ahead"), term)
				m.entries = nil
			case "full":
				files.Room = rapid.IntRange(0, 60).Draw(t, "room")
				if err := log.Append(nil, entries(term, last+1)); err == nil {
					m.entries = append(m.entries, entries(term, last+1)...)
				}
				files.Room = -1
			case "fault":
				files.FailSyncs = 1
				_ = log.Append(nil, entries(term, last+1))
				files = files.Crash(0)
				log = m.reopen(t, files)
			case "crash":
				files = files.Crash(rapid.IntRange(0, 100).Draw(t, "kept"))
				log = m.reopen(t, files)
			}
		}
		m.reopen(t, files)
	})
}

func (m *model) append(t *rapid.T, log *wal.Log, from, term uint64) {
	var indexes []uint64
	for i := range rapid.Uint64Range(1, 4).Draw(t, "count") {
		indexes = append(indexes, from+i)
	}
	made := entries(term, indexes...)
	m.hard = &consensuspb.HardState{Term: term, Commit: from}
	if err := log.Append(m.hard, made); err != nil {
		t.Fatal(err)
	}
	if len(m.entries) > 0 {
		m.entries = m.entries[:from-m.entries[0].Index]
	}
	m.entries = append(m.entries, made...)
}

func (m *model) snapshot(t *rapid.T, log *wal.Log, index, term uint64) {
	m.mark = &consensuspb.SnapshotMeta{Index: index, Term: term}
	if err := log.Mark(m.mark); err != nil {
		t.Fatal(err)
	}
	if err := log.Compact(index); err != nil {
		t.Fatal(err)
	}
	for len(m.entries) > 0 && m.entries[0].Index <= index {
		m.entries = m.entries[1:]
	}
}

func (m *model) reopen(t *rapid.T, files *disktest.FS) *wal.Log {
	is := is.New(t)
	log, contents := open(t, files, 400)
	is.Equal(contents.Hard.GetTerm(), m.hard.GetTerm())
	is.Equal(contents.Snapshot.GetIndex(), m.mark.GetIndex())
	kept := contents.Entries
	for len(kept) > 0 && kept[0].Index <= m.mark.GetIndex() {
		kept = kept[1:]
	}
	is.Equal(len(kept), len(m.entries))
	for i, entry := range kept {
		is.Equal(entry.Index, m.entries[i].Index)
		is.Equal(entry.Term, m.entries[i].Term)
	}
	return log
}
