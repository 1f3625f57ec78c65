package follower

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	bound           = 3 * time.Second
	electionTimeout = 400 * time.Millisecond
)

// network is an in-memory network. As with TCP, a cut direction delays messages until it
// heals, and neither end receives an error.
type network struct {
	mu      sync.Mutex
	changed chan struct{}
	nodes   map[string]serving
	cut     map[[2]string]bool
	// rates are the link rates of instances in bytes per second, the same in both
	// directions; a link without a rate has no delay. freeAt is when a direction of a
	// link becomes idle.
	rates  map[string]float64
	freeAt map[direction]time.Time
	// sent counts the bytes sent on streams by sender.
	sent map[string]int
	// reply answers calls.
	reply func(to string) (*peerpb.Reply, error)
	// callDelays are the times that instances take to answer a call; called lists all
	// instances called, in order.
	callDelays map[string]time.Duration
	called     []string
}

type serving interface {
	ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error
}

func newNetwork() *network {
	return &network{
		changed: make(chan struct{}), nodes: map[string]serving{}, cut: map[[2]string]bool{},
		rates: map[string]float64{}, freeAt: map[direction]time.Time{}, sent: map[string]int{},
		callDelays: map[string]time.Duration{},
	}
}

// direction is one direction of an instance's link.
type direction struct {
	instance string
	out      bool
}

func (m *network) sentBy(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent[name]
}

// deliveryTime returns when a message sent now has passed the links of both instances,
// and reserves them until then. The caller holds the lock.
func (m *network) deliveryTime(from, to string, size int) time.Time {
	at := time.Now()
	for _, w := range []direction{{from, true}, {to, false}} {
		rate := m.rates[w.instance]
		if rate == 0 {
			continue
		}
		if m.freeAt[w].After(at) {
			at = m.freeAt[w]
		}
		at = at.Add(time.Duration(float64(size) / rate * float64(time.Second)))
		m.freeAt[w] = at
	}
	return at
}

func (m *network) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *network) setCut(from, to string, cut bool) {
	m.update(func() { m.cut[[2]string{from, to}] = cut })
}

func (m *network) setCutBoth(a, b string, cut bool) {
	m.setCut(a, b, cut)
	m.setCut(b, a, cut)
}

// await waits until ready returns true, which is called under the lock. It returns false
// if ctx ends first.
func (m *network) await(ctx context.Context, ready func() bool) bool {
	for {
		m.mu.Lock()
		done, changed := ready(), m.changed
		m.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// wire is one direction of a stream.
type wire[T any] struct {
	network   *network
	ctx       context.Context
	direction [2]string
	held      []queued[T]
	end       error
	// arrived counts the bytes of the messages received.
	arrived uint64
}

// queued is a message in flight.
type queued[T any] struct {
	message T
	size    int
	sent    time.Time
	due     time.Time
}

// sendBuffer is the number of bytes in flight at which a sender blocks, as with TCP.
const sendBuffer = 512 << 10

func (w *wire[T]) inFlight() (bytes int) {
	for _, c := range w.held {
		bytes += c.size
	}
	return bytes
}

func (w *wire[T]) put(message T) error {
	if w.ctx.Err() != nil {
		return failure.New(failure.Unreachable, "closed")
	}
	size := proto.Size(any(message).(proto.Message))
	if !w.network.await(w.ctx, func() bool { return w.inFlight() < sendBuffer }) {
		return failure.New(failure.Unreachable, "closed")
	}
	w.network.update(func() {
		due := w.network.deliveryTime(w.direction[0], w.direction[1], size)
		w.network.sent[w.direction[0]] += size
		w.held = append(w.held, queued[T]{message: message, size: size, sent: time.Now(), due: due})
	})
	return nil
}

// bytes returns the number of bytes received, including the part of the next message that
// has arrived by now at the rate of the link.
func (w *wire[T]) bytes() uint64 {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	if w.network.cut[w.direction] || len(w.held) == 0 {
		return w.arrived
	}
	next, now := w.held[0], time.Now()
	if !now.Before(next.due) {
		return w.arrived + uint64(next.size)
	}
	rate := w.network.rates[w.direction[1]]
	missing := next.due.Sub(now).Seconds() * rate
	return w.arrived + uint64(max(0, float64(next.size)-missing))
}

func (w *wire[T]) take() (message T, err error) {
	ready := func() bool { return !w.network.cut[w.direction] && (len(w.held) > 0 || w.end != nil) }
	if !w.network.await(w.ctx, ready) {
		return message, failure.New(failure.Unreachable, "closed")
	}
	w.awaitArrival()
	w.network.update(func() {
		if len(w.held) == 0 {
			err = w.end
			return
		}
		next := w.held[0]
		message, w.held = next.message, w.held[1:]
		w.arrived += uint64(next.size)
	})
	return message, err
}

// awaitArrival waits until the next message has passed the links.
//
// It uses no timer for a message that is already due: in a synctest bubble with the race
// detector, selecting on an expired timer occasionally crashes the process in the runtime
// (selectgo, maybeRunChan, SIGSEGV in the detector; seen in 6 of 29 runs of the package).
func (w *wire[T]) awaitArrival() {
	w.network.mu.Lock()
	var wait time.Duration
	if len(w.held) > 0 {
		wait = time.Until(w.held[0].due)
	}
	w.network.mu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-w.ctx.Done():
	case <-time.After(wait):
	}
}

type stream struct {
	pings   *wire[*peerpb.FollowPing]
	batches *wire[*peerpb.FollowBatch]
	cancel  context.CancelFunc
}

type servingEnd struct{ *stream }

func (s servingEnd) Send(b *peerpb.FollowBatch) error     { return s.batches.put(b) }
func (s servingEnd) Receive() (*peerpb.FollowPing, error) { return s.pings.take() }
func (s *stream) Send(p *peerpb.FollowPing) error         { return s.pings.put(p) }
func (s *stream) Receive() (*peerpb.FollowBatch, error)   { return s.batches.take() }
func (s *stream) BytesReceived() uint64                   { return s.batches.bytes() }
func (s *stream) Close() error                            { s.cancel(); return nil }
func (e endpoint) both(to string, cut map[[2]string]bool) bool {
	return cut[[2]string{e.name, to}] || cut[[2]string{to, e.name}]
}

// endpoint is one instance's access to the network.
type endpoint struct {
	*network
	name string
}

func (e endpoint) Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error) {
	if !e.await(ctx, func() bool { return !e.both(to, e.cut) && e.nodes[to] != nil }) {
		return nil, failure.New(failure.Unreachable, "no route to %s", to)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{cancel: cancel}
	s.pings = &wire[*peerpb.FollowPing]{network: e.network, ctx: ctx, direction: [2]string{e.name, to}}
	s.batches = &wire[*peerpb.FollowBatch]{network: e.network, ctx: ctx, direction: [2]string{to, e.name}}
	e.mu.Lock()
	node := e.nodes[to]
	e.mu.Unlock()
	go func() {
		err := node.ServeFollow(ctx, follow, servingEnd{s})
		e.update(func() { s.batches.end = streamError(err) })
	}()
	return s, nil
}

// streamError returns the error that a follower receives when its stream ends: the refusal
// itself, as with the real transport.
func streamError(err error) error {
	if err == nil {
		return failure.New(failure.Unreachable, "ended")
	}
	return failure.From(err)
}

func (e endpoint) Call(ctx context.Context, to string, _ *peerpb.Call) (*peerpb.Reply, error) {
	if !e.await(ctx, func() bool { return !e.both(to, e.cut) }) {
		return nil, failure.New(failure.Unreachable, "no route to %s", to)
	}
	delay := time.Duration(0)
	e.update(func() {
		delay = e.callDelays[to]
		e.called = append(e.called, to)
	})
	if delay > 0 && !control.Sleep(ctx, delay) {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "answer of %s", to)
	}
	return e.reply(to)
}

