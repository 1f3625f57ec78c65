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
	// peerPingInterval is the heartbeat interval between instances.
	peerPingInterval = 2 * time.Second
	// peerTimeout is the time since the last message of a peer after which its stream
	// is reopened.
	peerTimeout = 3 * peerPingInterval
	// livenessWindow is the maximum time since the last message of an instance that
	// counts as live.
	livenessWindow = peerTimeout + peerPingInterval
)

// originTTL is how long the upstreams that an instance published stay valid after its last
// message. An instance that is partitioned detects it within the freshness bound and
// redirects its upstreams to another, which receives their announcements before they would
// have missed too many; a ping may have been due when the instance became unreachable. With
// a longer TTL a worker that was lost together with such an instance would look alive, and
// the other tasks of its gang would continue without it.
func originTTL(s *settings.Settings) time.Duration {
	every := s.Upstreams.AnnounceEvery
	if s.LeaderLeases != nil {
		every = s.LeaderLeases.AnnounceEvery
	}
	return s.Control.FreshnessBound + api.MaxMissedAnnouncements*every + peerPingInterval
}

var membershipModule = fx.Module("membership",
	fx.Provide(newRegistry, newExchange, newSoftState),
	fx.Invoke(runSoftState, runChanges),
)

func newRegistry(s *settings.Settings, logger *logrus.Logger) *membership.Registry {
	return membership.NewRegistry(membership.Config{
		Self:        s.Instance.Name,
		Incarnation: time.Now().UnixNano(),
		OriginTTL:   originTTL(s),
		Now:         time.Now,
		Logger:      logger,
	})
}

// fixedTimeout is the same timeout for every peer.
type fixedTimeout time.Duration

func (fixedTimeout) ObserveAnswer(string, time.Time) {}

func (t fixedTimeout) Timeout(string) time.Duration { return time.Duration(t) }

func newExchange(s *settings.Settings, registry *membership.Registry, network *peers.Network, log control.Log) *softstate.Exchange {
	config := softstate.Config{
		Self:      s.Instance.Name,
		PingEvery: peerPingInterval,
		Renewals:  log.IsLeader,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return softstate.New(config, registry, network, fixedTimeout(peerTimeout))
}

func runSoftState(lifecycle fx.Lifecycle, soft *softState) {
	background(lifecycle, soft.describe)
	background(lifecycle, soft.exchange.Run)
}

// runLeave notifies load balancer and peers first when the instance stops, while
// requests in flight are still served.
func runLeave(lifecycle fx.Lifecycle, server *httpapi.Server, exchange *softstate.Exchange, failed *logFailed) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		server.BeginStop()
		if !failed.Load() {
			exchange.Leave(ctx)
		}
		return nil
	}})
}
