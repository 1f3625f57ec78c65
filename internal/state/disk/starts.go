package disk

import (
	"bufio"
	"bytes"
	"fmt"
	"path/filepath"

	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// startsFile is the name of the file with the newest starts on a data directory.
	startsFile = "starts"
	// retainedStarts is how many starts a data directory remembers. Another replica may lag
	// behind by some.
	retainedStarts = 64
)

// Start is one start of a replica on its data directory. The numbers of an identity's starts begin
// with 1; the nonce tells a start from one of the same number on a copy of the directory.
type Start struct {
	Number uint64
	Nonce  string
}

// Starts are the newest starts that a data directory remembers, oldest first.
type Starts []Start

// ReadStarts reads the starts on a data directory. It fails with failure.Corrupt if the file
// cannot be read.
func ReadStarts(files FS, dir string) (Starts, error) {
	path := filepath.Join(dir, startsFile)
	content, _, err := ReadFile(files, path)
	if err != nil {
		return nil, err
	}
	var starts Starts
	for lines := bufio.NewScanner(bytes.NewReader(content)); lines.Scan(); {
		var start Start
		if _, err := fmt.Sscanf(lines.Text(), "%d %s", &start.Number, &start.Nonce); err != nil {
			return nil, failure.Wrap(failure.Corrupt, err, "%s: %q is not a start", path, lines.Text())
		}
		starts = append(starts, start)
	}
	return starts, nil
}

// Record appends a start and makes it durable. Nobody may be told of a start before.
func (s Starts) Record(files FS, dir string, nonce ulid.ULID) (Starts, error) {
	recorded := append(append(Starts(nil), s...), Start{Number: s.Newest().Number + 1, Nonce: nonce.String()})
	recorded = recorded[max(0, len(recorded)-retainedStarts):]
	var content bytes.Buffer
	for _, start := range recorded {
		fmt.Fprintf(&content, "%d %s\n", start.Number, start.Nonce)
	}
	if err := Replace(files, filepath.Join(dir, startsFile), content.Bytes()); err != nil {
		return s, err
	}
	return recorded, nil
}

// Newest returns the newest start; the zero Start if there is none.
func (s Starts) Newest() Start {
	if len(s) == 0 {
		return Start{}
	}
	return s[len(s)-1]
}

// Contradict reports whether a start that others know of never happened by this directory, which
// is an older copy then.
func (s Starts) Contradict(known Start) bool {
	if known.Number > s.Newest().Number {
		return true
	}
	for _, start := range s {
		if start.Number == known.Number {
			return start.Nonce != known.Nonce
		}
	}
	return false
}
