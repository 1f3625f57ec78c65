// Package replica drives the log of a voter: it stores and applies commands and
// serves them to followers. One goroutine owns the log; readers take immutable
// states from an atomic pointer.
package replica

import (
	"context"
	"expvar"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/store"
	"pinewinch.example/pinewinch/internal/state/wal"
)

// maxBatch bounds the commands that share one sync.
const maxBatch = 256

var (
	commits = expvar.NewInt("control_commits")
	syncs   = expvar.NewInt("control_syncs")
)

// Config of a replica.
type Config struct {
	Name       string
	DataFolder string
	Now        func() time.Time
}

// Replica is one instance's part in the replicated log.
type Replica struct {
	config    Config
	published *control.Published
	feed      *feed.Server
	proposals chan proposal
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
func New(config Config) *Replica {
	r := &Replica{
		config:    config,
		published: control.NewPublished(),
		proposals: make(chan proposal, maxBatch),
	}
	r.feed = feed.NewServer(r)
	return r
}

// State is the newest applied state.
func (r *Replica) State() *store.State { return r.published.State() }

// Changed gives a channel that is closed when the state next changes.
func (r *Replica) Changed() <-chan struct{} { return r.published.Changed() }

// Leader names the instance that accepts commands.
func (r *Replica) Leader() string { return r.config.Name }

// IsLeader tells whether this instance accepts commands.
func (r *Replica) IsLeader() bool { return true }

// Fresh never fails: the only voter has no newer state elsewhere.
func (r *Replica) Fresh() error { return nil }

// Age implements feed.Source.
func (r *Replica) Age() (time.Duration, error) { return 0, nil }

// Path implements feed.Source.
func (r *Replica) Path() []string { return []string{r.config.Name} }

// Run opens the log and commits until ctx ends.
func (r *Replica) Run(ctx context.Context) error { return r.lead(ctx) }

// Propose commits one command and gives its result.
func (r *Replica) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
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
		state, result = control.Apply(state, entry)
		results = append(results, result)
	}
	r.feed.Applied(entries...)
	r.published.Publish(state)
	return results
}

// ServePropose answers a command that another instance sent.
func (r *Replica) ServePropose(ctx context.Context, propose *peerpb.Propose) (*controlpb.Result, error) {
	return r.Propose(ctx, propose.Command)
}

// ServeFollow sends the log to another instance.
func (r *Replica) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return r.feed.Serve(ctx, follow, stream)
}
