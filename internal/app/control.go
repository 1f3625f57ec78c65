package app

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/follower"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/replica"
	"pinewinch.example/pinewinch/internal/coordination/standby"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/store"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
	"pinewinch.example/pinewinch/internal/transport/peers"
	"pinewinch.example/pinewinch/internal/transport/tlsfiles"
)

var controlModule = fx.Module("control",
	fx.Provide(newFiles, newNetwork, newNode, newLog, newVoters, newLogFailed),
	fx.Invoke(runPeers, runNode, runRepairer, runMembers),
)

func newNetwork(s *settings.Settings) (*peers.Network, error) {
	network := peers.NewNetwork(s.Instance.Name, s.Peers)
	network.AddDiscovered(s.Control.Seeds...)
	if s.PeersTLS.Certificate == "" {
		return network, nil
	}
	source, err := tlsfiles.Open(tlsfiles.Files(s.PeersTLS), time.Now)
	if err != nil {
		return nil, err
	}
	network.UseTLS(source)
	return network, nil
}

// newFiles returns the file system of the log.
func newFiles() disk.FS { return disk.OS{} }

// newNode returns a follower, combined with a replica if a data folder is set.
func newNode(s *settings.Settings, network *peers.Network, registry *membership.Registry, files disk.FS, logger *logrus.Logger) control.Node {
	following := newFollower(s, network, registry, logger)
	if s.Instance.DataFolder == "" {
		return following
	}
	return standby.New(newReplica(s, network, files, logger), following)
}

func newReplica(s *settings.Settings, network *peers.Network, files disk.FS, logger *logrus.Logger) *replica.Replica {
	return replica.New(replica.Config{
		Instance:        s.Instance.Name,
		DataCentre:      s.Instance.DataCentre,
		Voters:          s.Control.Voters,
		Peers:           func() []string { return network.Peers() },
		Files:           files,
		DataFolder:      s.Instance.DataFolder,
		ElectionTimeout: s.Control.ElectionTimeout,
		FreshnessBound:  s.Control.FreshnessBound,
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Now:             time.Now,
		Logger:          logger,
	}, network)
}

func newFollower(s *settings.Settings, network *peers.Network, registry *membership.Registry, logger *logrus.Logger) *follower.Follower {
	var following *follower.Follower
	following = follower.New(follower.Config{
		Self:            follower.Candidate{Name: s.Instance.Name, DataCentre: s.Instance.DataCentre},
		Voters:          s.Control.SeedInstances(),
		FreshnessBound:  s.Control.FreshnessBound,
		ElectionTimeout: s.Control.ElectionTimeout,
		Candidates:      func() []follower.Candidate { return candidates(s, registry, following.State()) },
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:          logger,
	}, network)
	return following
}

// candidates lists the replicas and the live instances that a follower could follow.
func candidates(s *settings.Settings, registry *membership.Registry, state *store.State) []follower.Candidate {
	var found []follower.Candidate
	for _, replica := range state.Replicas() {
		found = append(found, follower.Candidate{Name: replica.Instance, DataCentre: replica.DataCentre, Replica: true})
	}
	for _, instance := range registry.Instances(livenessWindow) {
		known := slices.ContainsFunc(found, func(c follower.Candidate) bool { return c.Name == instance.Name })
		if instance.Ready && !instance.Leaving && !known {
			found = append(found, follower.Candidate{
				Name:       instance.Name,
				DataCentre: instance.DataCentre,
				Replica:    instance.Voter,
			})
		}
	}
	return found
}

// newLog returns the node as components see it that do not serve other instances.
func newLog(node control.Node) control.Log { return node }

func newLogFailed() *logFailed { return &logFailed{} }

func newVoters(node control.Node) httpapi.Voters { return node }

func runPeers(lifecycle fx.Lifecycle, s *settings.Settings, network *peers.Network, soft *softState, logger *logrus.Logger) error {
	listener, err := net.Listen("tcp", s.Instance.ListenPeer.String())
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "[instance] listen_peer")
	}
	background(lifecycle, func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		if err := network.Serve(ctx, listener, soft); err != nil {
			logger.WithField("cause", err.Error()).Error("peer server failed; other instances are no longer served")
		}
		network.Close()
	})
	return nil
}

// runNode ends the process when the node fails, for instance on a disk error: a replica
// whose sync failed must not continue as if it had succeeded.
func runNode(lifecycle fx.Lifecycle, node control.Node, failed *logFailed, logger *logrus.Logger, shutdowner fx.Shutdowner) {
	background(lifecycle, func(ctx context.Context) {
		if err := node.Run(ctx); err != nil {
			f := failure.From(err)
			failed.Store(true)
			logger.WithField("code", f.Code).Error(f.Error())
			_ = shutdowner.Shutdown(fx.ExitCode(f.ExitCode()))
		}
	})
}
