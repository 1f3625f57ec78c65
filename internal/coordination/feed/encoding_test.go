package feed

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A source with a small share of a CPU core takes 2 s to encode a large state. If it sent
// nothing meanwhile, its followers would time out after 0.75 s and leave, the encoding
// would be discarded with the last of them, and all would start over at the next source:
// they would refuse callers forever. A source must answer pings while it encodes.
func TestSourceAnswersPingsWhileItEncodes(t *testing.T) {
	const encoding, pingEvery = 2 * time.Second, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is, source := is.New(t), newStaticSource()
		server := NewServer(source)
		encode := server.snapshots.marshal
		server.snapshots.marshal = func(snapshot *controlpb.Snapshot) ([]byte, error) {
			time.Sleep(encoding)
			return encode(snapshot)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := newPipe(ctx), newPipe(ctx)
		for _, p := range []*pipe{first, second} {
			go func() { _ = server.Serve(ctx, &peerpb.Follow{Windowed: true}, p) }()
			go p.pingEvery(pingEvery)
		}
		time.Sleep(encoding + pingEvery)
		for _, p := range []*pipe{first, second} {
			is.True(p.longestGap() <= 2*pingEvery)
			is.True(p.parts() > 0)
		}
	})
}

// staticSource is a source whose state does not change.
type staticSource struct{ *control.PublishedState }

func newStaticSource() staticSource {
	published := control.NewPublishedState()
	published.Publish(store.Restore(&controlpb.Snapshot{Index: 7, Drained: []string{"w1"}}))
	return staticSource{published}
}

func (s staticSource) Leader() string              { return "v" }
func (s staticSource) Age() (time.Duration, error) { return 0, nil }
func (s staticSource) Path() []string              { return []string{"v"} }

// pipe is the serving end of a stream; it records when batches were sent.
type pipe struct {
	ctx           context.Context
	pings         chan *peerpb.FollowPing
	mu            sync.Mutex
	opened        time.Time
	received      []time.Time
	snapshotParts int
	// taken counts the bytes of parts and entries that the follower acknowledges.
	taken uint64
}

func newPipe(ctx context.Context) *pipe {
	return &pipe{ctx: ctx, pings: make(chan *peerpb.FollowPing, 1), opened: time.Now()}
}

func (p *pipe) Send(batch *peerpb.FollowBatch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = append(p.received, time.Now())
	p.taken += BulkBytes(batch)
	if batch.Snapshot != nil {
		p.snapshotParts++
	}
	return nil
}

func (p *pipe) Receive() (*peerpb.FollowPing, error) {
	select {
	case <-p.ctx.Done():
		return nil, failure.New(failure.Unreachable, "closed")
	case ping := <-p.pings:
		return ping, nil
	}
}

func (p *pipe) pingEvery(interval time.Duration) {
	for number := uint64(2); control.Sleep(p.ctx, interval); number++ {
		select {
		case <-p.ctx.Done():
		case p.pings <- &peerpb.FollowPing{Number: number, Taken: p.acknowledged()}:
		}
	}
}

func (p *pipe) acknowledged() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// longestGap returns the longest time without a batch, up to now.
func (p *pipe) longestGap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest, previous := time.Duration(0), p.opened
	for _, at := range p.received {
		longest = max(longest, at.Sub(previous))
		previous = at
	}
	return max(longest, time.Since(previous))
}

// parts counts the snapshot parts received.
func (p *pipe) parts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshotParts
}
