package replica

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/snapshot"
)

// Replica after replica ends for the failed disk of the one that it fetches from.
func TestAFailedDiskOfASourceIsNoFaultOfOnesOwn(t *testing.T) {
	for told, want := range map[failure.Code]failure.Code{
		failure.DiskFailed: failure.Unreachable,
		failure.DiskFull:   failure.Unreachable,
		failure.NotFound:   failure.NotFound,
	} {
		r := &Replica{peers: refusing(func() error { return failure.New(told, "the source says") })}
		_, err := r.fetchChunk(context.Background(), "i2", snapshot.ID{Index: 7}, 0)
		is.New(t).Equal(failure.From(err).Code, want)
	}
}
