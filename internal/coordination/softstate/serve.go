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
	// incarnation and after are the position up to which the watcher has the changes.
	incarnation int64
	after       uint64
	ping        atomic.Uint64
	pinged      chan struct{}
	// answered is the newest ping echoed by a batch.
	answered uint64
	// renewals is true if the watcher wants the versions of announcements without
	// changes. sentVersions are those already sent.
	renewals     atomic.Bool
	sentVersions map[uint32]uint64
	// sentState is the last state of this instance sent in a batch.
	sentState   *peerpb.InstanceState
	leavingSent atomic.Bool
}

// Serve streams the changes that this instance observes directly to a watcher until the
// stream ends.
func (x *Exchange) Serve(ctx context.Context, watch *peerpb.Watch, stream Stream) error {
	s := &session{exchange: x, stream: stream, incarnation: watch.Incarnation, after: watch.After, pinged: make(chan struct{}, 1)}
	s.sentVersions = map[uint32]uint64{}
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
		return failure.New(failure.Overloaded, "limit of %d watchers reached", maxWatchers)
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

// receive reads pings. It ends the session when the stream ends.
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
			control.Sleep(ctx, coalesceInterval)
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

// renewalDue returns a channel that never fires for a watcher that wants no renewals.
func (s *session) renewalDue() <-chan time.Time {
	if !s.renewals.Load() {
		return nil
	}
	return time.After(renewInterval)
}

// step sends one batch if there is anything to send, and reports whether it did.
func (s *session) step() (bool, error) {
	first := s.answered == 0
	batch := s.exchange.registry.Changes(s.incarnation, s.after, maxBatchBytes)
	hasChanges := batch.To > batch.From || (first && batch.Reset_)
	if !hasChanges {
		batch = &peerpb.SoftBatch{}
	}
	batch.Echo = s.ping.Load()
	if s.renewals.Load() && !first {
		batch.Renewed, batch.Versions = s.exchange.registry.Renewals(s.sentVersions)
	}
	self := s.describe(batch, first)
	if !hasChanges && batch.Echo == s.answered && batch.Instance == nil && batch.Progress == nil && len(batch.Renewed) == 0 {
		return false, nil
	}
	if err := s.stream.Send(batch); err != nil {
		return false, err
	}
	batchesSent.Add(1)
	if hasChanges {
		s.incarnation, s.after = self.Incarnation, batch.To
	}
	s.answered, s.sentState = batch.Echo, self
	s.leavingSent.Store(self.Leaving)
	return true, nil
}

// describe adds the changes of this instance's own state to the batch: the full state at
// first and when more than its progress changed, else the progress. A change of the applied
// index alone is sent with the answer to the next ping.
func (s *session) describe(batch *peerpb.SoftBatch, first bool) *peerpb.InstanceState {
	self := s.exchange.registry.Self()
	switch {
	case first:
		batch.Incarnation = self.Incarnation
		batch.Instance = self
	case !proto.Equal(withoutProgress(self), withoutProgress(s.sentState)):
		batch.Instance = self
	case self.Revision != s.sentState.Revision || self.Ready != s.sentState.Ready || self.Leaving != s.sentState.Leaving,
		batch.Echo != s.answered && self.Applied != s.sentState.Applied:
		batch.Progress = &peerpb.Progress{Applied: self.Applied, Revision: self.Revision, Ready: self.Ready, Leaving: self.Leaving, LogRole: self.LogRole}
	default:
		return s.sentState
	}
	return self
}

func withoutProgress(state *peerpb.InstanceState) *peerpb.InstanceState {
	state = proto.CloneOf(state)
	state.Applied = 0
	state.Revision = 0
	state.Ready = false
	state.Leaving = false
	return state
}
