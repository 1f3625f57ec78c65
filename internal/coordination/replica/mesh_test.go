package replica

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/disk/disktest"
)

// mesh joins replicas in memory; instances can be cut off and started again.
type mesh struct {
	t        testing.TB
	mu       sync.Mutex
	replicas map[string]*Replica
	disks    map[string]*disktest.FS
	stops    map[string]func() error
	cut      map[string]bool
	// frozen instances take calls and messages and say nothing.
	frozen map[string]bool
	// held are the commands that frozen instances find when they go on.
	held map[string][]*peerpb.Propose
	// freezing is an instance that stands still before its next answer leaves.
	freezing string
	// remembering is an instance without a disk that holds control state.
	remembering string
	// entries is Config.SnapshotEntries.
	entries uint64
	// folder is where the data folders are; empty for disks in memory.
	folder string
	// syncDelay is added to each sync there.
	syncDelay time.Duration
}

var voters = []string{"i1", "i2", "i3"}

func newMesh(t testing.TB) *mesh {
	m := &mesh{
		t: t, replicas: map[string]*Replica{}, disks: map[string]*disktest.FS{},
		stops: map[string]func() error{}, cut: map[string]bool{}, frozen: map[string]bool{},
		held: map[string][]*peerpb.Propose{},
	}
	t.Cleanup(func() {
		for _, stop := range m.stops {
			_ = stop()
		}
	})
	return m
}

// start runs an instance on its disk, or on a new one.
func (m *mesh) start(instance string) *Replica {
	if m.disks[instance] == nil {
		m.disks[instance] = disktest.New()
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := New(Config{
		Instance: instance, Voters: voters, Peers: func() []string { return []string{"i1", "i2", "i3", "i4"} },
		Files: m.files(instance), DataFolder: filepath.Join(cmp.Or(m.folder, "/data"), instance),
		ElectionTimeout: 400 * time.Millisecond, FreshnessBound: 3 * time.Second,
		SnapshotEntries: m.entries, Now: time.Now, Logger: logger,
		Rand: rand.New(rand.NewPCG(uint64(instance[1]), 7)),
	}, endpoint{m, instance})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	m.stops[instance] = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	m.mu.Lock()
	m.replicas[instance] = r
	m.mu.Unlock()
	return r
}

func (m *mesh) files(instance string) disk.FS {
	if m.folder != "" {
		return slowDisk{delay: m.syncDelay}
	}
	return m.disks[instance]
}

// crash ends an instance and leaves on its disk what was synced.
func (m *mesh) crash(instance string) {
	m.setCut(instance, true)
	_ = m.stops[instance]()
	m.disks[instance] = m.disks[instance].Crash(0)
	m.setCut(instance, false)
}

func (m *mesh) setCut(instance string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[instance] = cut
}

// freeze makes an instance silent, as one whose machine stands still: a call to it
// hangs until its caller gives up, and messages are lost without an error.
func (m *mesh) freeze(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen[instance] = true
}

// thaw lets an instance go on: it serves what it had taken.
func (m *mesh) thaw(instance string) {
	m.mu.Lock()
	held := m.held[instance]
	delete(m.held, instance)
	m.frozen[instance] = false
	m.mu.Unlock()
	for _, propose := range held {
		// Who sent it is gone; what it does is seen in the state.
		_, _ = m.replicas[instance].ServePropose(background(), propose)
	}
}

// hang waits as for an instance that says nothing, and fails as the transport does
// once a call was written.
func (m *mesh) hang(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	if propose := call.GetPropose(); propose != nil {
		m.mu.Lock()
		m.held[to] = append(m.held[to], proto.CloneOf(propose))
		m.mu.Unlock()
	}
	return m.unanswered(ctx, to)
}

func (m *mesh) unanswered(ctx context.Context, to string) (*peerpb.Reply, error) {
	<-ctx.Done()
	return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "%s is silent", to)
}

// freezesNow tells whether an instance that has served a command stands still before
// it answers.
func (m *mesh) freezesNow(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freezing != instance {
		return false
	}
	m.freezing = ""
	m.frozen[instance] = true
	return true
}

// silent tells whether nothing passes between two instances, without an error.
func (m *mesh) silent(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frozen[from] || m.frozen[to]
}

// setRoom says how many more bytes fit on a replica's disk; negative: no limit.
func (m *mesh) setRoom(r *Replica, room int) { m.disks[r.config.Instance].SetRoom(room) }

// reach gives a replica unless a cut lies between.
func (m *mesh) reach(from, to string) (*Replica, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replicas[to] == nil || m.cut[from] || m.cut[to] {
		return nil, failure.New(failure.Unreachable, "%s is cut off", to)
	}
	return m.replicas[to], nil
}

// leader waits for one that decides.
func (m *mesh) leader() *Replica {
	for range 1000 {
		for _, r := range m.replicas {
			if r.IsLeader() && !m.cut[r.config.Instance] && !m.frozen[r.config.Instance] {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	m.t.Fatal("no leader")
	return nil
}

func (m *mesh) other(than *Replica) *Replica {
	for _, voter := range voters {
		if r := m.replicas[voter]; r != than {
			return r
		}
	}
	return nil
}

type endpoint struct {
	mesh *mesh
	self string
}

func (e endpoint) Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	if to == e.mesh.remembering && call.GetIntroduce() != nil {
		return &peerpb.Reply{Body: &peerpb.Reply_Introduction{Introduction: &peerpb.Introduction{Cluster: true}}}, nil
	}
	if e.mesh.silent(e.self, to) {
		return e.mesh.hang(ctx, to, call)
	}
	r, err := e.mesh.reach(e.self, to)
	if err != nil {
		return nil, err
	}
	if propose := call.GetPropose(); propose != nil {
		result, err := r.ServePropose(ctx, proto.CloneOf(propose))
		if e.mesh.freezesNow(to) {
			return e.mesh.unanswered(ctx, to)
		}
		if err != nil {
			return nil, err
		}
		return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: result}}, nil
	}
	return r.ServeReplica(ctx, call)
}

func (e endpoint) Messages(_ context.Context, to string) (control.MessageStream, error) {
	return stream{e, to}, nil
}

type stream struct {
	endpoint
	to string
}

func (s stream) Send(messages ...*consensuspb.Message) error {
	if s.mesh.silent(s.self, s.to) {
		return nil
	}
	r, err := s.mesh.reach(s.self, s.to)
	if err != nil {
		return err
	}
	for _, message := range messages {
		r.Deliver(message)
	}
	return nil
}

func (s stream) Close() error { return nil }

// drain is a command whose effect is easy to look up.
func drain(upstream string) *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_Drain{Drain: &controlpb.SetDrain{Upstream: upstream, Drained: true}}}
}

func background() context.Context { return context.Background() }
