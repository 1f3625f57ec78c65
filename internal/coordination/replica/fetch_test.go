package replica

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/snapshot"
)

// Guards against replicas that end one after another because of the failed disk of the
// replica from which they fetch.
func TestSourceDiskFailureDoesNotFailFetcher(t *testing.T) {
	for reported, want := range map[failure.Code]failure.Code{
		failure.DiskFailed: failure.Unreachable,
		failure.DiskFull:   failure.Unreachable,
		failure.NotFound:   failure.NotFound,
	} {
		r := &Replica{peers: failingPeers(func() error { return failure.New(reported, "error of the source") })}
		_, err := r.fetchChunk(context.Background(), "i2", snapshot.ID{Index: 7}, 0)
		is.New(t).Equal(failure.From(err).Code, want)
	}
}
