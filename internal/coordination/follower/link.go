package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
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
	pings  echo.Times[boottime.Time]
	opened time.Time
	// leader, path and assembly are guarded by Follower.mu.
	leader   string
	path     []string
	assembly feed.SnapshotAssembler
	// bulk counts the bytes of snapshot parts and entries received on the stream.
	// acknowledge triggers a ping that reports it.
	bulk        atomic.Uint64
	acknowledge chan struct{}
	// confirmed is closed when the first batch confirms the state.
	confirm   sync.Once
	confirmed chan struct{}
	// ended is closed with the stream, after err is set.
	ended chan struct{}
	err   error
}

// Parts of the freshness bound.
const (
	// pingsPerBound is the number of pings sent per freshness bound: each hop adds up
	// to one ping interval to the age, and feed.MaxPathLength hops must stay within the
	// bound.
	pingsPerBound = 2 * feed.MaxPathLength
	// timeoutPings is the number of ping intervals after which a source that sends
	// nothing is given up: half of the bound is then left to find another source. A
	// partitioned link reports no error for minutes.
	timeoutPings = pingsPerBound / 2
)

// attach opens a stream from the source and waits until it confirms the state.
func (f *Follower) attach(ctx context.Context, source string) (*link, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	l := &link{
		source: source, cancel: cancel, opened: time.Now(), assembly: f.takePartial(),
		acknowledge: make(chan struct{}, 1), confirmed: make(chan struct{}), ended: make(chan struct{}),
	}
	l.pings.RecordSent(1, boottime.Now())
	opening := time.AfterFunc(f.idleTimeout(), cancel)
	stream, err := f.peers.Follow(streamCtx, source, f.request(l))
	if err != nil || !opening.Stop() {
		cancel()
		f.keepPartial(l)
		return nil, failure.Wrap(failure.Unreachable, err, "follow %s", source)
	}
	l.stream = stream
	go f.receive(l)
	go f.ping(streamCtx, l)
	select {
	case <-l.confirmed:
		return l, nil
	case <-l.ended:
		f.keepPartial(l)
		return nil, l.err
	case <-ctx.Done():
		l.close()
		return nil, failure.Wrap(failure.Unreachable, ctx.Err(), "follow %s", source)
	}
}

func (f *Follower) request(l *link) *peerpb.Follow {
	return &peerpb.Follow{
		After: f.State().Index(), Instance: f.config.Self.Name, DataCentre: f.config.Self.DataCentre,
		Held: l.assembly.Held(), Windowed: true,
	}
}

// takePartial returns the partial snapshot received from an earlier source and clears it.
// On a link of 2 Mbit/s a follower that started over with each source might never finish.
func (f *Follower) takePartial() feed.SnapshotAssembler {
	f.mu.Lock()
	defer f.mu.Unlock()
	partial := f.partial
	f.partial = feed.SnapshotAssembler{}
	return partial
}

// keepPartial saves the unfinished snapshot of a link that has ended.
func (f *Follower) keepPartial(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.assembly.Held() != nil {
		f.partial = l.assembly
	}
}

// held describes the saved unfinished snapshot, or is nil if there is none.
func (f *Follower) held() *peerpb.HeldSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partial.Held()
}

// receive applies batches until the stream ends or the idle timeout expires.
func (f *Follower) receive(l *link) {
	defer close(l.ended)
	defer l.close()
	idleTimeout := startIdleTimer(l, f.idleTimeout())
	defer idleTimeout.stop()
	for {
		batch, err := l.stream.Receive()
		if err == nil {
			err = f.applyBatch(l, batch)
		}
		if err != nil {
			l.err = err
			return
		}
		idleTimeout.reset()
		l.pings.Acknowledge(batch.Echo)
		l.countBulk(feed.BulkBytes(batch))
	}
}

// countBulk adds to bulk and triggers an acknowledgement after every feed.MaxBatchBytes,
// or the source's window would stay full until the next ping.
func (l *link) countBulk(bytes uint64) {
	before := l.bulk.Load()
	l.bulk.Store(before + bytes)
	if before/feed.MaxBatchBytes == (before+bytes)/feed.MaxBatchBytes {
		return
	}
	select {
	case l.acknowledge <- struct{}{}:
	default:
	}
}

// ping requests the age of the source's state at a fixed interval and acknowledges the
// bytes received.
func (f *Follower) ping(ctx context.Context, l *link) {
	ticker := time.NewTicker(f.config.FreshnessBound / pingsPerBound)
	defer ticker.Stop()
	for number := uint64(2); ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.acknowledge:
		}
		l.pings.RecordSent(number, boottime.Now())
		if err := l.stream.Send(&peerpb.FollowPing{Number: number, Taken: l.bulk.Load()}); err != nil {
			l.close()
			return
		}
	}
}

func (f *Follower) idleTimeout() time.Duration {
	return f.config.FreshnessBound * timeoutPings / pingsPerBound
}

func (l *link) close() {
	l.cancel()
	_ = l.stream.Close()
}
