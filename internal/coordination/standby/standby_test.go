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
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	bound = 3 * time.Second
	// confirmInterval is how often a running fake node confirms its state.
	confirmInterval = bound / 10
	// maxReattachTime is the longest time until a follower has attached to its source
	// again: one poll of the replica, and the delay after an unsuccessful search.
	maxReattachTime = pollInterval + 50*time.Millisecond
)

// The replica of an instance lags after a restart, so the instance follows another one and
// relays its state. Once the replica is fresh, the instance stops following, and the
// followed state gets older. An instance that continued to follow that state would lose its
// source a freshness bound later and refuse callers with stale_state, although its source
// has a fresh state all the time. It must reattach and receive the replica's state.
func TestFollowersReattachWhenReplicaIsFreshAgain(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		testNode := startTestNode(ctx)
		diskless := testNode.startFollower(ctx, "front")
		time.Sleep(2 * bound)
		is.NoErr(diskless.CheckFresh())
		is.Equal(testNode.follower.sessions.Load(), int64(1))

		testNode.replica.catchUp(ctx)
		caughtUp := time.Now()
		time.Sleep(maxReattachTime)
		synctest.Wait()
		is.Equal(testNode.follower.sessions.Load(), int64(0))
		is.Equal(testNode.replica.sessions.Load(), int64(1))
		for time.Since(caughtUp) < 2*bound {
			time.Sleep(10 * time.Millisecond)
			is.NoErr(diskless.CheckFresh())
		}
	})
}

// The replica takes over while the follower's state is served to an instance. The session
// must end while that state is still fresh, with an error that invites the instance to
// follow the source again.
func TestFollowerSessionEndsWithReason(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		testNode := startTestNode(ctx)
		time.Sleep(bound)
		ended := make(chan error, 1)
		go func() {
			ended <- testNode.node.ServeFollow(ctx, &peerpb.Follow{Instance: "front"}, newPipe(ctx))
		}()
		time.Sleep(bound)
		is.Equal(len(ended), 0)
		testNode.replica.catchUp(ctx)
		time.Sleep(pollInterval)
		synctest.Wait()
		is.Equal(len(ended), 1)
		is.True(failure.Is(<-ended, failure.NotReady))
		is.NoErr(testNode.follower.CheckFresh())
	})
}

// A replica that was removed while it was cut off knows no leader and takes itself for a
// member. Commands and reads must go through the follower, or this instance refuses every
// operator for as long as it runs.
func TestCommandsGoThroughFreshFollowerWhileReplicaIsStale(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		testNode := startTestNode(ctx)
		time.Sleep(bound)
		is.NoErr(testNode.follower.CheckFresh())
		result, err := testNode.node.Propose(ctx, &controlpb.Command{})
		is.NoErr(err)
		is.Equal(result.Detail, "other")

		testNode.replica.catchUp(ctx)
		result, err = testNode.node.Propose(ctx, &controlpb.Command{})
		is.NoErr(err)
		is.Equal(result.Detail, "core")
	})
}

// The disk of a leader answers nothing: its replica takes itself for the leader, since nothing reaches it, while the
// instance follows the next leader and has a fresh state. If it led on by that state, it would extend the leases of workers
// beyond the time for which the next leader waits, and tasks would run twice.
func TestLeaderWithStaleReplicaDoesNotLeadByFollowedState(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context) {
		testNode := startTestNode(ctx)
		testNode.replica.leads.Store(true)
		testNode.replica.confirm()
		is.True(testNode.node.IsLeader())
		time.Sleep(bound)
		is.True(testNode.node.IsLeader())
		time.Sleep(pollInterval + time.Millisecond)
		synctest.Wait()
		is.NoErr(testNode.node.CheckFresh()) // by the followed state
		is.True(!testNode.node.IsLeader())
	})
}

func inBubble(t *testing.T, test func(is *is.I, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(is.New(t), ctx)
	})
}

// testNode is a node whose replica has not caught up yet.
type testNode struct {
	node     *Node
	replica  *fakeNode
	follower *fakeNode
}

func startTestNode(ctx context.Context) *testNode {
	c := &testNode{replica: newFakeNode("core"), follower: newFakeNode("other", "core")}
	c.node = New(c.replica, c.follower)
	go func() { _ = c.node.Run(ctx) }()
	return c
}