// voter is a leader with its log in memory.
type voter struct {
	*control.PublishedState
	name string
	feed *feed.Server
	// otherLeader is the name of the leader if that is another instance.
	otherLeader atomic.Pointer[string]
}

func newVoter(m *network, name string) *voter {
	v := &voter{PublishedState: control.NewPublishedState(), name: name}
	v.feed = feed.NewServer(v)
	m.nodes[name] = v
	return v
}

func (v *voter) Age() (time.Duration, error) { return 0, nil }
func (v *voter) Path() []string              { return []string{v.name} }

func (v *voter) Leader() string {
	if other := v.otherLeader.Load(); other != nil {
		return *other
	}
	return v.name
}

func (v *voter) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return v.feed.Serve(ctx, follow, stream)
}

// change accepts one change of the declarations: revision and index increase by one.
func (v *voter) change() { v.apply(changeOf(v.State())) }

func (v *voter) apply(command *controlpb.Command) {
	entry := &peerpb.LogEntry{Index: v.State().Index() + 1, Command: command}
	state, _ := control.Apply(v.State(), entry)
	v.feed.EntriesApplied(entry)
	v.Publish(state)
}

func changeOf(state *store.State) *controlpb.Command {
	item := &controlpb.Item{
		Key:  "customer/crews",
		Body: &controlpb.Item_Customer{Customer: &controlpb.Customer{Name: "crews", Weight: uint32(state.Index()) + 1}},
	}
	apply := &controlpb.ApplyItems{ExpectedRevision: state.Revision(), Set: []*controlpb.Item{item}}
	return &controlpb.Command{Op: &controlpb.Command_Apply{Apply: apply}}
}

// start runs a follower until ctx ends.
func (m *network) start(ctx context.Context, self Candidate, candidates ...Candidate) *Follower {
	f := New(Config{
		Self:            self,
		Voters:          []string{"v"},
		FreshnessBound:  bound,
		ElectionTimeout: electionTimeout,
		Candidates:      func() []Candidate { return append([]Candidate(nil), candidates...) },
		Rand:            rand.New(rand.NewPCG(1, uint64(len(m.nodes)))),
		Logger:          discardLogger(),
	}, endpoint{m, self.Name})
	m.update(func() { m.nodes[self.Name] = f })
	go func() { _ = f.Run(ctx) }()
	return f
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// bubble runs a test in a synctest bubble and cancels its context at the end.
func bubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(t, ctx)
	})
}

// advance advances the fake time and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func relay(i int) Candidate { return Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"} }
