package disk

import (
	"path/filepath"
	"strings"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// identityFile is the name of the file with the identity of the replica that owns the data
// directory.
const identityFile = "identity"

// Identity returns the identity of the replica in a data directory, "<instance>.<ulid>",
// and creates it if there is none, from the ULID generated. A wiped directory thus becomes a new
// replica: under its old identity, with its votes and entries lost, it could vote twice in
// one term, so that two leaders could be elected.
//
// used says whether the directory already holds a log or snapshots. In that case a missing
// identity is Corrupt: the directory is damaged, not new. A directory that belongs to
// another instance is BadSettings.
func Identity(files FS, dir, instance string, used bool, generated ulid.ULID) (string, error) {
	path := filepath.Join(dir, identityFile)
	content, found, err := ReadFile(files, path)
	if err != nil {
		return "", err
	}
	if !found && used {
		return "", failure.New(failure.Corrupt, "%s is missing although a log or snapshot exists", path)
	}
	if !found {
		identity := instance + "." + generated.String()
		return identity, Replace(files, path, []byte(identity+"\n"))
	}
	identity := strings.TrimSuffix(string(content), "\n")
	owner, id, _ := cutLast(identity)
	if _, err := ulid.ParseStrict(id); err != nil {
		return "", failure.Wrap(failure.Corrupt, err, "%s holds no valid identity", path)
	}
	if owner != instance {
		return "", failure.New(failure.BadSettings, "data folder %s belongs to instance %q", dir, owner)
	}
	return identity, nil
}

// Instance returns the name of the instance in an identity.
func Instance(identity string) string {
	instance, _, _ := cutLast(identity)
	return instance
}

func cutLast(identity string) (before, after string, found bool) {
	at := strings.LastIndexByte(identity, '.')
	if at < 0 {
		return "", identity, false
	}
	return identity[:at], identity[at+1:], true
}
