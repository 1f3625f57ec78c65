package app

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/operators"
	"pinewinch.example/pinewinch/internal/coordination/workflows"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/counted"
	"pinewinch.example/pinewinch/internal/transport/metrics"
	"pinewinch.example/pinewinch/internal/transport/peers"
	"pinewinch.example/pinewinch/platform"
)

// leasedModule serves callers' workflows, operators' documents and workers whose
// leases the leader renews, where the settings ask for it.
var leasedModule = fx.Module("leased", fx.Invoke(runLeased))

// membersEvery is how often the members of the log are compared with what
// followers were told, and new ones are taken as peers.
const membersEvery = 200 * time.Millisecond

// leasedTraffic counts callers, operators and announcing workers together.
var leasedTraffic = counted.NewCounters("leased")

func runLeased(lifecycle fx.Lifecycle, s *settings.Settings, node control.Node, registry *membership.Registry, network *peers.Network, logger *logrus.Logger) error {
	if s.Leased == nil {
		return nil
	}
	ignoreHangUp(lifecycle, logger)
	members := &members{node: node, registry: registry, network: network, logger: logger}
	background(lifecycle, members.run)
	stopping := &atomic.Bool{}
	servers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{s.Leased.Control, platform.NewControl(&announcements{node: node, registry: registry, logger: logger}, operators.NewDesk(node, logger), s.Leased.Control, s.Leased.AnnounceEvery)},
		{s.Leased.Callers, platform.NewCallers(workflows.NewDesk(node, logger))},
		{s.Leased.Metrics, metrics.Handler()},
		{s.Leased.Readiness, platform.Readiness(func() error { return ready(node, stopping) })},
	}
	var running []*http.Server
	for _, server := range servers {
		if !server.address.IsValid() {
			continue
		}
		web, err := listenAndServe(server.address, server.handler, logger)
		if err != nil {
			return err
		}
		running = append(running, web)
	}
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		logger.WithField("requests", "draining").Info("stop")
		stopping.Store(true)
		if s.Leased.Callers.IsValid() {
			wait(ctx, s.Stop.Notice)
		}
		grace, cancel := context.WithTimeout(ctx, s.Stop.Grace)
		defer cancel()
		for _, web := range running {
			if err := web.Shutdown(grace); err != nil {
				logger.WithField("reason", err.Error()).Warn("requests in flight are cut")
				web.Close()
			}
		}
	}))
	return nil
}

// ready fails while this instance could only refuse callers.
func ready(node control.Node, stopping *atomic.Bool) error {
	if stopping.Load() {
		return failure.New(failure.NotReady, "the instance stops")
	}
	if err := node.Fresh(); err != nil {
		return err
	}
	if node.State().Document() == nil {
		return failure.New(failure.NotReady, "no declarations yet")
	}
	return nil
}

func listenAndServe(address netip.AddrPort, handler http.Handler, logger *logrus.Logger) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "listen on %s", address)
	}
	web := newServer(handler)
	go serve(web, leasedTraffic.Listener(listener), logger)
	return web, nil
}

// ignoreHangUp keeps the signal that settings have changed from ending the
// process, which it does by default. Nothing in force can change while it runs.
func ignoreHangUp(lifecycle fx.Lifecycle, logger *logrus.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	background(lifecycle, func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				logger.WithField("changed", "nothing that is in force").Info("reload")
			}
		}
	})
}

// announcements hands workers' announcements to the registry, which tells the
// leader.
type announcements struct {
	node     control.Node
	registry *membership.Registry
	logger   *logrus.Logger
}

// Announce refuses while this instance is cut off: a worker that says it leaves
// must be known to the leader soon after it was told that it is.
func (a *announcements) Announce(upstream *peerpb.Upstream) error {
	if err := a.node.Fresh(); err != nil {
		return err
	}
	known, ok := a.registry.Get(upstream.Id)
	if !ok || known.Leaving != upstream.Leaving {
		a.logger.WithFields(logrus.Fields{"worker": upstream.Id, "address": upstream.Address, "leaving": upstream.Leaving, "version": upstream.Version}).Info("worker announced")
	}
	return a.registry.Merge(upstream)
}

// Depart notes the end of a worker, under a version beyond its announcements'.
func (a *announcements) Depart(id string) error {
	if err := a.node.Fresh(); err != nil {
		return err
	}
	a.logger.WithField("worker", id).Info("worker departed")
	known, ok := a.registry.Get(id)
	if !ok {
		return nil
	}
	departed := proto.CloneOf(known)
	departed.Leaving, departed.Departed = true, true
	departed.Version++
	departed.TtlMs = departedLife.Milliseconds()
	return a.registry.Merge(departed)
}

// departedLife is how long a departed worker is remembered, so that its runs are
// known to be over.
const departedLife = 10 * time.Second

// Leader names the leading instance.
func (a *announcements) Leader() string { return a.node.Leader() }

// members keeps the peers of this instance, and on the leader the list of replicas
// in the log, in line with the members of the log.
type members struct {
	node     control.Node
	registry *membership.Registry
	network  *peers.Network
	logger   *logrus.Logger
}

// logStatus is the part of a replica that members reads.
type logStatus interface{ Status() consensus.Status }

func (m *members) run(ctx context.Context) {
	replica, keepsLog := m.node.(logStatus)
	if !keepsLog {
		return
	}
	ticker := time.NewTicker(membersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		configuration := replica.Status().Configuration
		for _, member := range configuration.GetMembers() {
			m.network.Learn(member.Instance)
		}
		m.network.Learn(m.node.Leader())
		if m.node.IsLeader() {
			m.tell(ctx, configuration.GetMembers())
		}
	}
}

func (m *members) tell(ctx context.Context, current []*consensuspb.Member) {
	centres := map[string]string{}
	for _, instance := range m.registry.Instances(originTTL) {
		centres[instance.Name] = instance.DataCentre
	}
	told := m.node.State().Replicas()
	var list []*controlpb.ReplicaInstance
	for _, member := range current {
		centre := centres[member.Instance]
		if at := slices.IndexFunc(told, func(r *controlpb.ReplicaInstance) bool { return r.Instance == member.Instance }); centre == "" && at >= 0 {
			centre = told[at].DataCentre
		}
		list = append(list, &controlpb.ReplicaInstance{Instance: member.Instance, DataCentre: centre})
	}
	if slices.EqualFunc(list, told, func(a, b *controlpb.ReplicaInstance) bool { return proto.Equal(a, b) }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	command := &controlpb.Command{Op: &controlpb.Command_SetReplicas{SetReplicas: &controlpb.SetReplicas{Replicas: list}}}
	if _, err := m.node.Propose(ctx, command); err != nil {
		m.logger.WithField("code", failure.From(err).Code).Warn("the list of replicas was not committed")
	}
}
