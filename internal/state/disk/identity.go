package disk

import (
	"path/filepath"
	"strings"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// identityFile holds the identity of the replica that owns the data folder.
const identityFile = "identity"

// Identity gives the identity bound to a data folder, "<instance>.<ulid>", and
// makes it with the folder. A wiped folder thus is a new replica: under its old
// identity, its votes and entries forgotten, it could vote twice in one term
// and let two leaders be elected.
//
// used tells whether the folder already holds a log or snapshots. Then a
// missing identity is refused: the folder is damaged, not new.
func Identity(files FS, folder, instance string, used bool, made ulid.ULID) (string, error) {
	path := filepath.Join(folder, identityFile)
	content, found, err := ReadFile(files, path)
	if err != nil {
		return "", err
	}
	if !found && used {
		return "", failure.New(failure.Corrupt, "%s is missing beside a log", path)
	}
	if !found {
		identity := instance + "." + made.String()
		return identity, Replace(files, path, []byte(identity+"\n"))
	}
	identity := strings.TrimSuffix(string(content), "\n")
	owner, id, _ := cutLast(identity)
	if _, err := ulid.ParseStrict(id); err != nil {
		return "", failure.Wrap(failure.Corrupt, err, "%s holds no identity", path)
	}
	if owner != instance {
		return "", failure.New(failure.BadSettings, "data folder %s belongs to instance %q", folder, owner)
	}
	return identity, nil
}

// Instance gives the instance that an identity was made on.
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
