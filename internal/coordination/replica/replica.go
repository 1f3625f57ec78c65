// Package replica drives the replicated log of one instance: it proposes,
// stores and applies commands, or follows another instance's log. One
// goroutine owns the log; readers take immutable states from an atomic pointer.
package replica

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/store"
	"pinewinch.example/pinewinch/internal/state/wal"
)

const (
	// maxBatch bounds the commands that share one sync.
	maxBatch = 256
	// followEvery is how often an idle stream renews the freshness of followers.
	followEvery = 500 * time.Millisecond
	// retryFollow is the pause before another try to follow.
	retryFollow = 200 * time.Millisecond
)

var (
	commits   = expvar.NewInt("control_commits")
	syncs     = expvar.NewInt("control_syncs")
	forwarded = expvar.NewInt("control_forwarded")
)

// Peers carries calls to other instances.
type Peers interface {
	Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error)
	Follow(ctx context.Context, to string, follow *peerpb.Follow, handle func(*peerpb.FollowBatch) error) error
}

// Config of a replica.
type Config struct {
	Name           string
	Leader         string
	DataFolder     string
	FreshnessBound time.Duration
	Now            func() time.Time
}

// Replica is one instance's part in the replicated log.
type Replica struct {
	config    Config
	peers     Peers
	state     atomic.Pointer[store.State]
	heard     atomic.Int64
	proposals chan proposal
	mu        sync.Mutex
	changed   chan struct{}
	entries   []*peerpb.LogEntry
}

type proposal struct {
	command *controlpb.Command
	done    chan outcome
}

type outcome struct {
	result *controlpb.Result
	err    error
}

// New makes a replica that has applied nothing yet.
func New(config Config, peers Peers) *Replica {
	r := &Replica{
		config:    config,
		peers:     peers,
		proposals: make(chan proposal, maxBatch),
		changed:   make(chan struct{}),
	}
	r.state.Store(store.New())
	return r
}

// State is the newest applied state.
func (r *Replica) State() *store.State { return r.state.Load() }

// Leader names the instance that accepts commands.
func (r *Replica) Leader() string { return r.config.Leader }

// IsLeader tells whether this instance accepts commands.
func (r *Replica) IsLeader() bool { return r.config.Leader == r.config.Name }

// Changed gives a channel that is closed when the state next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Fresh fails when the control state is older than the freshness bound: an
// instance that is cut off would admit work under rules since replaced.
func (r *Replica) Fresh() error {
	if r.IsLeader() {
		return nil
	}
	age := r.config.Now().Sub(time.UnixMilli(r.heard.Load()))
	if r.heard.Load() == 0 || age > r.config.FreshnessBound {
		return failure.New(failure.StaleState, "control state is not confirmed")
	}
	return nil
}

// Run opens the log or follows the leader until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	if r.IsLeader() {
		return r.lead(ctx)
	}
	r.follow(ctx)
	return nil
}

// Propose commits one command and gives its result; from another instance it
// is sent to the leader.
func (r *Replica) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	if !r.IsLeader() {
		return r.forward(ctx, command)
	}
	p := proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, failure.Wrap(failure.Overloaded, ctx.Err(), "the log takes no more commands now")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "command not confirmed")
	}
}

func (r *Replica) forward(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	forwarded.Add(1)
	call := &peerpb.Call{Body: &peerpb.Call_Propose{Propose: &peerpb.Propose{Command: command}}}
	reply, err := r.peers.Call(ctx, r.config.Leader, call)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

func (r *Replica) lead(ctx context.Context) error {
	log, contents, err := wal.Open(wal.Options{Files: disk.OS{}, Folder: r.config.DataFolder})
	if err != nil {
		return err
	}
	defer log.Close()
	entries, err := decodeEntries(contents.Entries)
	if err != nil {
		return err
	}
	r.apply(entries)
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.proposals:
			if err := r.commit(log, r.gather(first)); err != nil {
				return err
			}
		}
	}
}

