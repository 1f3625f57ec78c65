package follower

import (
	"context"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/echo"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// link is one stream from one source.
type link struct {
	source string
	stream control.SourceStream
	cancel context.CancelFunc
	pings  echo.Times
	// Owned by the goroutine that receives, under Follower.mu.
	leader   string
	path     []string
	assembly feed.Assembly
	// confirmed is closed when the first batch confirms the state.
	confirm   sync.Once
	confirmed chan struct{}
	// ended is closed with the stream, after err is set.
	ended chan struct{}
	err   error
}

// Parts of the freshness bound.
const (
	// pingsPerBound is how many pings one bound holds: age grows by up to one
	// ping's distance at each hop, and feed.MaxPath hops must stay within it.
	pingsPerBound = 2 * feed.MaxPath
	// silentPings is how many pings long a source may say nothing: half the
	// bound is then left to find another. A cut link gives no error for minutes.
	silentPings = pingsPerBound / 2
)

// attach opens a stream and waits until it confirms the state.
func (f *Follower) attach(ctx context.Context, source string) (*link, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	l := &link{source: source, cancel: cancel, confirmed: make(chan struct{}), ended: make(chan struct{})}
	l.pings.Sent(1, time.Now())
	follow := &peerpb.Follow{After: f.State().Index(), Instance: f.config.Self.Name, DataCentre: f.config.Self.DataCentre}
	opening := time.AfterFunc(f.silence(), cancel)
	stream, err := f.peers.Follow(streamCtx, source, follow)
	if err != nil || !opening.Stop() {
		cancel()
		return nil, failure.Wrap(failure.Unreachable, err, "follow %s", source)
	}
	l.stream = stream
	go f.receive(l)
	go f.ping(streamCtx, l)
	select {
	case <-l.confirmed:
		return l, nil
	case <-l.ended:
		return nil, l.err
	case <-ctx.Done():
		l.close()
		return nil, failure.Wrap(failure.Unreachable, ctx.Err(), "follow %s", source)
	}
}

// receive takes batches until the stream ends or stays silent.
func (f *Follower) receive(l *link) {
	defer close(l.ended)
	defer l.close()
	silent := time.AfterFunc(f.silence(), l.close)
	defer silent.Stop()
	for {
		batch, err := l.stream.Receive()
		if err == nil {
			err = f.take(l, batch)
		}
		if err != nil {
			l.err = err
			return
		}
		silent.Reset(f.silence())
		l.pings.Answered(batch.Echo)
	}
}

// ping asks for the age of the source's state at a fixed pace.
func (f *Follower) ping(ctx context.Context, l *link) {
	ticker := time.NewTicker(f.config.FreshnessBound / pingsPerBound)
	defer ticker.Stop()
	for number := uint64(2); ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.pings.Sent(number, time.Now())
		if err := l.stream.Send(&peerpb.FollowPing{Number: number}); err != nil {
			l.close()
			return
		}
	}
}

func (f *Follower) silence() time.Duration {
	return f.config.FreshnessBound * silentPings / pingsPerBound
}

func (l *link) close() {
	l.cancel()
	_ = l.stream.Close()
}
