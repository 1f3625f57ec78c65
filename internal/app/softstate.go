package app

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/coordination/softstate"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

const (
	// minDescribeInterval limits how often this instance publishes its own state;
	// commits may come faster than other instances need them.
	minDescribeInterval = 20 * time.Millisecond
	// maxDescribeInterval limits how late a loss of freshness is published.
	maxDescribeInterval = 200 * time.Millisecond
)

// softState publishes this instance's own state and serves calls of other instances.
type softState struct {
	settings *settings.Settings
	node     control.Node
	registry *membership.Registry
	exchange *softstate.Exchange
	executor *claims.Executor
	explain  *explainer
	router   *routing.Router
	network  *peers.Network
}

func newSoftState(s *settings.Settings, node control.Node, registry *membership.Registry, exchange *softstate.Exchange, executor *claims.Executor, explain *explainer, router *routing.Router, network *peers.Network) *softState {
	return &softState{settings: s, node: node, registry: registry, exchange: exchange, executor: executor, explain: explain, router: router, network: network}
}

// describe updates this instance's own state in the registry when it changes.
func (s *softState) describe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.node.Changed()
		s.registry.SetSelf(s.self())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(maxDescribeInterval):
		}
		select {
		case <-ctx.Done():
		case <-time.After(minDescribeInterval):
		}
	}
}

func (s *softState) self() *peerpb.InstanceState {
	state := s.node.State()
	self := &peerpb.InstanceState{
		Name:        s.settings.Instance.Name,
		DataCentre:  s.settings.Instance.DataCentre,
		Applied:     state.Index(),
		Revision:    state.Revision(),
		Ready:       s.node.CheckFresh() == nil,
		HttpAddress: s.settings.Instance.ListenHTTP.String(),
		LogRole:     s.node.Role(),
		Replica:     s.settings.Instance.DataFolder != "",
		Voter:       isMember(s.node),
	}
	if replica, ok := s.node.(logStatus); ok {
		self.Identity = replica.Status().Identity
		self.Start = replica.Start()
	}
	s.router.AddSoftState(self)
	return self
}

// isMember reports whether the node is a member of the consensus group; a follower
// never is.
func isMember(node control.Node) bool {
	replica, ok := node.(interface{ Member() bool })
	return ok && replica.Member()
}

// Call serves one call of another instance.
func (s *softState) Call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch body := call.Body.(type) {
	case *peerpb.Call_Propose:
		result, err := s.node.ServePropose(ctx, body.Propose)
		if err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: result}}, nil
	case *peerpb.Call_Introduce:
		// Only replicas introduce themselves; the leader must monitor a new one before
		// it can add it as a member.
		if s.settings.LeaderLeases != nil {
			s.network.AddDiscovered(call.From)
		}
	case *peerpb.Call_Explain:
		return s.explain.serve(body.Explain)
	case *peerpb.Call_AskInterference:
		return s.explain.serveInterference()
	case *peerpb.Call_Fetch:
		return s.executor.ServeFetch(body.Fetch)
	case *peerpb.Call_CreditAsk:
		return serveCreditAsk(ctx, s.router, call.From, body.CreditAsk)
	}
	return s.node.ServeReplica(ctx, call)
}

// Deliver passes one consensus message to the node.
func (s *softState) Deliver(message *consensuspb.Message) { s.node.Deliver(message) }

// Follow streams the log to an instance that has no replica.
func (s *softState) Follow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return s.node.ServeFollow(ctx, follow, stream)
}

// Watch streams soft state to another instance.
func (s *softState) Watch(ctx context.Context, watch *peerpb.Watch, stream softstate.Stream) error {
	return s.exchange.Serve(ctx, watch, stream)
}
