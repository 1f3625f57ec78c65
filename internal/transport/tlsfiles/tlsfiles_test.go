package tlsfiles

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/testcerts"
)

// A certificate is renewed under the same path. New connections show it without
// a restart; a half-written one is not used, and the last good one stays.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	authority, err := testcerts.New(folder, "ca")
	is.NoErr(err)
	is.NoErr(authority.Issue(folder, "i1"))
	files := Files{Certificate: filepath.Join(folder, "i1.pem"), Key: filepath.Join(folder, "i1.key"), Authority: filepath.Join(folder, "ca.pem")}
	now := time.Now()
	source, err := Open(files, func() time.Time { return now })
	is.NoErr(err)
	loaded, failed := reloads.Value(), reloadFailures.Value()
	first := source.material().certificate

	is.NoErr(authority.Issue(folder, "i1"))
	is.NoErr(os.Chtimes(files.Certificate, now, now.Add(time.Second)))
	is.Equal(source.material().certificate, first) // not looked at again yet
	now = now.Add(checkEvery)
	second := source.material().certificate
	is.True(second != first)

	is.NoErr(os.WriteFile(files.Certificate, []byte("half"), 0o600))
	now = now.Add(checkEvery)
	is.Equal(source.material().certificate, second)
	is.Equal(reloads.Value()-loaded, int64(1))
	is.Equal(reloadFailures.Value()-failed, int64(1))
}
