package softstate

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/echo"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// minRetryDelay and maxRetryDelay limit the delay before a lost stream is reopened.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// watch keeps a stream to one peer open until ctx ends. It backs off exponentially with
// jitter, so that the streams to a restarted peer are not all reopened at the same time.
func (x *Exchange) watch(ctx context.Context, peer string) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		if received := x.watchOnce(ctx, peer); received {
			retry = minRetryDelay
		}
		streamsLost.Add(1)
		control.Sleep(ctx, x.jitter(retry))
		retry = min(2*retry, maxRetryDelay)
	}
}

// watchOnce receives batches from a peer until the stream ends or no batch has arrived
// within the peer's timeout. It reports whether any batch was received.
func (x *Exchange) watchOnce(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(x.observer.Timeout(peer), cancel)
	defer timeout.Stop()
	pings := &echo.Times[time.Time]{}
	pings.RecordSent(1, time.Now())
	incarnation, after := x.registry.Position(peer)
	wanted, _ := x.renewals()
	watch := &peerpb.Watch{Instance: x.config.Self, Incarnation: incarnation, After: after, Renewals: wanted}
	stream, err := x.peers.Watch(ctx, peer, watch)
	if err != nil {
		return false
	}
	defer stream.Close()
	go x.ping(ctx, stream, pings, watch.Renewals)
	received := false
	for {
		batch, err := stream.Receive()
		if err == nil {
			err = x.handleBatch(peer, batch, pings)
		}
		if err != nil {
			return received
		}
		received = true
		timeout.Reset(x.observer.Timeout(peer))
	}
}

func (x *Exchange) handleBatch(peer string, batch *peerpb.SoftBatch, pings *echo.Times[time.Time]) error {
	at, ok := pings.SentAt(batch.Echo)
	if !ok {
		return failure.New(failure.WrongAnswer, "%s answered unknown ping %d", peer, batch.Echo)
	}
	batchesReceived.Add(1)
	pings.Acknowledge(batch.Echo)
	x.observer.ObserveAnswer(peer, at)
	return x.registry.Receive(peer, batch, at)
}

// ping sends a heartbeat at a fixed interval, and immediately when this instance starts or
// stops wanting renewals.
func (x *Exchange) ping(ctx context.Context, stream SourceStream, pings *echo.Times[time.Time], renewals bool) {
	ticker := time.NewTicker(x.config.PingEvery)
	defer ticker.Stop()
	for number := uint64(2); ; number++ {
		wanted, changed := x.renewals()
		if wanted == renewals {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-ticker.C:
			}
			wanted, _ = x.renewals()
		}
		renewals = wanted
		pings.RecordSent(number, time.Now())
		if stream.Send(&peerpb.WatchPing{Number: number, Renewals: wanted}) != nil {
			return
		}
	}
}
