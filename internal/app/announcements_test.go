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
)

// ledNode is a fresh one that knows its leader.
type ledNode struct{ control.Node }

func (ledNode) Fresh() error   { return nil }
func (ledNode) Leader() string { return "leader" }

// More workers than the leader accepts connections are all sent to it, turned away, and
// sent to it again.
func TestWorkersAreSentToALeaderThatHasPlaces(t *testing.T) {
	is := is.New(t)
	logger, _ := test.NewNullLogger()
	registry := membership.NewRegistry(membership.Config{Self: "self", Incarnation: 1, OriginTTL: time.Minute, Now: time.Now})
	const places = 8
	a := newAnnouncements(ledNode{}, registry, logger, "self", places)
	for i := range places {
		worker := &peerpb.Upstream{Id: fmt.Sprint("w", i), Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Incarnation: 1, Version: 1, TtlMs: 60_000}
		is.NoErr(a.Announce(worker))
		want := "leader"
		if i > places/leaderPlaces {
			want = "self"
		}
		is.Equal(a.AnnounceTo(), want)
	}
}
