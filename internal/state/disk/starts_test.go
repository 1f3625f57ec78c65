package disk_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
)

// recordStarts records starts on a data directory and returns them all.
func recordStarts(t *testing.T, files disk.FS, count int) disk.Starts {
	is := is.New(t)
	var starts disk.Starts
	for range count {
		known, err := disk.ReadStarts(files, "/data")
		is.NoErr(err)
		starts, err = known.Record(files, "/data", ulid.Make())
		is.NoErr(err)
	}
	return starts
}

// A replica on an older copy of its data directory votes, or an honest one is kept out.
func TestStartsTellAnOlderCopy(t *testing.T) {
	files := disktest.New()
	copied := recordStarts(t, files, 3)
	older := files.Crash(0)
	newer := recordStarts(t, files, 2)
	twin := recordStarts(t, older, 1)
	many := recordStarts(t, files, 200)
	for name, test := range map[string]struct {
		folder disk.Starts
		known  disk.Start
		older  bool
	}{
		"nothing is known":                    {folder: copied},
		"nothing is recorded":                 {known: copied.Newest(), older: true},
		"the present start is known":          {folder: copied, known: copied.Newest()},
		"an earlier start is known":           {folder: newer, known: copied[0]},
		"a later start is known":              {folder: copied, known: newer.Newest(), older: true},
		"another start of the number":         {folder: twin, known: newer[3], older: true},
		"another start of an earlier number":  {folder: recordStarts(t, older, 3), known: newer[4], older: true},
		"a start that the folder forgot":      {folder: many, known: newer[0]},
		"the oldest start that is remembered": {folder: many, known: many[0]},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(test.folder.Contradict(test.known), test.older) })
	}
}

// An honest folder is taken for an older copy since a start that others know of was lost with the power.
func TestRecordedStartsAreDurable(t *testing.T) {
	is, files := is.New(t), disktest.New()
	starts := recordStarts(t, files, 2)
	after, err := disk.ReadStarts(files.Crash(0), "/data")
	is.NoErr(err)
	is.Equal(after, starts)
	files.FreeBytes = 0
	same, err := starts.Record(files, "/data", ulid.Make())
	is.True(disk.Retryable(err))
	is.Equal(same, starts)
}

// The next identity starts with content of a superseded directory, or that content is lost.
func TestSupersededDirectoryIsSetAside(t *testing.T) {
	is, files := is.New(t), disktest.New()
	first, err := disk.Identity(files, "/data", "i1", false, ulid.Make())
	is.NoErr(err)
	recordStarts(t, files, 1)
	is.NoErr(disk.Replace(files, "/data/log/1", []byte("entries")))
	is.NoErr(disk.SetAside(files, "/data", []string{"log"}, ulid.Make())) // not superseded
	is.NoErr(disk.Supersede(files, "/data", "known to i2"))
	files = files.Crash(0)
	name := ulid.Make()
	is.NoErr(disk.SetAside(files, "/data", []string{"log", "none"}, name))
	files = files.Crash(0)
	names, err := files.Names("/data/log")
	is.NoErr(err)
	is.Equal(len(names), 0)
	starts, err := disk.ReadStarts(files, "/data")
	is.NoErr(err)
	is.Equal(len(starts), 0)
	second, err := disk.Identity(files, "/data", "i1", false, ulid.Make())
	is.NoErr(err)
	is.True(second != first)
	content, found, err := disk.ReadFile(files, "/data/superseded-"+name.String()+"/log/1")
	is.NoErr(err)
	is.True(found && string(content) == "entries")
	is.NoErr(disk.SetAside(files, "/data", []string{"log"}, ulid.Make()))
	again, err := disk.Identity(files, "/data", "i1", true, ulid.Make())
	is.NoErr(err)
	is.Equal(again, second) // it is set aside once
}
