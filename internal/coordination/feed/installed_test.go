package feed

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A snapshot replaces the state behind the last entry that the tail keeps. The
// tail no longer leads there: it must say so, or the follower is sent empty
// batches in a loop until the next entry.
func TestTailAfterInstall(t *testing.T) {
	is := is.New(t)
	tail := NewTail(1000)
	tail.Append(&peerpb.LogEntry{Index: 1}, &peerpb.LogEntry{Index: 2})
	_, reaches := tail.After(2, 100, plain)
	is.True(reaches)
	tail.Reset()
	_, reaches = tail.After(2, 100, plain)
	is.True(!reaches)
}
