package follower

import (
	"context"
	"sync"
	"sync/atomic"
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
	opened time.Time
	// Owned by the goroutine that receives, under Follower.mu.
	leader   string
	path     []string
	assembly feed.SnapshotAssembler
	// bulk is what the stream has brought of snapshots and entries, in bytes.
	// acknowledge asks for a ping that tells it.
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
	// pingsPerBound is how many pings one bound holds: age grows by up to one
	// ping's distance at each hop, and feed.MaxPathLength hops must stay within it.
	pingsPerBound = 2 * feed.MaxPathLength
	// silentPings is how many pings long a source may say nothing: half the
	// bound is then left to find another. A cut link gives no error for minutes.
	silentPings = pingsPerBound / 2
)

// attach opens a stream and waits until it confirms the state.
func (f *Follower) attach(ctx context.Context, source string) (*link, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	l := &link{
		source: source, cancel: cancel, opened: time.Now(), assembly: f.takePartial(),
		acknowledge: make(chan struct{}, 1), confirmed: make(chan struct{}), ended: make(chan struct{}),
	}
	l.pings.RecordSent(1, time.Now())
	opening := time.AfterFunc(f.silence(), cancel)
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

// takePartial gives what an earlier source left of a snapshot. On a link of
// 2 Mbit/s a follower that began at zero with each source might never end.
func (f *Follower) takePartial() feed.SnapshotAssembler {
	f.mu.Lock()
	defer f.mu.Unlock()
	partial := f.partial
	f.partial = feed.SnapshotAssembler{}
	return partial
}

// keepPartial keeps an unfinished snapshot of a link that has ended.
func (f *Follower) keepPartial(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.assembly.Held() != nil {
		f.partial = l.assembly
	}
}

// held describes the unfinished snapshot that is kept; nil where there is none.
func (f *Follower) held() *peerpb.HeldSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partial.Held()
}

// receive takes batches until the stream ends or stays silent.
func (f *Follower) receive(l *link) {
	defer close(l.ended)
	defer l.close()
	silence := watchSilence(l, f.silence())
	defer silence.stop()
	for {
		batch, err := l.stream.Receive()
		if err == nil {
			err = f.take(l, batch)
		}
		if err != nil {
			l.err = err
			return
		}
		silence.heard()
		l.pings.Acknowledge(batch.Echo)
		l.took(feed.BulkBytes(batch))
	}
}

// took counts bulk and has it acknowledged once a batch's worth has come, or the
// source's window would stay full until the next ping.
func (l *link) took(bytes uint64) {
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

// ping asks for the age of the source's state at a fixed pace, and tells what was
// taken.
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
		l.pings.RecordSent(number, time.Now())
		if err := l.stream.Send(&peerpb.FollowPing{Number: number, Taken: l.bulk.Load()}); err != nil {
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
