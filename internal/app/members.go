package app

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
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

// logStatus is implemented by nodes that hold a replica of the log.
type logStatus interface{ Status() consensus.Status }

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
	centres := map[string]string{}
	for _, instance := range m.registry.Instances(livenessWindow) {
		centres[instance.Name] = instance.DataCentre
	}
	published := m.node.State().Replicas()
	var list []*controlpb.ReplicaInstance
	for _, member := range current {
		centre := centres[member.Instance]
		if i := slices.IndexFunc(published, func(r *controlpb.ReplicaInstance) bool { return r.Instance == member.Instance }); centre == "" && i >= 0 {
			centre = published[i].DataCentre
		}
		list = append(list, &controlpb.ReplicaInstance{Instance: member.Instance, DataCentre: centre})
	}
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
