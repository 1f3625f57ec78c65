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

// mesh is a network in memory. A cut direction holds what is sent until it
// heals, as TCP does; nobody is told.
type mesh struct {
	mu      sync.Mutex
	changed chan struct{}
	nodes   map[string]serving
	cut     map[[2]string]bool
	// rates are the links of instances in bytes a second, the same both ways;
	// without one a link takes no time. free is when a way into or out of one is
	// free again.
	rates map[string]float64
	free  map[way]time.Time
	// sent counts the bytes of batches by sender.
	sent map[string]int
	// reply answers calls.
	reply func(to string) (*peerpb.Reply, error)
	// takes is how long instances work on a call before they answer; called are all
	// that were called.
	takes  map[string]time.Duration
	called []string
}

type serving interface {
	ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error
}

func newMesh() *mesh {
	return &mesh{
		changed: make(chan struct{}), nodes: map[string]serving{}, cut: map[[2]string]bool{},
		rates: map[string]float64{}, free: map[way]time.Time{}, sent: map[string]int{},
		takes: map[string]time.Duration{},
	}
}

// way is one direction of an instance's link.
type way struct {
	instance string
	out      bool
}

func (m *mesh) sentBy(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent[name]
}

// carry gives when a message that is sent now has passed both links. The caller
// holds the lock.
func (m *mesh) carry(from, to string, size int) time.Time {
	at := time.Now()
	for _, w := range []way{{from, true}, {to, false}} {
		rate := m.rates[w.instance]
		if rate == 0 {
			continue
		}
		if m.free[w].After(at) {
			at = m.free[w]
		}
		at = at.Add(time.Duration(float64(size) / rate * float64(time.Second)))
		m.free[w] = at
	}
	return at
}

func (m *mesh) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *mesh) setCut(from, to string, cut bool) {
	m.update(func() { m.cut[[2]string{from, to}] = cut })
}

func (m *mesh) setCutBoth(a, b string, cut bool) {
	m.setCut(a, b, cut)
	m.setCut(b, a, cut)
}

// await waits until ready, asked under the lock, reports true.
func (m *mesh) await(ctx context.Context, ready func() bool) bool {
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
	mesh *mesh
	ctx  context.Context
	way  [2]string
	held []carried[T]
	end  error
	// arrived counts the bytes of what was taken.
	arrived uint64
}

// carried is a message on its way.
type carried[T any] struct {
	message T
	size    int
	sent    time.Time
	due     time.Time
}

// sendBuffer is what a sender may have on its way before it waits, as TCP does.
const sendBuffer = 512 << 10

func (w *wire[T]) underWay() (bytes int) {
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
	if !w.mesh.await(w.ctx, func() bool { return w.underWay() < sendBuffer }) {
		return failure.New(failure.Unreachable, "closed")
	}
	w.mesh.update(func() {
		due := w.mesh.carry(w.way[0], w.way[1], size)
		w.mesh.sent[w.way[0]] += size
		w.held = append(w.held, carried[T]{message: message, size: size, sent: time.Now(), due: due})
	})
	return nil
}

// bytes counts what has come, and of the next message the part that its time on
// the link says.
func (w *wire[T]) bytes() uint64 {
	w.mesh.mu.Lock()
	defer w.mesh.mu.Unlock()
	if w.mesh.cut[w.way] || len(w.held) == 0 {
		return w.arrived
	}
	next, now := w.held[0], time.Now()
	if !now.Before(next.due) {
		return w.arrived + uint64(next.size)
	}
	rate := w.mesh.rates[w.way[1]]
	missing := next.due.Sub(now).Seconds() * rate
	return w.arrived + uint64(max(0, float64(next.size)-missing))
}

