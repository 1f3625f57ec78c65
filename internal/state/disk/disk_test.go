package disk_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
)

// The disk of an instance is wiped and the instance restarts under its old name. It must
// become a new replica: with the old identity and its votes lost, two leaders could be
// elected.
func TestIdentityIsBoundToDirectory(t *testing.T) {
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

// An operator starts the daemon twice on one data directory by mistake. The second process
// must fail with FolderInUse, and the first must keep the lock.
func TestLockExcludesSecondProcess(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	lock, err := disk.AcquireLock(dir)
	is.NoErr(err)
	_, err = disk.AcquireLock(dir)
	is.True(failure.Is(err, failure.FolderInUse))
	is.NoErr(lock.Release())
	_, err = disk.AcquireLock(dir)
	is.NoErr(err)
}

// Power is lost while a file is replaced: afterwards it has the old content or the new one,
// never a part of it.
func TestReplaceIsAtomic(t *testing.T) {
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
