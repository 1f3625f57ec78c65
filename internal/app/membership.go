package app

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/softstate"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

const (
	// peerPingEvery is the pace of signs of life between instances.
	peerPingEvery = 2 * time.Second
	// peerTimeout is how long a peer may be silent before its stream is opened
	// anew.
	peerTimeout = 3 * peerPingEvery
	// heardWindow is how long ago an instance that counts as live was heard.
	heardWindow = peerTimeout + peerPingEvery
)

// vouchLife is how long the upstreams that a silent instance heard stand. One that is cut
// off knows it within the freshness bound and asks them to turn to another, where they
// are heard before they would have missed too many announcements; a ping may have been
// due when the instance fell silent. Were it longer, a worker that was lost behind such an
// instance would look alive, and the others of its gang would go on without it.
func vouchLife(s *settings.Settings) time.Duration {
	every := s.Upstreams.AnnounceEvery
	if s.Leased != nil {
		every = s.Leased.AnnounceEvery
	}
	return s.Control.FreshnessBound + api.AnnouncementsMissed*every + peerPingEvery
}

var membershipModule = fx.Module("membership",
	fx.Provide(newRegistry, newExchange, newSoftState),
	fx.Invoke(runSoftState, runChanges),
)

func newRegistry(s *settings.Settings, logger *logrus.Logger) *membership.Registry {
	return membership.NewRegistry(membership.Config{
		Self:        s.Instance.Name,
		Incarnation: time.Now().UnixNano(),
		OriginTTL:   vouchLife(s),
		Now:         time.Now,
		Logger:      logger,
	})
}

// fixedTimeout gives every peer the same.
type fixedTimeout time.Duration

func (fixedTimeout) Heard(string, time.Time) {}

func (t fixedTimeout) Timeout(string) time.Duration { return time.Duration(t) }

func newExchange(s *settings.Settings, registry *membership.Registry, network *peers.Network, log control.Log) *softstate.Exchange {
	config := softstate.Config{
		Self:      s.Instance.Name,
		PingEvery: peerPingEvery,
		Renewals:  log.IsLeader,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return softstate.New(config, registry, network, fixedTimeout(peerTimeout))
}

func runSoftState(lifecycle fx.Lifecycle, soft *softState) {
	background(lifecycle, soft.describe)
	background(lifecycle, soft.exchange.Run)
}

// runLeave tells balancer and peers first when the instance stops, while
// requests in flight still finish.
func runLeave(lifecycle fx.Lifecycle, server *httpapi.Server, exchange *softstate.Exchange, failed *logFailed) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		server.BeginStop()
		if !failed.Load() {
			exchange.Leave(ctx)
		}
		return nil
	}})
}
