package app

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// pairs returns the function that lists the observed pairs of classes; nil if they are not
// estimated.
func (w *workers) pairs(enabled bool) func() []interference.Pair {
	if w.leaseManager == nil || !enabled {
		return nil
	}
	return w.leaseManager.InterferencePairs
}

// Interference returns the observed pairs of classes from the leader, in the same way as
// Explain.
func (e *explainer) Interference(ctx context.Context) (*peerpb.Interference, error) {
	if e.log.IsLeader() {
		return e.localInterference(), nil
	}
	leader := e.log.Leader()
	if leader == "" {
		return nil, failure.New(failure.NoLeader, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	reply, err := e.network.Call(ctx, leader, &peerpb.Call{Body: &peerpb.Call_AskInterference{AskInterference: &peerpb.AskInterference{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetInterference(), nil
}

// serveInterference answers another instance; it does not forward the call, as serve.
func (e *explainer) serveInterference() (*peerpb.Reply, error) {
	if !e.log.IsLeader() {
		return nil, &failure.Error{Code: failure.NotLeader, Message: "another instance leads", NotRun: failure.NotRunTrue, Leader: e.log.Leader()}
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Interference{Interference: e.localInterference()}}, nil
}

func (e *explainer) localInterference() *peerpb.Interference {
	if e.pairs == nil {
		return &peerpb.Interference{}
	}
	reply := &peerpb.Interference{Enabled: true}
	for _, pair := range e.pairs() {
		reply.Pairs = append(reply.Pairs, &peerpb.InterferencePair{
			Victim: pair.Victim, Aggressor: pair.Aggressor, Slowdown: pair.Slowdown, Error: pair.Error, Interferes: pair.Interferes,
			Samples: pair.Samples, Workers: uint32(pair.Workers), Cpu: pair.CPU, CpuWithout: pair.CPUWithout,
			SinceMs: unixMs(pair.Since), LastSeenMs: unixMs(pair.LastSeen),
		})
	}
	return reply
}

// unixMs returns 0 for the zero time.
func unixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
