package app

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

// membersInterval is how often the members of the log are compared with the replicas
// published to followers, and new ones are added as peers.
const membersInterval = 200 * time.Millisecond

// members keeps the peers of this instance, and on the leader the list of replicas in
// the replicated state, consistent with the members of the log.
type members struct {
	node     control.Node
	registry *membership.Registry
	network  *peers.Network
	logger   *logrus.Logger
}

func runMembers(lifecycle fx.Lifecycle, node control.Node, registry *membership.Registry, network *peers.Network, logger *logrus.Logger) {
	background(lifecycle, (&members{node: node, registry: registry, network: network, logger: logger}).run)
}

// logStatus is implemented by nodes that hold a replica of the log.
type logStatus interface {
	Status() consensus.Status
	Start() *controlpb.ReplicaStart
}

func (m *members) run(ctx context.Context) {
	replica, isReplica := m.node.(logStatus)
	if !isReplica {
		return
	}
	control.Every(ctx, membersInterval, func() {
		configuration := replica.Status().Configuration
		for _, member := range configuration.GetMembers() {
			m.network.AddDiscovered(member.Instance)
		}
		m.network.AddDiscovered(m.node.Leader())
		if m.node.IsLeader() {
			m.publishReplicas(ctx, configuration.GetMembers())
		}
	})
}

func (m *members) publishReplicas(ctx context.Context, current []*consensuspb.Member) {
	published := m.node.State().Replicas()
	list := replicaList(current, published, m.registry.Instances(livenessWindow))
	if slices.EqualFunc(list, published, func(a, b *controlpb.ReplicaInstance) bool { return proto.Equal(a, b) }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	command := &controlpb.Command{Op: &controlpb.Command_SetReplicas{SetReplicas: &controlpb.SetReplicas{Replicas: list}}}
	if _, err := m.node.Propose(ctx, command); err != nil {
		m.logger.WithField("code", failure.From(err).Code).Warn("list of replicas was not committed")
	}
}

// replicaList describes the members by what their live instances say, or else as published
// before.
func replicaList(current []*consensuspb.Member, published []*controlpb.ReplicaInstance, live []*peerpb.InstanceState) []*controlpb.ReplicaInstance {
	var list []*controlpb.ReplicaInstance
	for _, member := range current {
		replica := &controlpb.ReplicaInstance{Instance: member.Instance, Identity: member.Identity}
		for _, known := range published {
			if known.Instance == member.Instance {
				replica.DataCentre = known.DataCentre
			}
			if known.Identity == member.Identity {
				replica.Start = known.Start
			}
		}
		for _, instance := range live {
			if instance.Name != member.Instance {
				continue
			}
			if instance.DataCentre != "" {
				replica.DataCentre = instance.DataCentre
			}
			// A lower number is that of a data folder put back to an older copy.
			if instance.Identity == member.Identity && instance.Start.GetNumber() > replica.Start.GetNumber() {
				replica.Start = instance.Start
			}
		}
		list = append(list, replica)
	}
	return list
}
