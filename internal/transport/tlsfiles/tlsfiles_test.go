package tlsfiles

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/testcerts"
)

// A certificate is renewed under the same path. New connections must use it without a
// restart; a partly written file must not be used, and the last valid certificate stays.
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
	first := source.credentials().certificate

	is.NoErr(authority.Issue(folder, "i1"))
	is.NoErr(os.Chtimes(files.Certificate, now, now.Add(time.Second)))
	is.Equal(source.credentials().certificate, first) // not checked again yet
	now = now.Add(checkInterval)
	second := source.credentials().certificate
	is.True(second != first)

	is.NoErr(os.WriteFile(files.Certificate, []byte("half"), 0o600))
	now = now.Add(checkInterval)
	is.Equal(source.credentials().certificate, second)
	is.Equal(reloads.Value()-loaded, int64(1))
	is.Equal(reloadFailures.Value()-failed, int64(1))
}
