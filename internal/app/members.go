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

// membersEvery is how often the members of the log are compared with what
// followers were told, and new ones are taken as peers.
const membersEvery = 200 * time.Millisecond

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
	control.Every(ctx, membersEvery, func() {
		configuration := replica.Status().Configuration
		for _, member := range configuration.GetMembers() {
			m.network.Learn(member.Instance)
		}
		m.network.Learn(m.node.Leader())
		if m.node.IsLeader() {
			m.tell(ctx, configuration.GetMembers())
		}
	})
}

func (m *members) tell(ctx context.Context, current []*consensuspb.Member) {
	centres := map[string]string{}
	for _, instance := range m.registry.Instances(heardWindow) {
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
