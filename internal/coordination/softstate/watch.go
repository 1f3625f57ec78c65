package softstate

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/echo"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// firstRetry and lastRetry bound the pause before a lost stream is opened anew.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// watch keeps a stream to one peer until ctx ends. Pauses grow and are spread,
// so that the streams of a restarted peer do not all come back at once.
func (x *Exchange) watch(ctx context.Context, peer string) {
	retry := firstRetry
	for ctx.Err() == nil {
		if heard := x.stay(ctx, peer); heard {
			retry = firstRetry
		}
		streamsLost.Add(1)
		control.Pause(ctx, x.spread(retry))
		retry = min(2*retry, lastRetry)
	}
}

// stay receives from a peer until the stream ends or the peer is silent for
// longer than its timeout. It reports whether anything came.
func (x *Exchange) stay(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(x.observer.Timeout(peer), cancel)
	defer silent.Stop()
	pings := &echo.Times{}
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
	heard := false
	for {
		batch, err := stream.Receive()
		if err == nil {
			err = x.take(peer, batch, pings)
		}
		if err != nil {
			return heard
		}
		heard = true
		silent.Reset(x.observer.Timeout(peer))
	}
}

func (x *Exchange) take(peer string, batch *peerpb.SoftBatch, pings *echo.Times) error {
	at, ok := pings.SentAt(batch.Echo)
	if !ok {
		return failure.New(failure.WrongAnswer, "%s answered ping %d, which is not kept", peer, batch.Echo)
	}
	batchesReceived.Add(1)
	pings.Acknowledge(batch.Echo)
	x.observer.Heard(peer, at)
	return x.registry.Receive(peer, batch, at)
}

// ping asks for a sign of life at a fixed pace, and at once where this instance
// begins or ceases to want renewals.
func (x *Exchange) ping(ctx context.Context, stream SourceStream, pings *echo.Times, renewals bool) {
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
