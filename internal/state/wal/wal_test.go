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

const dir = "/log"

func open(t is.T, files *disktest.FS, segmentBytes int64) (*wal.Log, *wal.Contents) {
	log, contents, err := wal.Open(wal.Options{Files: files, Dir: dir, SegmentBytes: segmentBytes})
	is.New(t).NoErr(err)
	return log, contents
}

func entries(term uint64, indexes ...uint64) []*consensuspb.Entry {
	var created []*consensuspb.Entry
	for _, index := range indexes {
		created = append(created, &consensuspb.Entry{Index: index, Term: term, Data: []byte("some data of an entry")})
	}
	return created
}

func segmentPath(number string) string {
	return filepath.Join(dir, strings.Repeat("0", 16-len(number))+number+".wal")
}

// Power is lost during a write. Whatever part of it reached the disk, the next start finds
// all records synced before and not the torn one; a log that kept a partial record could
// never be opened again.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 1, Vote: "a.1"}, entries(1, 1, 2)))
	validBytes := len(files.Content(segmentPath("1")))
	next := sampleRecord(t)
	for kept := range next {
		torn := files.Crash(0)
		segment, _ := torn.Open(segmentPath("1"))
		_, err := segment.Write(next[:kept])
		is.NoErr(err)
		reopened, contents := open(t, torn, 0)
		is.Equal(len(contents.Entries), 2)
		is.Equal(contents.HardState.Vote, "a.1")
		is.Equal(len(torn.Content(segmentPath("1"))), validBytes)
		is.NoErr(reopened.Append(nil, entries(1, 3)))
		_, contents = open(t, torn, 0)
		is.Equal(len(contents.Entries), 3)
	}
}

// A replica saves its own snapshot (here at index 2) while it fetches a newer one (here at
// index 100) from the leader. The fetched snapshot is installed first, and the marker of the
// older one follows. The log must open again with the entries appended since.
func TestOlderSnapshotMarkIsIgnored(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 1}, entries(1, 1, 2, 3)))
	is.NoErr(log.MarkSnapshot(&consensuspb.SnapshotMeta{Index: 100, Term: 1}))
	is.NoErr(log.MarkSnapshot(&consensuspb.SnapshotMeta{Index: 2, Term: 1}))
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

// A bit flips in a record that was synced and acknowledged long ago. Truncating the log
// there would silently drop all later records; Open must fail with Corrupt and name the file
// and offset.
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
			_, _, err := wal.Open(wal.Options{Files: files, Dir: dir, SegmentBytes: segmentBytes})
			is.True(failure.Is(err, failure.Corrupt))
			is.True(strings.Contains(err.Error(), segmentPath("1")+" at offset 36"))
		})
	}
}

// Votes are records without entries. Corruption of the last one of an older segment, or the
// loss of a segment with only votes, leaves no gap in the entries, but must be detected, or
// the replica could vote twice in one term.
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
			_, _, err := wal.Open(wal.Options{Files: files, Dir: dir})
			is.True(failure.Is(err, failure.Corrupt))
		})
	}
}

// A sync fails and a later one would succeed although the kernel has dropped the data. A
// retry would acknowledge entries that are lost, so the log must refuse all further appends,
// and a restart must find only what was synced.
func TestFailedSyncStopsTheLog(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	is.NoErr(log.Append(nil, entries(1, 1)))
	files.FailSyncs = 1
	is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFailed))
	is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFailed))
	// The process restarts on the same kernel, with its page cache.
	_, contents := open(t, files, 0)
	is.Equal(len(contents.Entries), 1)
}

// The disk fills up in the middle of a record and has free space again later. The partial
// record must be removed: a restart finds only acknowledged entries, and the same append
// succeeds without a restart once there is space.
func TestAppendsResumeAfterDiskFull(t *testing.T) {
	for name, segment := range map[string]int64{"in a segment": 0, "at a new segment": 40} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := disktest.New()
			log, _ := open(t, files, segment)
			is.NoErr(log.Append(&consensuspb.HardState{Term: 1}, entries(1, 1)))
			for range 3 {
				files.FreeBytes = 10
				is.True(failure.Is(log.Append(nil, entries(1, 2)), failure.DiskFull))
				_, contents := open(t, files.Crash(100), segment)
				is.Equal(len(contents.Entries), 1)
			}
			files.FreeBytes = -1
			is.NoErr(log.Append(nil, entries(1, 2)))
			is.NoErr(log.Append(nil, entries(1, 3)))
			_, contents := open(t, files.Crash(0), segment)
			is.Equal(len(contents.Entries), 3)
		})
	}
}

