package app

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/httpapi"
	"pinewinch.example/pinewinch/internal/transport/peers"
)

// explainTimeout limits the call to the leader.
const explainTimeout = 2 * time.Second

// explainer explains why a job waits from the latest scheduling pass, which only the
// leader has.
type explainer struct {
	log        control.Log
	controller *dispatch.Controller
	network    *peers.Network
	// pairs lists the observed pairs of classes; nil if they are not estimated.
	pairs func() []interference.Pair
}

func newExplainer(s *settings.Settings, log control.Log, controller *dispatch.Controller, network *peers.Network, w *workers) *explainer {
	return &explainer{log: log, controller: controller, network: network, pairs: w.pairs(s.Scheduling.Interference)}
}

func newHTTPExplainer(e *explainer) httpapi.Explainer { return e }

// Explain answers locally on the leader, and elsewhere calls the leader. It fails with
// failure.NoLeader while none is known. The explanation is empty for a job that does not
// wait.
func (e *explainer) Explain(ctx context.Context, job string) (*peerpb.Explanation, error) {
	if e.log.IsLeader() {
		return e.local(job), nil
	}
	leader := e.log.Leader()
	if leader == "" {
		return nil, failure.New(failure.NoLeader, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	reply, err := e.network.Call(ctx, leader, &peerpb.Call{Body: &peerpb.Call_Explain{Explain: &peerpb.Explain{Job: job}}})
	if err != nil {
		return nil, err
	}
	return reply.GetExplanation(), nil
}

// serve answers another instance. It does not forward the call, or two instances that
// each take the other for the leader would call each other in a loop.
func (e *explainer) serve(question *peerpb.Explain) (*peerpb.Reply, error) {
	if !e.log.IsLeader() {
		return nil, &failure.Error{Code: failure.NotLeader, Message: "another instance leads", NotRun: failure.NotRunTrue, Leader: e.log.Leader()}
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Explanation{Explanation: e.local(question.Job)}}, nil
}

func (e *explainer) local(job string) *peerpb.Explanation {
	for _, reason := range e.controller.Waiting() {
		if reason.Job == job {
			return &peerpb.Explanation{Code: string(reason.Code), Wanted: reason.Wanted, Free: reason.Free}
		}
	}
	return &peerpb.Explanation{}
}