// gather takes what waits behind the first proposal, so that one sync serves
// all: under load batches grow by themselves.
func (r *Replica) gather(first proposal) []proposal {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case next := <-r.proposals:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (r *Replica) commit(log *wal.Log, batch []proposal) error {
	now := r.config.Now().UnixMilli()
	index := r.State().Index()
	entries := make([]*peerpb.LogEntry, len(batch))
	for i, p := range batch {
		p.command.TimeMs = now
		entries[i] = &peerpb.LogEntry{Index: index + uint64(i) + 1, Term: 1, Command: p.command}
	}
	encoded, err := encodeEntries(entries)
	if err == nil {
		err = log.Append(nil, encoded)
	}
	if err != nil {
		for _, p := range batch {
			p.done <- outcome{err: failure.Ran(failure.DiskFailed, failure.NotRunUnknown, err, "log")}
		}
		return err
	}
	syncs.Add(1)
	commits.Add(int64(len(batch)))
	results := r.apply(entries)
	for i, p := range batch {
		p.done <- outcome{result: results[i]}
	}
	return nil
}

func encodeEntries(entries []*peerpb.LogEntry) ([]*consensuspb.Entry, error) {
	encoded := make([]*consensuspb.Entry, len(entries))
	for i, entry := range entries {
		data, err := proto.Marshal(entry.Command)
		if err != nil {
			return nil, failure.Wrap(failure.Internal, err, "encode command %d", entry.Index)
		}
		encoded[i] = &consensuspb.Entry{Index: entry.Index, Term: entry.Term, Data: data}
	}
	return encoded, nil
}

func decodeEntries(encoded []*consensuspb.Entry) ([]*peerpb.LogEntry, error) {
	entries := make([]*peerpb.LogEntry, len(encoded))
	for i, entry := range encoded {
		command := &controlpb.Command{}
		if err := proto.Unmarshal(entry.Data, command); err != nil {
			return nil, failure.Wrap(failure.Corrupt, err, "command %d does not decode", entry.Index)
		}
		entries[i] = &peerpb.LogEntry{Index: entry.Index, Term: entry.Term, Command: command}
	}
	return entries, nil
}

// apply moves the state over the entries and wakes everyone who waits for it.
func (r *Replica) apply(entries []*peerpb.LogEntry) []*controlpb.Result {
	state := r.State()
	results := make([]*controlpb.Result, 0, len(entries))
	for _, entry := range entries {
		var result *controlpb.Result
		state, result = state.Apply(entry.Index, entry.Command)
		results = append(results, result)
	}
	r.mu.Lock()
	r.entries = append(r.entries, entries...)
	r.mu.Unlock()
	r.publish(state)
	return results
}

func (r *Replica) publish(state *store.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Store(state)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) follow(ctx context.Context) {
	for ctx.Err() == nil {
		follow := &peerpb.Follow{After: r.State().Index(), Instance: r.config.Name}
		_ = r.peers.Follow(ctx, r.config.Leader, follow, r.take)
		select {
		case <-ctx.Done():
		case <-time.After(retryFollow):
		}
	}
}

func (r *Replica) take(batch *peerpb.FollowBatch) error {
	if batch.Snapshot != nil {
		r.publish(store.Restore(batch.Snapshot))
	}
	if len(batch.Entries) > 0 {
		r.apply(batch.Entries)
	}
	r.heard.Store(r.config.Now().UnixMilli() - batch.AgeMs)
	return nil
}

// ServePropose answers a command that another instance sent.
func (r *Replica) ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error) {
	if !r.IsLeader() {
		f := failure.New(failure.NotLeader, "another instance leads")
		f.Leader = r.config.Leader
		return nil, f
	}
	return r.Propose(ctx, propose.Command)
}

// ServeFollow sends the log from after the asked index, then each new batch.
func (r *Replica) ServeFollow(ctx context.Context, follow *peerpb.Follow, send func(*peerpb.FollowBatch) error) error {
	after := follow.After
	for {
		changed := r.Changed()
		entries := r.entriesAfter(after)
		if err := r.Fresh(); err != nil {
			return err
		}
		batch := &peerpb.FollowBatch{Commit: r.State().Index(), Leader: r.config.Leader, Entries: entries}
		if err := send(batch); err != nil {
			return err
		}
		after += uint64(len(entries))
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(followEvery):
		}
	}
}

func (r *Replica) entriesAfter(after uint64) []*peerpb.LogEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= uint64(len(r.entries)) {
		return nil
	}
	rest := r.entries[after:]
	return rest[:min(len(rest), maxBatch)]
}