// startFollower starts an instance without a disk that knows this node only.
func (c *testNode) startFollower(ctx context.Context, name string) *follower.Follower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	diskless := follower.New(follower.Config{
		Self: follower.Candidate{Name: name}, Voters: []string{"core"}, FreshnessBound: bound, ElectionTimeout: bound,
		Candidates: func() []follower.Candidate { return nil },
		Rand:       rand.New(rand.NewPCG(1, 1)), Logger: logger,
	}, peersOf{testNode: c})
	go func() { _ = diskless.Run(ctx) }()
	return diskless
}

// fakeNode is a replica or a follower with an empty state, which it confirms while active.
type fakeNode struct {
	control.Node
	*control.PublishedState
	path      []string
	feed      *feed.Server
	confirmed atomic.Pointer[time.Time]
	sessions  atomic.Int64
	leads     atomic.Bool
}

func newFakeNode(path ...string) *fakeNode {
	p := &fakeNode{PublishedState: control.NewPublishedState(), path: path}
	p.feed = feed.NewServer(p)
	return p
}

// Run confirms the state of a follower. The state of a replica is confirmed only after
// catchUp.
func (p *fakeNode) Run(ctx context.Context) error {
	if len(p.path) == 1 {
		<-ctx.Done()
		return nil
	}
	p.confirmUntilDone(ctx)
	return nil
}

// catchUp makes the replica fresh until ctx ends.
func (p *fakeNode) catchUp(ctx context.Context) {
	p.confirm()
	go p.confirmUntilDone(ctx)
}

func (p *fakeNode) confirmUntilDone(ctx context.Context) {
	p.confirm()
	control.Every(ctx, confirmInterval, p.confirm)
}

func (p *fakeNode) confirm() {
	now := time.Now()
	p.confirmed.Store(&now)
}

func (p *fakeNode) Age() (time.Duration, error) {
	confirmed := p.confirmed.Load()
	if confirmed == nil || time.Since(*confirmed) > bound {
		return 0, failure.New(failure.StaleState, "not confirmed")
	}
	return time.Since(*confirmed), nil
}

func (p *fakeNode) CheckFresh() error {
	_, err := p.Age()
	return err
}

// Propose returns the start of the path to tell which node was asked.
func (p *fakeNode) Propose(context.Context, *controlpb.Command) (*controlpb.Result, error) {
	return &controlpb.Result{Detail: p.path[0]}, nil
}

func (p *fakeNode) State() *store.State            { return p.PublishedState.State() }
func (p *fakeNode) Changed() <-chan struct{}       { return p.PublishedState.Changed() }
func (p *fakeNode) IsLeader() bool                 { return p.leads.Load() }
func (p *fakeNode) Leader() string                 { return "other" }
func (p *fakeNode) Path() []string                 { return p.path }
func (p *fakeNode) Member() bool                   { return true }
func (p *fakeNode) Start() *controlpb.ReplicaStart { return nil }

func (p *fakeNode) Status() consensus.Status { return consensus.Status{} }

func (p *fakeNode) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	p.sessions.Add(1)
	defer p.sessions.Add(-1)
	return p.feed.Serve(ctx, follow, stream)
}

// peersOf connects to one node.
type peersOf struct {
	follower.Peers
	testNode *testNode
}

func (p peersOf) Follow(ctx context.Context, _ string, follow *peerpb.Follow) (control.SourceStream, error) {
	stream := newPipe(ctx)
	go func() {
		defer stream.cancel()
		_ = p.testNode.node.ServeFollow(stream.ctx, follow, stream)
	}()
	return followerEnd{stream}, nil
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

func (p *pipe) Send(batch *peerpb.FollowBatch) error { return send(p.ctx, p.batches, batch) }
func (p *pipe) Receive() (*peerpb.FollowPing, error) { return receive(p.ctx, p.pings) }

// followerEnd is the follower's end of a stream.
type followerEnd struct{ *pipe }

func (f followerEnd) Send(ping *peerpb.FollowPing) error    { return send(f.ctx, f.pings, ping) }
func (f followerEnd) Receive() (*peerpb.FollowBatch, error) { return receive(f.ctx, f.batches) }
func (f followerEnd) BytesReceived() uint64                 { return 0 }
func (f followerEnd) Close() error                          { f.cancel(); return nil }

func send[T any](ctx context.Context, to chan<- T, message T) error {
	select {
	case to <- message:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.Unreachable, ctx.Err(), "the stream has ended")
	}
}

func receive[T any](ctx context.Context, from <-chan T) (message T, err error) {
	select {
	case message = <-from:
		return message, nil
	case <-ctx.Done():
		return message, failure.Wrap(failure.Unreachable, ctx.Err(), "the stream has ended")
	}
}
