package feed

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A snapshot replaces the state after the last entry that the tail holds. The tail must
// then report that it does not reach the state, or the follower is sent empty batches in a
// loop until the next entry.
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