// The process has no free descriptor when the log starts a new segment. The log must not take
// that for a failed disk, and must not continue in the previous segment: the new segment's
// file may already hold the older hard state, which would then follow a newer one, and the
// replica could vote twice in one term.
func TestAppendsResumeAfterOutOfDescriptors(t *testing.T) {
	const segment = 200
	for opens := range 3 { // the new segment, its directory, the new segment again
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
			is.Equal(contents.HardState.Term, uint64(2))
			is.Equal(len(contents.Entries), 2)
		})
	}
}

// Segments were removed, but the directory could not be synced because no descriptor was
// free. The log must not refuse everything from then on.
func TestCompactCanBeRetriedAfterOutOfDescriptors(t *testing.T) {
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

// Compaction removes segments below a snapshot. The hard state in them must be preserved, or
// the replica could vote twice in one term.
func TestCompactKeepsHardStateAndTail(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 200)
	is.NoErr(log.Append(&consensuspb.HardState{Term: 7, Vote: "b.2"}, nil))
	for index := uint64(1); index <= 30; index++ {
		is.NoErr(log.Append(nil, entries(7, index)))
	}
	is.NoErr(log.MarkSnapshot(&consensuspb.SnapshotMeta{Index: 20, Term: 7}))
	is.NoErr(log.Compact(20))
	names, _ := files.Names(dir)
	is.True(len(names) < 8)
	_, contents := open(t, files.Crash(0), 200)
	is.Equal(contents.HardState.Vote, "b.2")
	is.Equal(contents.Snapshot.Index, uint64(20))
	is.True(contents.Entries[0].Index <= 21)
	is.Equal(contents.Entries[len(contents.Entries)-1].Index, uint64(30))
}

// model is the expected content of the log: everything that was appended successfully.
type model struct {
	hard         *consensuspb.HardState
	entries      []*consensuspb.Entry
	snapshotMeta *consensuspb.SnapshotMeta
}

// Appends, replaced tails, local and installed snapshots, crashes that keep any part of an
// unsynced write, full disks and failed syncs happen in random order. A reopened log must
// contain exactly what was acknowledged.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := disktest.New()
		log, _ := open(t, files, 400)
		m := &model{}
		term := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			last := m.snapshotMeta.GetIndex()
			if len(m.entries) > 0 {
				last = m.entries[len(m.entries)-1].Index
			}
			switch rapid.SampledFrom([]string{"append", "append", "replace", "snapshot", "install", "crash", "fault", "full"}).Draw(t, "step") {
			case "append":
				m.append(t, log, last+1, term)
			case "replace":
				term++
				m.append(t, log, rapid.Uint64Range(m.snapshotMeta.GetIndex()+1, last+1).Draw(t, "from"), term)
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
				files.FreeBytes = rapid.IntRange(0, 60).Draw(t, "room")
				if err := log.Append(nil, entries(term, last+1)); err == nil {
					m.entries = append(m.entries, entries(term, last+1)...)
				}
				files.FreeBytes = -1
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
	appended := entries(term, indexes...)
	m.hard = &consensuspb.HardState{Term: term, Commit: from}
	if err := log.Append(m.hard, appended); err != nil {
		t.Fatal(err)
	}
	if len(m.entries) > 0 {
		m.entries = m.entries[:from-m.entries[0].Index]
	}
	m.entries = append(m.entries, appended...)
}

func (m *model) snapshot(t *rapid.T, log *wal.Log, index, term uint64) {
	m.snapshotMeta = &consensuspb.SnapshotMeta{Index: index, Term: term}
	if err := log.MarkSnapshot(m.snapshotMeta); err != nil {
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
	is.Equal(contents.HardState.GetTerm(), m.hard.GetTerm())
	is.Equal(contents.Snapshot.GetIndex(), m.snapshotMeta.GetIndex())
	kept := contents.Entries
	for len(kept) > 0 && kept[0].Index <= m.snapshotMeta.GetIndex() {
		kept = kept[1:]
	}
	is.Equal(len(kept), len(m.entries))
	for i, entry := range kept {
		is.Equal(entry.Index, m.entries[i].Index)
		is.Equal(entry.Term, m.entries[i].Term)
	}
	return log
}

// A replica that was away receives many large entries before its next sync. One record of
// them all would exceed what can be read again, and the replica would end.
func TestLargeAppendIsReadAgain(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	log, _ := open(t, files, 0)
	large := entries(1, 1, 2, 3, 4, 5, 6, 7)
	for _, entry := range large {
		entry.Data = make([]byte, 10<<20)
	}
	is.NoErr(log.Append(&consensuspb.HardState{Term: 1, Vote: "a.1"}, large))
	_, contents := open(t, files.Crash(0), 0)
	is.Equal(len(contents.Entries), len(large))
	is.Equal(contents.HardState.Vote, "a.1")
}
