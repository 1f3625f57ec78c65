// Package replica runs one member of the replicated log: it executes what package
// consensus decides, with the log and the snapshots on disk, the messages to the other
// members and the state machine. One goroutine owns all of these; readers load immutable
// states from an atomic pointer.
package replica

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// electionTicks is the minimum election timeout in ticks.
	electionTicks = 10
	// maxElectionTicks limits the minimum election timeout where it adapts to observed
	// heartbeat gaps and pauses.
	maxElectionTicks = 4 * electionTicks
	// heartbeatTicks allows three heartbeats to be lost before an election.
	heartbeatTicks = 3
	// maxAppendBytes and maxInflight limit the unacknowledged appends to one member.
	maxAppendBytes = 128 << 10
	maxInflight    = 32
	// proposalQueueLength limits the proposals queued for the log; more are refused.
	proposalQueueLength = 4096
	// inboxLength limits the messages queued for the log; more are dropped, which
	// consensus handles like a loss on the link.
	inboxLength = 1024
)

var (
	commits            = expvar.NewInt("control_commits")
	syncs              = expvar.NewInt("control_syncs")
	forwarded          = expvar.NewInt("control_forwarded")
	resent             = expvar.NewInt("control_resent")
	elections          = expvar.NewInt("control_leader_changes")
	messagesDropped    = expvar.NewInt("control_messages_dropped")
	messagesRefused    = expvar.NewInt("control_messages_refused")
	snapshotsMade      = expvar.NewInt("control_snapshots_made")
	snapshotsInstalled = expvar.NewInt("control_snapshots_installed")
	diskFull           = expvar.NewInt("control_disk_full")
	currentTerm        = expvar.NewInt("control_term")
	currentIndex       = expvar.NewInt("control_applied_index")
)

// Peers sends calls and messages to other instances.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
	Messages(ctx context.Context, to string) (control.MessageStream, error)
}

// Config is the configuration of a replica.
type Config struct {
	Instance   string
	DataCentre string
	// Voters are the instances that bootstrap the cluster; the first of them determines
	// their identities in the initial configuration.
	Voters []string
	// Peers lists all other instances currently known.
	Peers      func() []string
	Files      disk.FS
	DataFolder string
	// ElectionTimeout is the minimum time without contact with a leader before an
	// election; the maximum is twice that unless the timeout has adapted to pauses.
	ElectionTimeout time.Duration
	FreshnessBound  time.Duration
	// SnapshotEntries and SnapshotBytes limit the log between two snapshots; 0 selects
	// the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int64
	Rand            *rand.Rand
	// Now provides the timestamps of commands; no decision depends on it.
	Now    func() time.Time
	Logger *logrus.Logger
}

// Replica is one member of the replicated log.
type Replica struct {
	config    Config
	peers     Peers
	published *control.PublishedState
	feed      *feed.Server
	view      atomic.Pointer[view]
	// leaderChanged is raised after the view has another leader, or none.
	leaderChanged control.Signal
	// confirmed is a time on this process's clock at which the published state included
	// everything committed.
	confirmed atomic.Pointer[boottime.Time]
	proposals chan *proposal
	inbox     chan *consensuspb.Message
	// requests are run by the goroutine that owns the log.
	requests chan func(*core)
	// opened is closed when the log is open; disk is set before.
	opened chan struct{}
	disk   *storage
	// initialConfiguration is the first configuration, if this replica took part in the
	// bootstrap.
	initialConfiguration atomic.Pointer[consensuspb.Configuration]
	// introductions wakes the bootstrap when a new peer appears.
	introductions introductions
	startCheck    startCheck
	// ended is closed when Run ends.
	ended chan struct{}
}

// New returns a replica; Run opens its log.
func New(config Config, peers Peers) *Replica {
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = defaultSnapshotEntries
	}
	if config.SnapshotBytes == 0 {
		config.SnapshotBytes = defaultSnapshotBytes
	}
	r := &Replica{
		config:    config,
		peers:     peers,
		published: control.NewPublishedState().WithLogger(config.Logger),
		proposals: make(chan *proposal, proposalQueueLength),
		inbox:     make(chan *consensuspb.Message, inboxLength),
		requests:  make(chan func(*core)),
		opened:    make(chan struct{}),
		ended:     make(chan struct{}),
	}
	r.feed = feed.NewServer(r)
	r.view.Store(&view{})
	return r
}

// State returns the newest applied state.
func (r *Replica) State() *store.State { return r.published.State() }

// Changed returns a channel that is closed by the next change of the state.
func (r *Replica) Changed() <-chan struct{} { return r.published.Changed() }

// Leader returns the instance of the current leader; empty if none is known.
func (r *Replica) Leader() string { return r.view.Load().leader }

// LeaderChanged returns a channel that is closed by the next change of the known leader.
func (r *Replica) LeaderChanged() <-chan struct{} { return r.leaderChanged.Next() }

// IsLeader reports whether this instance leads and has applied everything that earlier
// leaders committed: an earlier decision would repeat theirs.
func (r *Replica) IsLeader() bool { return r.view.Load().leading }

// Member reports whether this replica is a member of the newest configuration.
func (r *Replica) Member() bool { return r.view.Load().member }

// Status returns this replica's view of the log.
func (r *Replica) Status() consensus.Status { return r.view.Load().status }

// Path implements feed.Source.
func (r *Replica) Path() []string { return []string{r.config.Instance} }

// Deliver queues one consensus message; if the queue is full, the message is dropped.
func (r *Replica) Deliver(message *consensuspb.Message) {
	select {
	case r.inbox <- message:
	default:
		messagesDropped.Add(1)
	}
}

// Run takes part in the log until ctx ends; it returns an error if the disk fails. A
// leader transfers leadership before it ends.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.ended)
	storage, recovered, err := r.openWhenWritable(ctx)
	if err != nil {
		return err
	}
	defer storage.close()
	core, err := newCore(r, storage, recovered)
	if err != nil {
		return err
	}
	r.disk = storage
	r.initialConfiguration.Store(storage.initial)
	close(r.opened)
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	core.links.start(workCtx, r.peers)
	go r.confirmPeriodically(workCtx)
	go r.bootstrap(workCtx)
	return core.run(ctx, workCtx)
}

// runInCore runs a request on the goroutine that owns the log and waits until it is
// done.
func (r *Replica) runInCore(ctx context.Context, request func(*core)) error {
	done := make(chan struct{})
	wrapped := func(c *core) {
		request(c)
		close(done)
	}
	select {
	case r.requests <- wrapped:
	case <-ctx.Done():
		return failure.Wrap(failure.Overloaded, ctx.Err(), "the log did not accept the request in time")
	case <-r.ended:
		return failure.New(failure.NotReady, "the log is closed")
	}
	<-done
	return nil
}
