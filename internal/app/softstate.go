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
	// describeEvery bounds how often this instance's own state is looked at;
	// commits may come faster than anyone needs to hear of them.
	describeEvery = 20 * time.Millisecond
	// describeIdle is how long a loss of freshness may go unsaid.
	describeIdle = 200 * time.Millisecond
)

// softState keeps this instance's own state told and answers calls.
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

// describe tells the registry what this instance is, as that changes.
func (s *softState) describe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.node.Changed()
		s.registry.SetSelf(s.self())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(describeIdle):
		}
		select {
		case <-ctx.Done():
		case <-time.After(describeEvery):
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
		Ready:       s.node.Fresh() == nil,
		HttpAddress: s.settings.Instance.ListenHTTP.String(),
		LogRole:     s.node.Role(),
		Replica:     s.settings.Instance.DataFolder != "",
		Voter:       isMember(s.node),
	}
	if replica, ok := s.node.(logStatus); ok {
		self.Identity = replica.Status().Identity
	}
	s.router.AddSoftState(self)
	return self
}

// isMember tells whether the node keeps the log; a follower has no say in it.
func isMember(node control.Node) bool {
	replica, ok := node.(interface{ Member() bool })
	return ok && replica.Member()
}

// Call answers one call of another instance.
func (s *softState) Call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch body := call.Body.(type) {
	case *peerpb.Call_Propose:
		result, err := s.node.ServePropose(ctx, body.Propose)
		if err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: result}}, nil
	case *peerpb.Call_Introduce:
		// Only replicas introduce themselves; one that is new has to be watched
		// before it can be taken in.
		if s.settings.Leased != nil {
			s.network.Learn(call.From)
		}
	case *peerpb.Call_Explain:
		return s.explain.serve(body.Explain)
	case *peerpb.Call_Fetch:
		return s.executor.ServeFetch(body.Fetch)
	case *peerpb.Call_CreditAsk:
		return serveCreditAsk(ctx, s.router, call.From, body.CreditAsk)
	}
	return s.node.ServeReplica(ctx, call)
}

// Deliver takes one consensus message.
func (s *softState) Deliver(message *consensuspb.Message) { s.node.Deliver(message) }

// Follow sends the log to an instance that has none.
func (s *softState) Follow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return s.node.ServeFollow(ctx, follow, stream)
}

// Watch sends soft state to another instance.
func (s *softState) Watch(ctx context.Context, watch *peerpb.Watch, stream softstate.Stream) error {
	return s.exchange.Serve(ctx, watch, stream)
}
