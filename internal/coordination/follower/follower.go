// Package follower implements the control node of an instance without a disk. It
// follows the log from the nearest source that has it, applies the entries, relays the
// log to other followers and forwards commands to the leader.
package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/latency"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	sourceChanges = expvar.NewInt("follower_source_changes")
	searches      = expvar.NewInt("follower_searches")
	forwarded     = expvar.NewInt("follower_forwarded")
	resent        = expvar.NewInt("follower_resent")
	snapshots     = expvar.NewInt("follower_snapshots")
	// inForce is the time from the proposal of a change of the declarations until it is in
	// force here. The difference between the two machines' times of day is part of it.
	inForce = latency.New("follower_in_force")
)

// Peers carries calls and streams to other instances.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
	Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error)
}

// Config of a follower.
type Config struct {
	// Self is the name and the data centre of this instance.
	Self Candidate
	// Voters are the instances tried as sources and leaders if no others are known.
	Voters []string
	// FreshnessBound is the maximum age of a state on which work is admitted.
	FreshnessBound time.Duration
	// ElectionTimeout is the election timeout of the replicas.
	ElectionTimeout time.Duration
	// Candidates lists the other instances that are currently known.
	Candidates func() []Candidate
	// Rand is the source of backoff jitter, seeded by the caller. The follower
	// synchronises its use.
	Rand *rand.Rand
	// Logger receives an entry whenever a source is gained or lost.
	Logger *logrus.Logger
}

// Follower is one instance's copy of the control state.
type Follower struct {
	config    Config
	peers     Peers
	published *control.PublishedState
	feed      *feed.Server
	// mu serialises batches when two streams overlap during a change of source.
	mu sync.Mutex
	// partial is a snapshot whose source was lost before its end. mu guards it.
	partial feed.SnapshotAssembler
	// confirmed is a time of this process's own clock that counts suspensions of the machine
	// and no steps of the wall clock: neither makes old state look fresh.
	confirmed atomic.Pointer[boottime.Time]
	leader    atomic.Pointer[string]
	// leaderChanged is raised after leader has changed, also to none.
	leaderChanged control.Signal
	path          atomic.Pointer[[]string]
	randMu        sync.Mutex
	// loggedFailures holds the code of the last logged failure of each source. Only
	// the goroutine that searches uses it.
	loggedFailures map[string]failure.Code
	// referrals are the sources listed in refusals. Only the same goroutine uses it.
	referrals map[string]Candidate
}

// New creates a follower that has applied nothing yet.
func New(config Config, peers Peers) *Follower {
	f := &Follower{config: config, peers: peers, published: control.NewPublishedState().WithLogger(config.Logger), loggedFailures: map[string]failure.Code{}, referrals: map[string]Candidate{}}
	f.feed = feed.NewServer(f)
	f.leader.Store(new(string))
	f.path.Store(&[]string{config.Self.Name})
	return f
}

// State returns the newest applied state.
func (f *Follower) State() *store.State { return f.published.State() }

// Changed returns a channel that is closed at the next change of the state.
func (f *Follower) Changed() <-chan struct{} { return f.published.Changed() }

// Leader returns the leader's name as last reported by the source, or "".
func (f *Follower) Leader() string { return *f.leader.Load() }

// LeaderChanged returns a channel that is closed at the next change of the known leader.
func (f *Follower) LeaderChanged() <-chan struct{} { return f.leaderChanged.Next() }

// IsLeader returns false: only a voter can lead.
func (f *Follower) IsLeader() bool { return false }

// Path returns the names of the instances from a voter to this one, inclusive.
func (f *Follower) Path() []string { return *f.path.Load() }

// Age implements feed.Source.
func (f *Follower) Age() (time.Duration, error) {
	confirmed := f.confirmed.Load()
	if confirmed == nil {
		return 0, failure.New(failure.StaleState, "the control state was never confirmed")
	}
	age := confirmed.Age()
	if age > f.config.FreshnessBound {
		return 0, failure.New(failure.StaleState, "the control state was confirmed %s ago", age.Round(time.Millisecond))
	}
	return age, nil
}

// CheckFresh fails while the control state is older than the freshness bound or has not
// been confirmed since the start.
func (f *Follower) CheckFresh() error {
	_, err := f.Age()
	return err
}

// ServePropose always refuses: a command forwarded from follower to follower could
// circulate forever.
func (f *Follower) ServePropose(context.Context, *peerpb.Propose) (*controlpb.Result, error) {
	refusal := failure.New(failure.NotLeader, "this instance follows")
	refusal.Leader = f.Leader()
	return nil, refusal
}

// ServeFollow relays the log to another follower.
func (f *Follower) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return f.feed.Serve(ctx, follow, stream)
}
