package disk

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/oklog/ulid/v2"
)

// supersededFile marks a data directory whose content must not be used any more.
const supersededFile = "superseded"

// Supersede marks a data directory as one whose content must not be used any more.
func Supersede(files FS, dir, reason string) error {
	return Replace(files, filepath.Join(dir, supersededFile), []byte(reason+"\n"))
}

// SetAside moves the content of a superseded directory, the entries named, to a directory of its
// own inside, so that the next identity starts with an empty one. It has no effect on another
// directory. After a crash in between it is completed by the next call.
func SetAside(files FS, dir string, entries []string, name ulid.ULID) error {
	marker := filepath.Join(dir, supersededFile)
	_, marked, err := ReadFile(files, marker)
	if err != nil || !marked {
		return err
	}
	aside := filepath.Join(dir, supersededFile+"-"+name.String())
	if err := files.MkdirAll(aside); err != nil {
		return WrapError(err, "make %s", aside)
	}
	for _, entry := range slices.Concat(entries, []string{identityFile, startsFile}) {
		err := files.Rename(filepath.Join(dir, entry), filepath.Join(aside, entry))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return WrapError(err, "set %s aside", entry)
		}
	}
	for _, changed := range []string{aside, dir} {
		if err := files.SyncDir(changed); err != nil {
			return WrapError(err, "sync %s", changed)
		}
	}
	if err := files.Remove(marker); err != nil {
		return WrapError(err, "remove %s", marker)
	}
	if err := files.SyncDir(dir); err != nil {
		return WrapError(err, "sync %s", dir)
	}
	return nil
}
