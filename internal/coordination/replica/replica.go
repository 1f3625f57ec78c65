// Package replica drives one member of the replicated log: it carries out what
// package consensus decides, with the log and the snapshots on disk, the
// messages to the other members and the state machine. One goroutine owns all
// of these; readers take immutable states from an atomic pointer.
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
	// electionTicks divides the shortest election timeout.
	electionTicks = 10
	// maxElectionTicks bounds it where it follows silences and standstills.
	maxElectionTicks = 4 * electionTicks
	// heartbeatTicks lets three heartbeats be lost before an election.
	heartbeatTicks = 3
	// maxAppendBytes and maxInflight bound what is on its way to one member.
	maxAppendBytes = 128 << 10
	maxInflight    = 32
	// queueLength bounds the proposals that wait for the owner; more are refused.
	queueLength = 4096
	// inboxLength bounds the messages that wait for it; more are dropped, which
	// consensus takes like a loss on the link.
	inboxLength = 1024
)

var (
	commits         = expvar.NewInt("control_commits")
	syncs           = expvar.NewInt("control_syncs")
	forwarded       = expvar.NewInt("control_forwarded")
	resent          = expvar.NewInt("control_resent")
	elections       = expvar.NewInt("control_leader_changes")
	messagesDropped = expvar.NewInt("control_messages_dropped")
	messagesRefused = expvar.NewInt("control_messages_refused")
	snapshotsMade   = expvar.NewInt("control_snapshots_made")
	snapshotsGot    = expvar.NewInt("control_snapshots_installed")
	diskFull        = expvar.NewInt("control_disk_full")
	currentTerm     = expvar.NewInt("control_term")
	currentIndex    = expvar.NewInt("control_applied_index")
)

// Peers carries calls and messages to other instances.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
	Messages(ctx context.Context, to string) (control.MessageStream, error)
}

// Config of a replica.
type Config struct {
	Instance   string
	DataCentre string
	// Voters are the instances that found the cluster; the first of them
	// decides with which identities.
	Voters []string
	// Peers lists all other instances that are known now.
	Peers      func() []string
	Files      disk.FS
	DataFolder string
	// ElectionTimeout is the shortest time without a leader's word before an
	// election; the longest is twice that.
	ElectionTimeout time.Duration
	FreshnessBound  time.Duration
	// SnapshotEntries and SnapshotBytes are how much log lies between two
	// snapshots at most; the defaults where 0.
	SnapshotEntries uint64
	SnapshotBytes   int64
	Rand            *rand.Rand
	// Now stamps commands; no decision is made by it.
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
	// leaderChanged is raised after the view names another leader, or none.
	leaderChanged control.Signal
	// confirmed is a time of this process's clock at which the published state
	// held everything committed.
	confirmed atomic.Pointer[boottime.Time]
	proposals chan *proposal
	inbox     chan *consensuspb.Message
	// requests run on the goroutine that owns the log.
	requests chan func(*core)
	// opened is closed when the log is open; disk is set before.
	opened chan struct{}
	disk   *storage
	// foundedWith is the first configuration, where this replica founded.
	foundedWith atomic.Pointer[consensuspb.Configuration]
	// introductions tell founding when a peer has come.
	introductions introductions
	// ended is closed when Run ends.
	ended chan struct{}
}

// New makes a replica; Run opens its log.
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
		published: control.NewPublishedState(),
		proposals: make(chan *proposal, queueLength),
		inbox:     make(chan *consensuspb.Message, inboxLength),
		requests:  make(chan func(*core)),
		opened:    make(chan struct{}),
		ended:     make(chan struct{}),
	}
	r.feed = feed.NewServer(r)
	r.view.Store(&view{})
	return r
}

// State is the newest applied state.
func (r *Replica) State() *store.State { return r.published.State() }

// Changed gives a channel that is closed when the state next changes.
func (r *Replica) Changed() <-chan struct{} { return r.published.Changed() }

// Leader names the instance that leads, as far as is known.
func (r *Replica) Leader() string { return r.view.Load().leader }

// LeaderChanged gives a channel that is closed when another leader is known next.
func (r *Replica) LeaderChanged() <-chan struct{} { return r.leaderChanged.Next() }

// IsLeader tells whether this instance leads and has applied everything that
// earlier leaders committed: a decision made before that would repeat theirs.
func (r *Replica) IsLeader() bool { return r.view.Load().leading }

// Member tells whether this replica is a member of the newest configuration.
func (r *Replica) Member() bool { return r.view.Load().member }

// Status is what this replica knows of the log.
func (r *Replica) Status() consensus.Status { return r.view.Load().status }

// Path implements feed.Source.
func (r *Replica) Path() []string { return []string{r.config.Instance} }

// Deliver takes one consensus message; where the owner is behind it is dropped.
func (r *Replica) Deliver(message *consensuspb.Message) {
	select {
	case r.inbox <- message:
	default:
		messagesDropped.Add(1)
	}
}

// Run takes part in the log until ctx ends; it fails when the disk does. A
// leader hands over before it ends.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.ended)
	storage, recovered, err := r.openWithRoom(ctx)
	if err != nil {
		return err
	}
	defer storage.close()
	core, err := newCore(r, storage, recovered)
	if err != nil {
		return err
	}
	r.disk = storage
	r.foundedWith.Store(storage.first)
	close(r.opened)
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	core.links.start(working, r.peers)
	go r.confirmFromLeader(working)
	go r.found(working)
	return core.run(ctx, working)
}

// ask runs a request on the owner's goroutine and waits for its end.
func (r *Replica) ask(ctx context.Context, request func(*core)) error {
	done := make(chan struct{})
	wrapped := func(c *core) {
		request(c)
		close(done)
	}
	select {
	case r.requests <- wrapped:
	case <-ctx.Done():
		return failure.Wrap(failure.Overloaded, ctx.Err(), "the log did not take the request")
	case <-r.ended:
		return failure.New(failure.NotReady, "the log is closed")
	}
	<-done
	return nil
}
