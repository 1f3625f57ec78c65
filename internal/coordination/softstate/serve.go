package softstate

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// session is one watcher's stream.
type session struct {
	exchange *Exchange
	stream   Stream
	// incarnation and after are what the watcher holds.
	incarnation int64
	after       uint64
	ping        atomic.Uint64
	pinged      chan struct{}
	// answered is the newest ping that a batch has named, told the newest
	// state of this instance that one has carried.
	answered uint64
	// renewals tells whether the watcher wants versions of announcements that
	// changed nothing; has is what it was sent of them.
	renewals    atomic.Bool
	has         map[uint32]uint64
	told        *peerpb.InstanceState
	leavingTold atomic.Bool
}

// Serve sends a watcher what this instance hears first hand, until its stream
// ends.
func (x *Exchange) Serve(ctx context.Context, watch *peerpb.Watch, stream Stream) error {
	s := &session{exchange: x, stream: stream, incarnation: watch.Incarnation, after: watch.After, pinged: make(chan struct{}, 1)}
	s.has = map[uint32]uint64{}
	s.ping.Store(1)
	s.renewals.Store(watch.Renewals)
	if err := x.admit(s); err != nil {
		return err
	}
	defer x.release(s)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.receive(cancel)
	return s.run(ctx)
}

func (x *Exchange) admit(s *session) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.sessions) >= maxWatchers {
		return failure.New(failure.Overloaded, "%d instances watch already", maxWatchers)
	}
	x.sessions[s] = true
	watchers.Add(1)
	return nil
}

func (x *Exchange) release(s *session) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sessions, s)
	watchers.Add(-1)
}

// receive reads pings; the end of the stream ends the session.
func (s *session) receive(cancel context.CancelFunc) {
	defer cancel()
	for {
		ping, err := s.stream.Receive()
		if err != nil {
			return
		}
		s.ping.Store(ping.Number)
		s.renewals.Store(ping.Renewals)
		select {
		case s.pinged <- struct{}{}:
		default:
		}
	}
}

func (s *session) run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.exchange.registry.Changed()
		sent, err := s.step()
		if err != nil {
			return err
		}
		if sent {
			control.Pause(ctx, coalesce)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.pinged:
		case <-s.renewalDue():
		}
	}
	return nil
}

// renewalDue never comes for a watcher that wants no renewals.
func (s *session) renewalDue() <-chan time.Time {
	if !s.renewals.Load() {
		return nil
	}
	return time.After(renewEvery)
}

// step sends one batch where there is something to say.
func (s *session) step() (bool, error) {
	first := s.answered == 0
	batch := s.exchange.registry.Changes(s.incarnation, s.after, maxBatchBytes)
	news := batch.To > batch.From || (first && batch.Reset_)
	if !news {
		batch = &peerpb.SoftBatch{}
	}
	batch.Echo = s.ping.Load()
	if s.renewals.Load() && !first {
		batch.Renewed, batch.Versions = s.exchange.registry.Renewals(s.has)
	}
	self := s.describe(batch, first)
	if !news && batch.Echo == s.answered && batch.Instance == nil && batch.Progress == nil && len(batch.Renewed) == 0 {
		return false, nil
	}
	if err := s.stream.Send(batch); err != nil {
		return false, err
	}
	batchesSent.Add(1)
	if news {
		s.incarnation, s.after = self.Incarnation, batch.To
	}
	s.answered, s.told = batch.Echo, self
	s.leavingTold.Store(self.Leaving)
	return true, nil
}

// describe adds what changed of this instance: the whole at first and when more
// than its progress changed, else its progress. The applied index alone waits for the next ping.
func (s *session) describe(batch *peerpb.SoftBatch, first bool) *peerpb.InstanceState {
	self := s.exchange.registry.Self()
	switch {
	case first:
		batch.Incarnation = self.Incarnation
		batch.Instance = self
	case !proto.Equal(fixedState(self), fixedState(s.told)):
		batch.Instance = self
	case self.Revision != s.told.Revision || self.Ready != s.told.Ready || self.Leaving != s.told.Leaving,
		batch.Echo != s.answered && self.Applied != s.told.Applied:
		batch.Progress = &peerpb.Progress{Applied: self.Applied, Revision: self.Revision, Ready: self.Ready, Leaving: self.Leaving, LogRole: self.LogRole}
	default:
		return s.told
	}
	return self
}

func fixedState(state *peerpb.InstanceState) *peerpb.InstanceState {
	state = proto.CloneOf(state)
	state.Applied = 0
	state.Revision = 0
	state.Ready = false
	state.Leaving = false
	return state
}
