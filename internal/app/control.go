package app

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/replica"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

var controlModule = fx.Module("control",
	fx.Provide(newNetwork, newReplica),
	fx.Invoke(runPeers, runReplica),
)

func newNetwork(s *settings.Settings) *peers.Network {
	return peers.NewNetwork(s.Instance.Name, s.Peers)
}

func newReplica(s *settings.Settings, network *peers.Network) *replica.Replica {
	return replica.New(replica.Config{
		Name:           s.Instance.Name,
		Leader:         s.Control.Voters[0],
		DataFolder:     s.Instance.DataFolder,
		FreshnessBound: s.Control.FreshnessBound,
		Now:            time.Now,
	}, network)
}

func runPeers(lifecycle fx.Lifecycle, s *settings.Settings, network *peers.Network, soft *softState) error {
	listener, err := net.Listen("tcp", s.Instance.ListenPeer.String())
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "[instance] listen_peer")
	}
	background(lifecycle, func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		_ = network.Serve(ctx, listener, soft)
		network.Close()
	})
	return nil
}

// runReplica ends the process when its disk fails: a replica that cannot sync
// must not go on as if it had.
func runReplica(lifecycle fx.Lifecycle, control *replica.Replica, logger *logrus.Logger, shutdowner fx.Shutdowner) {
	background(lifecycle, func(ctx context.Context) {
		if err := control.Run(ctx); err != nil {
			f := failure.From(err)
			logger.WithField("code", f.Code).Error(f.Error())
			_ = shutdowner.Shutdown(fx.ExitCode(f.ExitCode()))
		}
	})
}
