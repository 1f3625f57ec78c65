package app

import (
	"context"
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/coordination/routing/creditmembers"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

const (
	// creditMembersInterval is how often the leader checks whether the credit members change.
	creditMembersInterval = 200 * time.Millisecond
	// creditMemberWindow is the maximum time since the last heartbeat of an instance that
	// counts as alive.
	creditMemberWindow = 2500 * time.Millisecond
)

// runCreditMembers updates the credit members while this instance is the leader.
func runCreditMembers(lifecycle fx.Lifecycle, s *settings.Settings, log control.Log, registry *membership.Registry) {
	tracker := creditmembers.NewTracker(s.Control.FreshnessBound)
	background(lifecycle, func(ctx context.Context) {
		control.Every(ctx, creditMembersInterval, func() {
			if !log.IsLeader() || log.CheckFresh() != nil {
				tracker.Reset()
				return
			}
			next := tracker.Next(time.Now(), log.State().CreditMembers(), aliveInstances(registry))
			if next != nil {
				proposeCreditMembers(ctx, log, next)
			}
		})
	})
}

// proposeCreditMembers ignores errors: the next check proposes again.
func proposeCreditMembers(ctx context.Context, log control.Log, next *controlpb.CreditMembers) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, _ = log.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_CreditMembers{CreditMembers: next}})
}

func aliveInstances(registry *membership.Registry) []string {
	var alive []string
	for _, instance := range registry.Instances(creditMemberWindow) {
		if instance.Ready {
			alive = append(alive, instance.Name)
		}
	}
	return alive
}

// lenders sends borrow requests to other instances.
type lenders struct{ network *peers.Network }

// Borrow implements routing.CreditLenders.
func (l lenders) Borrow(ctx context.Context, to string, request admission.BorrowRequest) (admission.BorrowReply, error) {
	call := &peerpb.Call{Body: &peerpb.Call_CreditAsk{CreditAsk: routing.EncodeBorrowRequest(request)}}
	reply, err := l.network.Call(ctx, to, call)
	if err != nil {
		return admission.BorrowReply{}, err
	}
	granted := reply.GetCreditReply()
	if granted == nil {
		return admission.BorrowReply{}, failure.New(failure.WrongAnswer, "the reply of %s to a borrow request holds no credit reply", to)
	}
	return routing.DecodeBorrowReply(granted), nil
}

// serveCreditAsk answers a borrow request from another instance.
func serveCreditAsk(ctx context.Context, router *routing.Router, from string, request *peerpb.CreditAsk) (*peerpb.Reply, error) {
	granted, err := router.HandleBorrowRequest(ctx, from, routing.DecodeBorrowRequest(request))
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_CreditReply{CreditReply: routing.EncodeBorrowReply(granted)}}, nil
}
