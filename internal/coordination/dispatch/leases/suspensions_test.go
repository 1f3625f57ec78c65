package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A lease is listed again after a renewal, or for another incarnation. If its end counted from the first list, it would be
// taken for over while runs go on.
func TestSeenEndIsKeptOnlyWhileALeaseStaysListed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var seen suspensions
	observe := func(index uint64, after time.Duration, leases ...*controlpb.LeaseSuspension) {
		seen.observe(&controlpb.LeaseSuspensions{Index: index, Suspended: leases}, now.Add(after))
		seen.inherit()
	}
	lease := func(since uint64) *controlpb.LeaseSuspension {
		return &controlpb.LeaseSuspension{Worker: "w", Incarnation: 1, EndsInMs: 1000, Since: since}
	}
	end := func() time.Duration {
		endsBy, ok := seen.inheritedEnd("w", 1)
		is.True(ok)
		return endsBy.Sub(now).Truncate(100 * time.Millisecond)
	}
	observe(1, 0, lease(1))
	is.Equal(end(), time.Second)
	observe(2, 300*time.Millisecond, lease(1))
	is.Equal(end(), time.Second)
	observe(3, 400*time.Millisecond, lease(3))
	is.Equal(end(), 1400*time.Millisecond)
	_, ok := seen.inheritedEnd("w", 2)
	is.True(!ok)
	observe(4, time.Second)
	_, ok = seen.inheritedEnd("w", 1)
	is.True(!ok)
}
