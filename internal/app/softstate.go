package app

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/claims"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

const (
	// deltaEvery is how often news of upstreams goes to the other instances.
	deltaEvery = 200 * time.Millisecond
	// helloEvery is how often an instance without news says that it lives.
	helloEvery = time.Second
	// deltaTimeout keeps one dead peer from holding its sender.
	deltaTimeout = 2 * time.Second
)

// softState exchanges soft state with the other instances and answers calls.
type softState struct {
	settings *settings.Settings
	node     control.Node
	registry *membership.Registry
	network  *peers.Network
	executor *claims.Executor
	router   *routing.Router
}

func newSoftState(s *settings.Settings, node control.Node, registry *membership.Registry, network *peers.Network, executor *claims.Executor, router *routing.Router) *softState {
	return &softState{settings: s, node: node, registry: registry, network: network, executor: executor, router: router}
}

func (s *softState) run(ctx context.Context) {
	for _, peer := range s.network.Peers() {
		go s.feed(ctx, peer)
	}
	ticker := time.NewTicker(helloEvery)
	defer ticker.Stop()
	for {
		s.registry.MergeInstance(s.self())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// feed sends one peer what this instance has heard since the last delivery.
func (s *softState) feed(ctx context.Context, peer string) {
	ticker := time.NewTicker(deltaEvery)
	defer ticker.Stop()
	var sent uint64
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		upstreams, sequence := s.registry.Delta(sent)
		if len(upstreams) == 0 && time.Since(last) < helloEvery {
			continue
		}
		last = time.Now()
		call := &peerpb.Call{Body: &peerpb.Call_Soft{Soft: &peerpb.SoftDelta{Upstreams: upstreams, Instance: s.self()}}}
		callCtx, cancel := context.WithTimeout(ctx, deltaTimeout)
		_, err := s.network.Call(callCtx, peer, call)
		cancel()
		if err == nil {
			sent = sequence
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
		Replica:     s.settings.Instance.DataFolder != "",
	}
	s.router.Describe(self)
	return self
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
	case *peerpb.Call_Soft:
		for _, upstream := range body.Soft.Upstreams {
			s.registry.Merge(upstream)
		}
		if body.Soft.Instance != nil {
			s.registry.MergeInstance(body.Soft.Instance)
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}}, nil
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
