package replica

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// proposePatience bounds a proposal whose caller set no deadline.
	proposePatience = 10 * time.Second
	// firstPause and lastPause bound the pauses between two tries.
	firstPause = 20 * time.Millisecond
	lastPause  = 100 * time.Millisecond
)

// proposal is a command, or a configuration, on its way through the log.
type proposal struct {
	data []byte
	term uint64
	done chan outcome
}

type outcome struct {
	result *controlpb.Result
	err    error
}

func (p *proposal) finish(result *controlpb.Result, err error) { p.done <- outcome{result, err} }

// Propose commits one command, by way of the leader, and gives its result. A
// command that surely did not run is tried again until ctx ends. One with an
// unknown outcome is tried again only where it is idempotent, or under a client
// session, where a second run is answered with the first one's result; else the
// outcome stays unknown, also when a later try was refused as not run.
func (r *Replica) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposePatience)
	defer cancel()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, lastPause
	attempts := control.NewProposeAttempts(command)
	for {
		result, err := r.proposeOnce(ctx, attempts, command)
		if err == nil {
			return attempts.FinalResult(result)
		}
		again := attempts.RecordFailure(err) && !r.closed()
		if !again && !worthRetry(command, err) || !control.Pause(ctx, pauses.NextBackOff()) {
			return nil, attempts.FinalError(err)
		}
		if again {
			r.logAgain(err)
		}
	}
}

// closed tells whether Run has ended: no later try would do more here, and the caller
// would hold up the stop until its time is over.
func (r *Replica) closed() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// logAgain tells that a command is sent again though it may have run.
func (r *Replica) logAgain(err error) {
	resent.Add(1)
	r.config.Logger.WithField("leader", r.Leader()).WithField("code", failure.From(err).Code).
		WithField("detail", err.Error()).Info("command sent again")
}

func worthRetry(command *controlpb.Command, err error) bool {
	f := failure.From(err)
	if f.NotRun != failure.NotRunTrue {
		return f.Code == failure.OutcomeUnknown && command.Client != ""
	}
	switch f.Code {
	case failure.NotLeader, failure.NoLeader, failure.Unreachable, failure.NotReady:
		return true
	}
	return false
}

func (r *Replica) proposeOnce(ctx context.Context, attempts *control.ProposeAttempts, command *controlpb.Command) (*controlpb.Result, error) {
	leader := r.Leader()
	switch leader {
	case r.config.Instance:
		return r.submit(ctx, command)
	case "":
		return nil, failure.New(failure.NoLeader, "no leader is known")
	}
	forwarded.Add(1)
	call := &peerpb.Call{Body: &peerpb.Call_Propose{Propose: &peerpb.Propose{Command: command}}}
	attempt, end := attempts.AttemptContext(ctx, r, leader, leader, r.config.ElectionTimeout)
	defer end()
	reply, err := r.peers.Call(attempt, leader, call)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

// submit puts a command into this leader's log and waits until it is applied.
func (r *Replica) submit(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	command.TimeMs = r.config.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a command")
	}
	if len(data) > maxBatchBytes {
		return nil, failure.New(failure.TooLarge, "command of %d bytes", len(data))
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	default:
		return nil, failure.New(failure.Overloaded, "%d commands wait for the log", queueLength)
	}
	return r.wait(ctx, p)
}

func (r *Replica) wait(ctx context.Context, p *proposal) (*controlpb.Result, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "command not confirmed")
	case <-r.ended:
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the log was closed")
	}
}

// propose appends a command and whatever waits behind it, so that one sync
// serves all: under load batches grow by themselves.
func (c *core) propose(first *proposal) {
	batch := []*proposal{first}
	for bytes := len(first.data); len(batch) < maxBatch && bytes < maxBatchBytes; {
		select {
		case next := <-c.replica.proposals:
			batch = append(batch, next)
			bytes += len(next.data)
			continue
		default:
		}
		break
	}
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	index, err := c.proposeAll(data)
	if err != nil {
		for _, p := range batch {
			p.finish(nil, err)
		}
		return
	}
	term := c.node.Status().Term
	for i, p := range batch {
		p.term = term
		c.expect(index+uint64(i), p)
	}
}

func (c *core) proposeAll(data [][]byte) (uint64, error) {
	if err := c.refuseWhileHeld(); err != nil {
		return 0, err
	}
	return c.node.Propose(data...)
}

// expect keeps a proposal until its index is applied. An earlier one there gave
// way in this replica's log only: another replica may still hold its entry, win
// the next term and commit it. To call it not run would have the command sent
// again and perhaps run twice.
func (c *core) expect(index uint64, p *proposal) {
	if earlier := c.pending[index]; earlier != nil {
		earlier.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "entry %d gave way before it was committed", index))
	}
	c.pending[index] = p
}

// answer ends the proposal of an applied entry. With another term there, that
// proposal's entry was replaced before it committed and never will be.
func (c *core) answer(entry *consensuspb.Entry, result *controlpb.Result) {
	p := c.pending[entry.Index]
	if p == nil {
		return
	}
	delete(c.pending, entry.Index)
	if p.term != entry.Term {
		c.replaced(p)
		return
	}
	p.finish(result, nil)
}

func (c *core) replaced(p *proposal) {
	f := failure.New(failure.NotLeader, "the command was replaced by another leader's")
	f.Leader = c.replica.Leader()
	p.finish(nil, f)
}
