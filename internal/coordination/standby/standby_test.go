package standby

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/coordination/follower"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	bound = 3 * time.Second
	// partConfirms is how often a part that runs confirms its state.
	partConfirms = bound / 10
	// comesBack is how long a follower takes at most to find its source again: one
	// look at the replica, and the pause after a search that found none.
	comesBack = lookEvery + 50*time.Millisecond
)

// A core's replica is behind after a restart, so the core follows another one and
// serves its state on. Once the replica is fresh the core stops following, and what
// it followed grows old. An instance that goes on with that old state would lose its
// source a freshness bound later and refuse its callers with stale_state, though the
// core has a fresh state all the time. It must come back and get that instead.
func TestFollowersGoOnWhenTheReplicaIsFreshAgain(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		core := startCore(ctx)
		front := core.followedBy(ctx, "front")
		time.Sleep(2 * bound)
		is.NoErr(front.Fresh())
		is.Equal(core.follower.sessions.Load(), int64(1))

		core.replica.catchUp(ctx)
		caughtUp := time.Now()
		time.Sleep(comesBack)
		synctest.Wait()
		is.Equal(core.follower.sessions.Load(), int64(0))
		is.Equal(core.replica.sessions.Load(), int64(1))
		for time.Since(caughtUp) < 2*bound {
			time.Sleep(10 * time.Millisecond)
			is.NoErr(front.Fresh())
		}
	})
}

// The core changes over while it serves an instance. The session ends while its state
// is still fresh, and its end says that the source is there to be followed again.
func TestSessionOfTheFollowerEndsWithAReason(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		core := startCore(ctx)
		time.Sleep(bound)
		ended := make(chan error, 1)
		go func() {
			ended <- core.node.ServeFollow(ctx, &peerpb.Follow{Instance: "front"}, newPipe(ctx))
		}()
		time.Sleep(bound)
		is.Equal(len(ended), 0)
		core.replica.catchUp(ctx)
		time.Sleep(lookEvery)
		synctest.Wait()
		is.Equal(len(ended), 1)
		is.True(failure.Is(<-ended, failure.NotReady))
		is.NoErr(core.follower.Fresh())
	})
}

func inBubble(t *testing.T, test func(is *is.I, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(is.New(t), ctx)
	})
}

// core is a node whose replica has yet to catch up.
type core struct {
	node     *Node
	replica  *part
	follower *part
}

func startCore(ctx context.Context) *core {
	c := &core{replica: newPart("core"), follower: newPart("other", "core")}
	c.node = New(c.replica, c.follower)
	go func() { _ = c.node.Run(ctx) }()
	return c
}

// followedBy starts an instance without a disk that knows this core only.
func (c *core) followedBy(ctx context.Context, name string) *follower.Follower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	front := follower.New(follower.Config{
		Self: follower.Candidate{Name: name}, Voters: []string{"core"}, FreshnessBound: bound, ElectionTimeout: bound,
		Candidates: func() []follower.Candidate { return nil },
		Rand:       rand.New(rand.NewPCG(1, 1)), Logger: logger,
	}, peersOf{core: c})
	go func() { _ = front.Run(ctx) }()
	return front
}

// part is a replica or a follower whose state is empty and confirmed while it works.
type part struct {
	control.Node
	*control.PublishedState
	path      []string
	feed      *feed.Server
	confirmed atomic.Pointer[time.Time]
	sessions  atomic.Int64
}

func newPart(path ...string) *part {
	p := &part{PublishedState: control.NewPublishedState(), path: path}
	p.feed = feed.NewServer(p)
	return p
}

// Run is the follower's work; the replica's takes part but confirms nothing.
func (p *part) Run(ctx context.Context) error {
	if len(p.path) == 1 {
		<-ctx.Done()
		return nil
	}
	p.work(ctx)
	return nil
}

// catchUp makes the replica fresh from now on.
func (p *part) catchUp(ctx context.Context) {
	p.confirm()
	go p.work(ctx)
}

func (p *part) work(ctx context.Context) {
	p.confirm()
	control.Every(ctx, partConfirms, p.confirm)
}

func (p *part) confirm() {
	now := time.Now()
	p.confirmed.Store(&now)
}

func (p *part) Age() (time.Duration, error) {
	confirmed := p.confirmed.Load()
	if confirmed == nil || time.Since(*confirmed) > bound {
		return 0, failure.New(failure.StaleState, "not confirmed")
	}
	return time.Since(*confirmed), nil
}

func (p *part) Fresh() error {
	_, err := p.Age()
	return err
}

func (p *part) State() *store.State      { return p.PublishedState.State() }
func (p *part) Changed() <-chan struct{} { return p.PublishedState.Changed() }
func (p *part) Leader() string           { return "other" }
func (p *part) Path() []string           { return p.path }
func (p *part) Member() bool             { return true }
func (p *part) Status() consensus.Status { return consensus.Status{} }

func (p *part) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	p.sessions.Add(1)
	defer p.sessions.Add(-1)
	return p.feed.Serve(ctx, follow, stream)
}

// peersOf reaches one core.
type peersOf struct {
	follower.Peers
	core *core
}

func (p peersOf) Follow(ctx context.Context, _ string, follow *peerpb.Follow) (control.SourceStream, error) {
	stream := newPipe(ctx)
	go func() {
		defer stream.cancel()
		_ = p.core.node.ServeFollow(stream.ctx, follow, stream)
	}()
	return following{stream}, nil
}

// pipe is both ends of a stream.
type pipe struct {
	ctx     context.Context
	cancel  context.CancelFunc
	pings   chan *peerpb.FollowPing
	batches chan *peerpb.FollowBatch
}

func newPipe(ctx context.Context) *pipe {
	ctx, cancel := context.WithCancel(ctx)
	return &pipe{ctx: ctx, cancel: cancel, pings: make(chan *peerpb.FollowPing, 100), batches: make(chan *peerpb.FollowBatch, 100)}
}

func (p *pipe) Send(batch *peerpb.FollowBatch) error { return pass(p.ctx, p.batches, batch) }
func (p *pipe) Receive() (*peerpb.FollowPing, error) { return take(p.ctx, p.pings) }

// following is the stream's end of the instance that follows.
type following struct{ *pipe }

func (f following) Send(ping *peerpb.FollowPing) error    { return pass(f.ctx, f.pings, ping) }
func (f following) Receive() (*peerpb.FollowBatch, error) { return take(f.ctx, f.batches) }
func (f following) BytesReceived() uint64                 { return 0 }
func (f following) Close() error                          { f.cancel(); return nil }

func pass[T any](ctx context.Context, to chan<- T, message T) error {
	select {
	case to <- message:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.Unreachable, ctx.Err(), "the stream has ended")
	}
}

func take[T any](ctx context.Context, from <-chan T) (message T, err error) {
	select {
	case message = <-from:
		return message, nil
	case <-ctx.Done():
		return message, failure.Wrap(failure.Unreachable, ctx.Err(), "the stream has ended")
	}
}