func (w *wire[T]) take() (message T, err error) {
	ready := func() bool { return !w.mesh.cut[w.way] && (len(w.held) > 0 || w.end != nil) }
	if !w.mesh.await(w.ctx, ready) {
		return message, failure.New(failure.Unreachable, "closed")
	}
	w.arrive()
	w.mesh.update(func() {
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

// arrive waits until the next message has passed the links.
//
// One that is due waits on no timer: selecting on a timer that has run out, in a
// bubble and with the race detector, now and then ends the whole process within the
// runtime (selectgo, maybeRunChan, SIGSEGV in the detector; 6 of 29 runs of the package).
func (w *wire[T]) arrive() {
	w.mesh.mu.Lock()
	var wait time.Duration
	if len(w.held) > 0 {
		wait = time.Until(w.held[0].due)
	}
	w.mesh.mu.Unlock()
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

// endpoint is one instance's side of the mesh.
type endpoint struct {
	*mesh
	name string
}

func (e endpoint) Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error) {
	if !e.await(ctx, func() bool { return !e.both(to, e.cut) && e.nodes[to] != nil }) {
		return nil, failure.New(failure.Unreachable, "no way to %s", to)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{cancel: cancel}
	s.pings = &wire[*peerpb.FollowPing]{mesh: e.mesh, ctx: ctx, way: [2]string{e.name, to}}
	s.batches = &wire[*peerpb.FollowBatch]{mesh: e.mesh, ctx: ctx, way: [2]string{to, e.name}}
	e.mu.Lock()
	node := e.nodes[to]
	e.mu.Unlock()
	go func() {
		err := node.ServeFollow(ctx, follow, servingEnd{s})
		e.update(func() { s.batches.end = reasonOf(err) })
	}()
	return s, nil
}

// reasonOf is what a follower hears when its stream ends: the refusal itself, as the
// transport carries it.
func reasonOf(err error) error {
	if err == nil {
		return failure.New(failure.Unreachable, "ended")
	}
	return failure.From(err)
}

func (e endpoint) Call(ctx context.Context, to string, _ *peerpb.Call) (*peerpb.Reply, error) {
	if !e.await(ctx, func() bool { return !e.both(to, e.cut) }) {
		return nil, failure.New(failure.Unreachable, "no way to %s", to)
	}
	takes := time.Duration(0)
	e.update(func() {
		takes = e.takes[to]
		e.called = append(e.called, to)
	})
	if takes > 0 && !control.Pause(ctx, takes) {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "answer of %s", to)
	}
	return e.reply(to)
}

// voter is a leader whose log is in memory.
type voter struct {
	*control.PublishedState
	name string
	feed *feed.Server
	// led names the leader where that is another one.
	led atomic.Pointer[string]
}

func newVoter(m *mesh, name string) *voter {
	v := &voter{PublishedState: control.NewPublishedState(), name: name}
	v.feed = feed.NewServer(v)
	m.nodes[name] = v
	return v
}

func (v *voter) Age() (time.Duration, error) { return 0, nil }
func (v *voter) Path() []string              { return []string{v.name} }

func (v *voter) Leader() string {
	if led := v.led.Load(); led != nil {
		return *led
	}
	return v.name
}

func (v *voter) ServeFollow(ctx context.Context, follow *peerpb.Follow, stream control.Stream) error {
	return v.feed.Serve(ctx, follow, stream)
}

// change accepts one change of the declarations: revision and index grow by one.
func (v *voter) change() { v.apply(changeOf(v.State())) }

func (v *voter) apply(command *controlpb.Command) {
	entry := &peerpb.LogEntry{Index: v.State().Index() + 1, Command: command}
	state, _ := control.Apply(v.State(), entry)
	v.feed.Applied(entry)
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
func (m *mesh) start(ctx context.Context, self Candidate, candidates ...Candidate) *Follower {
	f := New(Config{
		Self:            self,
		Voters:          []string{"v"},
		FreshnessBound:  bound,
		ElectionTimeout: electionTimeout,
		Candidates:      func() []Candidate { return append([]Candidate(nil), candidates...) },
		Rand:            rand.New(rand.NewPCG(1, uint64(len(m.nodes)))),
		Logger:          quiet(),
	}, endpoint{m, self.Name})
	m.update(func() { m.nodes[self.Name] = f })
	go func() { _ = f.Run(ctx) }()
	return f
}

func quiet() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// bubble runs a test in fake time and ends what it started.
func bubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(t, ctx)
	})
}

// pass lets fake time go on and everything that is due happen.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func relay(i int) Candidate { return Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"} }
