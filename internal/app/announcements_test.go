package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// freshNode is a node that is fresh and knows the leader.
type freshNode struct{ control.Node }

func (freshNode) CheckFresh() error { return nil }
func (freshNode) Leader() string    { return "leader" }

// State has no declarations.
func (freshNode) State() *store.State { return store.New() }

// Guards against redirecting more workers to the leader than it accepts connections:
// those it refuses would come back and be redirected to it again.
func TestWorkersAreRedirectedOnlyToALeaderWithFreeConnections(t *testing.T) {
	is := is.New(t)
	logger, _ := test.NewNullLogger()
	registry := membership.NewRegistry(membership.Config{Self: "self", Incarnation: 1, OriginTTL: time.Minute, Now: time.Now})
	const maxConnections = 8
	a := newAnnouncements(freshNode{}, registry, logger, "self", maxConnections)
	for i := range maxConnections {
		worker := &peerpb.Upstream{Id: fmt.Sprint("w", i), Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Incarnation: 1, Version: 1, TtlMs: 60_000}
		is.NoErr(a.Announce(worker))
		want := "leader"
		if i > maxConnections/leaderConnectionsDivisor {
			want = "self"
		}
		is.Equal(a.AnnouncementTarget(), want)
	}
}

// The departure of a worker's incarnation before arrives after the worker has started again
// under its id. It must not make the leader give up what runs there.
func TestLateDepartureOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	logger, _ := test.NewNullLogger()
	registry := membership.NewRegistry(membership.Config{Self: "self", Incarnation: 1, OriginTTL: time.Minute, Now: time.Now})
	a := newAnnouncements(freshNode{}, registry, logger, "self", 8)
	is.NoErr(a.Announce(&peerpb.Upstream{Id: "w", Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Incarnation: 2000, Version: 1, TtlMs: 60_000}))
	is.NoErr(a.Departed("w", 1000))
	known, _ := registry.Get("w")
	is.True(!known.Departed)
	is.NoErr(a.Departed("w", 2000))
	known, _ = registry.Get("w")
	is.True(known.Departed)
}
