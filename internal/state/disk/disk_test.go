package disk_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
)

// A disk is wiped and the instance starts again under its old name. It must
// come back as another replica, or its forgotten votes could elect two leaders.
func TestIdentityIsBoundToTheFolder(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	first, err := disk.Identity(files, "/data", "i1", false, ulid.Make())
	is.NoErr(err)
	again, err := disk.Identity(files.Crash(0), "/data", "i1", true, ulid.Make())
	is.NoErr(err)
	is.Equal(first, again)
	is.Equal(disk.Instance(first), "i1")

	wiped, err := disk.Identity(disktest.New(), "/data", "i1", false, ulid.Make())
	is.NoErr(err)
	is.True(wiped != first)

	_, err = disk.Identity(disktest.New(), "/data", "i1", true, ulid.Make())
	is.True(failure.Is(err, failure.Corrupt))
	_, err = disk.Identity(files, "/data", "i2", true, ulid.Make())
	is.True(failure.Is(err, failure.BadSettings))
}

// An operator starts the daemon twice on one data folder by mistake: the
// second ends with a typed failure and the first goes on.
func TestLockKeepsASecondProcessOut(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	lock, err := disk.TakeLock(folder)
	is.NoErr(err)
	_, err = disk.TakeLock(folder)
	is.True(failure.Is(err, failure.FolderInUse))
	is.NoErr(lock.Release())
	_, err = disk.TakeLock(folder)
	is.NoErr(err)
}

// The power fails while a file is replaced: the old content or the new one is
// there, never a part.
func TestReplaceIsWhole(t *testing.T) {
	is := is.New(t)
	files := disktest.New()
	is.NoErr(disk.Replace(files, "/f/a", []byte("old")))
	files.FailSyncs = 1
	is.True(failure.Is(disk.Replace(files, "/f/a", []byte("newer")), failure.DiskFailed))
	content, found, err := disk.ReadFile(files.Crash(2), "/f/a")
	is.NoErr(err)
	is.True(found)
	is.Equal(string(content), "old")
	is.NoErr(disk.Replace(files, "/f/a", []byte("newer")))
	content, _, err = disk.ReadFile(files.Crash(0), "/f/a")
	is.NoErr(err)
	is.Equal(string(content), "newer")
}
