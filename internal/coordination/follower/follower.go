// Package follower is an instance without a disk: it follows the log of the
// nearest instance that has it, applies it, serves it on to other followers
// and sends commands to the leader.
package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	sourceChanges = expvar.NewInt("follower_source_changes")
	searches      = expvar.NewInt("follower_searches")
	forwarded     = expvar.NewInt("follower_forwarded")
	resent        = expvar.NewInt("follower_resent")
	snapshots     = expvar.NewInt("follower_snapshots")
)

// Peers carries calls and streams to other instances.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
	Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error)
}

// Config of a follower.
type Config struct {
	// Self names the instance and its data centre.
	Self Candidate
	// Voters are asked where nothing else is known.
	Voters []string
	// FreshnessBound is the oldest state on which work is admitted.
	FreshnessBound time.Duration
	// ElectionTimeout is that of the replicas.
	ElectionTimeout time.Duration
	// Candidates lists the other instances that are known now.
	Candidates func() []Candidate
	// Rand drives backoff; the caller seeds it. One goroutine at a time uses it.
	Rand *rand.Rand
	// Logger gets a line for each source gained or lost.
	Logger *logrus.Logger
}

// Follower is one instance's copy of the control state.
type Follower struct {
	config    Config
	peers     Peers
	published *control.PublishedState
	feed      *feed.Server
	// mu orders batches where two streams overlap during a change of source.
	mu sync.Mutex
	// partial is a snapshot whose source was lost before its end; under mu.
	partial feed.SnapshotAssembler
	// confirmed is a time of this process's own clock, with its monotonic
	// part: a step of the wall clock must not make old state look fresh.
	confirmed atomic.Pointer[time.Time]
	leader    atomic.Pointer[string]
	// leaderChanged is raised after leader names another one, or none.
	leaderChanged control.Signal
	path          atomic.Pointer[[]string]
	randMu        sync.Mutex
	// told holds the newest failure of each source that was logged. Only the
	// goroutine that searches uses it.
	told map[string]failure.Code
	// named are the sources that refusals have named. The same goroutine uses it.
	named map[string]Candidate
}

// New makes a follower that has applied nothing yet.
func New(config Config, peers Peers) *Follower {
	f := &Follower{config: config, peers: peers, published: control.NewPublishedState(), told: map[string]failure.Code{}, named: map[string]Candidate{}}
	f.feed = feed.NewServer(f)
	f.leader.Store(new(string))
	f.path.Store(&[]string{config.Self.Name})
	return f
}

// State is the newest applied state.
func (f *Follower) State() *store.State { return f.published.State() }

// Changed gives a channel that is closed when the state next changes.
func (f *Follower) Changed() <-chan struct{} { return f.published.Changed() }

// Leader names the leader as the source last told it.
func (f *Follower) Leader() string { return *f.leader.Load() }

// LeaderChanged gives a channel that is closed when another leader is known next.
func (f *Follower) LeaderChanged() <-chan struct{} { return f.leaderChanged.Next() }

// IsLeader is false: only a voter leads.
func (f *Follower) IsLeader() bool { return false }

// Path names the instances from a voter down to this one.
func (f *Follower) Path() []string { return *f.path.Load() }

// Age implements feed.Source.
func (f *Follower) Age() (time.Duration, error) {
	confirmed := f.confirmed.Load()
	if confirmed == nil {
		return 0, failure.New(failure.StaleState, "the control state was never confirmed")
	}
	age := time.Since(*confirmed)
	if age > f.config.FreshnessBound {
		return 0, failure.New(failure.StaleState, "the control state was confirmed %s ago", age.Round(time.Millisecond))
	}
	return age, nil
}

// Fresh fails while the control state is older than the freshness bound, and
// until it has been confirmed once after a start.
func (f *Follower) Fresh() error {
	_, err := f.Age()
	return err
}

// ServePropose refuses: a command that went from follower to follower could
// go round for ever.
func (f *Follower) ServePropose(context.Context, *peerpb.Propose) (*controlpb.Result, error) {
	refusal := failure.New(failure.NotLeader, "this instance follows")
	refusal.Leader = f.Leader()
	return nil, refusal
}

// ServeFollow sends the log on to another follower.
func (f *Follower) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return f.feed.Serve(ctx, follow, stream)
}
