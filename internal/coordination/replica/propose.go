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
	// proposeTimeout limits a proposal whose caller set no deadline.
	proposeTimeout = 10 * time.Second
	// minRetryPause and maxRetryPause limit the pauses between two attempts.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
)

// proposal is a command, or a configuration, that is not yet applied.
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

// Propose commits one command through the leader and returns its result. A command that
// certainly did not run is retried until ctx ends. One with an unknown outcome is
// retried only if it is idempotent, or belongs to a client session, where a second
// execution returns the result of the first; otherwise the outcome stays unknown, even
// if a later attempt was rejected as not run.
func (r *Replica) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = minRetryPause, maxRetryPause
	attempts := control.NewProposeAttempts(command)
	for {
		result, err := r.proposeOnce(ctx, attempts, command)
		if err == nil {
			return attempts.FinalResult(result)
		}
		resend := attempts.RecordFailure(err) && !r.closed()
		if !resend && !retryable(command, err) || !control.Sleep(ctx, pauses.NextBackOff()) {
			return nil, attempts.FinalError(err)
		}
		if resend {
			r.logResend(err)
		}
	}
}

// closed reports whether Run has ended: further attempts would fail here as well, and
// the caller would delay the stop until its deadline.
func (r *Replica) closed() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// logResend logs that a command is sent again although it may have run.
func (r *Replica) logResend(err error) {
	resent.Add(1)
	r.config.Logger.WithField("leader", r.Leader()).WithField("code", failure.From(err).Code).
		WithField("detail", err.Error()).Info("command sent again")
}

func retryable(command *controlpb.Command, err error) bool {
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

// submit appends a command to this leader's log and waits until it is applied.
func (r *Replica) submit(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	command.TimeMs = r.config.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a command")
	}
	if len(data) > maxCommandBytes {
		return nil, failure.New(failure.TooLarge, "command of %d bytes exceeds the limit", len(data))
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	default:
		return nil, failure.New(failure.Overloaded, "proposal queue is full: %d commands", proposalQueueLength)
	}
	return r.wait(ctx, p)
}

func (r *Replica) wait(ctx context.Context, p *proposal) (*controlpb.Result, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "no result of the command before the deadline")
	case <-r.ended:
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the log was closed")
	}
}

// propose appends a command and all others that are queued, so that one sync serves all:
// batches grow with the load.
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
		c.trackProposal(index+uint64(i), p)
	}
}

func (c *core) proposeAll(data [][]byte) (uint64, error) {
	if err := c.checkWritable(); err != nil {
		return 0, err
	}
	return c.node.Propose(data...)
}

// trackProposal keeps a proposal until its index is applied. An earlier proposal at that
// index was overwritten in this replica's log only: another replica may still have its
// entry, win the next term and commit it. Reported as not run, the command would be sent
// again and perhaps run twice.
func (c *core) trackProposal(index uint64, p *proposal) {
	if earlier := c.pending[index]; earlier != nil {
		earlier.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "entry %d was overwritten before it was committed", index))
	}
	c.pending[index] = p
}

// completeProposal completes the proposal of an applied entry. If the entry has another
// term, the proposal's own entry was replaced before it committed and never will be.
func (c *core) completeProposal(entry *consensuspb.Entry, result *controlpb.Result) {
	p := c.pending[entry.Index]
	if p == nil {
		return
	}
	delete(c.pending, entry.Index)
	if p.term != entry.Term {
		c.finishReplaced(p)
		return
	}
	p.finish(result, nil)
}

func (c *core) finishReplaced(p *proposal) {
	f := failure.New(failure.NotLeader, "the command's entry was replaced by an entry of another leader")
	f.Leader = c.replica.Leader()
	p.finish(nil, f)
}
