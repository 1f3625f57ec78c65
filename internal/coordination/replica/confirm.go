package replica

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// confirmationsPerBound is how many times per freshness bound a replica that does not
// lead asks the leader for a confirmation.
const confirmationsPerBound = 8

// read is a pending linearizable read: it waits for its ReadIndex round to be confirmed,
// then for the index of that round to be applied.
type read struct {
	round uint64
	index uint64
	done  chan error
}

// Age returns the age of the control state: a State read after Age returned includes
// everything that was committed at least that long ago. It fails with stale_state if the
// age exceeds the freshness bound.
func (r *Replica) Age() (time.Duration, error) {
	confirmed := r.confirmed.Load()
	if confirmed == nil {
		return 0, failure.New(failure.StaleState, "the control state was never confirmed")
	}
	age := confirmed.Age()
	if age > r.config.FreshnessBound {
		return 0, failure.New(failure.StaleState, "the control state was confirmed %s ago", age.Round(time.Millisecond))
	}
	return age, nil
}

// CheckFresh returns an error if the state is older than the freshness bound: a partitioned
// replica, even a leader, would admit work under rules that have been replaced.
func (r *Replica) CheckFresh() error {
	_, err := r.Age()
	return err
}

// confirmAsLeader records the newest time at which a quorum certainly recognised this
// leader: everything committed before it has been applied here. The elapsed part of the
// current tick counts as a whole tick.
func (c *core) confirmAsLeader(status consensus.Status) {
	at := c.lastTick.Add(-time.Duration(status.QuorumAge+1) * c.tick)
	c.replica.advanceConfirmed(at)
}

// advanceConfirmed moves the confirmed time forward, never back.
func (r *Replica) advanceConfirmed(at boottime.Time) {
	for {
		earlier := r.confirmed.Load()
		if earlier != nil && !at.After(*earlier) {
			return
		}
		if r.confirmed.CompareAndSwap(earlier, &at) {
			return
		}
	}
}

// confirmPeriodically asks the leader periodically how old its state is, and a new
// leader immediately.
func (r *Replica) confirmPeriodically(ctx context.Context) {
	interval := r.config.FreshnessBound / confirmationsPerBound
	for ctx.Err() == nil {
		changed := r.leaderChanged.Next()
		r.confirmWithLeader(ctx, changed)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(interval):
		}
	}
}

// confirmWithLeader asks the current leader once and gives up when the leader changes. A
// leader whose machine is paused keeps its connections open and never answers: a replica
// that waited for it would become stale and refuse its callers long after another leader
// was elected.
func (r *Replica) confirmWithLeader(ctx context.Context, changed <-chan struct{}) {
	leader := r.Leader()
	if leader == "" || leader == r.config.Instance {
		return
	}
	leaderCtx, cancelLeader := control.WithDone(ctx, changed)
	defer cancelLeader()
	callCtx, cancel := context.WithTimeout(leaderCtx, r.config.FreshnessBound)
	defer cancel()
	// After a failed attempt the age of the state grows; the next attempt follows.
	_ = r.requestConfirmation(callCtx, leader, false)
}

// requestConfirmation asks the leader and waits until what the leader had committed is
// applied here. Only the clock of this process is read: the age is counted from the
// sending of the request.
func (r *Replica) requestConfirmation(ctx context.Context, leader string, fresh bool) error {
	sent := boottime.Now()
	call := &peerpb.Call{Body: &peerpb.Call_Confirm{Confirm: &peerpb.Confirm{Read: fresh}}}
	reply, err := r.peers.Call(ctx, leader, call)
	if err != nil {
		return err
	}
	confirmation := reply.GetConfirmation()
	if err := control.AwaitIndex(ctx, r, confirmation.GetIndex()); err != nil {
		return err
	}
	r.advanceConfirmed(sent.Add(-time.Duration(confirmation.GetAgeMs()) * time.Millisecond))
	return nil
}

// serveConfirm answers a confirmation request as the leader. It reads the age before the
// state, so that the state includes everything that the age covers.
func (r *Replica) serveConfirm(ctx context.Context, request *peerpb.Confirm) (*peerpb.Confirmation, error) {
	if !r.IsLeader() {
		f := failure.New(failure.NotLeader, "this replica does not lead")
		f.Leader = r.Leader()
		return nil, f
	}
	if request.Read {
		if err := r.readAsLeader(ctx); err != nil {
			return nil, err
		}
		return &peerpb.Confirmation{Index: r.State().Index()}, nil
	}
	age, err := r.Age()
	if err != nil {
		return nil, err
	}
	roundedUp := (age + time.Millisecond - 1).Milliseconds()
	return &peerpb.Confirmation{Index: r.State().Index(), AgeMs: roundedUp}, nil
}

// Read waits until State includes everything that was committed before the call.
func (r *Replica) Read(ctx context.Context) error {
	leader := r.Leader()
	switch leader {
	case r.config.Instance:
		return r.readAsLeader(ctx)
	case "":
		return failure.New(failure.NoLeader, "no leader is known")
	}
	return r.requestConfirmation(ctx, leader, true)
}

func (r *Replica) readAsLeader(ctx context.Context) error {
	waiting := &read{done: make(chan error, 1)}
	start := func(c *core) {
		if err := c.checkWritable(); err != nil {
			waiting.done <- err
			return
		}
		round, err := c.node.ReadIndex()
		if err != nil {
			waiting.done <- err
			return
		}
		waiting.round = round
		c.reads = append(c.reads, waiting)
	}
	if err := r.runInCore(ctx, start); err != nil {
		return err
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return failure.Wrap(failure.StaleState, ctx.Err(), "leadership was not confirmed")
	}
}

func (c *core) assignReadIndexes(states []consensus.ReadState) {
	for _, state := range states {
		for _, waiting := range c.reads {
			if waiting.round <= state.Round && waiting.index == 0 {
				waiting.index = state.Index
			}
		}
	}
}

// completeReads completes the reads whose index is applied. If this replica no longer
// leads, it fails the others, since their rounds will never be confirmed.
func (c *core) completeReads() {
	if len(c.reads) == 0 {
		return
	}
	leads := c.node.Status().Role == consensus.Leader
	var remaining []*read
	for _, waiting := range c.reads {
		switch {
		case waiting.index != 0 && waiting.index <= c.state.Index():
			waiting.done <- nil
		case !leads:
			waiting.done <- failure.New(failure.NotLeader, "leadership was lost before the read")
		default:
			remaining = append(remaining, waiting)
		}
	}
	c.reads = remaining
}
