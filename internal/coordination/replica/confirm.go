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

// confirmsPerBound is how many times per freshness bound a member that does not
// lead asks the leader.
const confirmsPerBound = 8

// read waits for a fresh read: for its round, then for its index.
type read struct {
	round uint64
	index uint64
	done  chan error
}

// Age is such that a State read after it returned holds everything that was
// committed that long ago or earlier.
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

// Fresh fails while the state is older than the freshness bound: a replica that
// is cut off, also a leader, would admit work under rules since replaced.
func (r *Replica) Fresh() error {
	_, err := r.Age()
	return err
}

// confirmAsLeader notes the newest moment at which a quorum surely recognised
// this leader: what was committed before it has been applied here. The part of
// a tick since the last one counts as a whole one.
func (c *core) confirmAsLeader(status consensus.Status) {
	at := c.lastTick.Add(-time.Duration(status.QuorumAge+1) * c.tick)
	c.replica.confirm(at)
}

// confirm moves the confirmation forward, never back.
func (r *Replica) confirm(at boottime.Time) {
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

// confirmFromLeader asks the leader again and again how old its state is, and a new
// leader at once.
func (r *Replica) confirmFromLeader(ctx context.Context) {
	every := r.config.FreshnessBound / confirmsPerBound
	for ctx.Err() == nil {
		changed := r.leaderChanged.Next()
		r.confirmUntil(ctx, changed)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(every):
		}
	}
}

// confirmUntil asks the leader of now once and gives up when the leader changes. One
// whose machine stands still leaves its connections open and never answers: a replica
// that waited for it would be stale, and refuse its callers, long after another one
// was elected.
func (r *Replica) confirmUntil(ctx context.Context, changed <-chan struct{}) {
	leader := r.Leader()
	if leader == "" || leader == r.config.Instance {
		return
	}
	led, leave := control.WithDone(ctx, changed)
	defer leave()
	asking, cancel := context.WithTimeout(led, r.config.FreshnessBound)
	defer cancel()
	// A failed try leaves the state to grow old; the next one follows.
	_ = r.confirmFrom(asking, leader, false)
}

// confirmFrom asks the leader and waits until what it had committed is applied
// here. Only this process's clock is read: the age counts from the sending.
func (r *Replica) confirmFrom(ctx context.Context, leader string, fresh bool) error {
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
	r.confirm(sent.Add(-time.Duration(confirmation.GetAgeMs()) * time.Millisecond))
	return nil
}

// serveConfirm answers as the leader. Age first, then the state: the state
// then holds all that the age speaks of.
func (r *Replica) serveConfirm(ctx context.Context, ask *peerpb.Confirm) (*peerpb.Confirmation, error) {
	if !r.IsLeader() {
		f := failure.New(failure.NotLeader, "this replica does not lead")
		f.Leader = r.Leader()
		return nil, f
	}
	if ask.Read {
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

// Read waits until State holds everything that was committed before the call.
func (r *Replica) Read(ctx context.Context) error {
	leader := r.Leader()
	switch leader {
	case r.config.Instance:
		return r.readAsLeader(ctx)
	case "":
		return failure.New(failure.NoLeader, "no leader is known")
	}
	return r.confirmFrom(ctx, leader, true)
}

func (r *Replica) readAsLeader(ctx context.Context) error {
	waiting := &read{done: make(chan error, 1)}
	begin := func(c *core) {
		if err := c.refuseWhileHeld(); err != nil {
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
	if err := r.ask(ctx, begin); err != nil {
		return err
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return failure.Wrap(failure.StaleState, ctx.Err(), "leadership was not confirmed")
	}
}

func (c *core) takeReadStates(states []consensus.ReadState) {
	for _, state := range states {
		for _, waiting := range c.reads {
			if waiting.round <= state.Round && waiting.index == 0 {
				waiting.index = state.Index
			}
		}
	}
}

// answerReads ends the reads whose index is applied, and all of them when this
// replica no longer leads: their rounds will never be confirmed.
func (c *core) answerReads() {
	if len(c.reads) == 0 {
		return
	}
	leads := c.node.Status().Role == consensus.Leader
	var left []*read
	for _, waiting := range c.reads {
		switch {
		case waiting.index != 0 && waiting.index <= c.state.Index():
			waiting.done <- nil
		case !leads:
			waiting.done <- failure.New(failure.NotLeader, "leadership was lost before the read")
		default:
			left = append(left, waiting)
		}
	}
	c.reads = left
}
