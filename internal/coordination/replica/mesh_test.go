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

// mesh connects replicas in memory; instances can be partitioned and restarted.
type mesh struct {
	t        testing.TB
	mu       sync.Mutex
	replicas map[string]*Replica
	disks    map[string]*disktest.FS
	stops    map[string]func() error
	cut      map[string]bool
	// paused instances accept calls and messages and answer none.
	paused map[string]bool
	// queued are the commands that paused instances process when they resume.
	queued map[string][]*peerpb.Propose
	// pausesBeforeReply is an instance that is paused before its next reply is sent.
	pausesBeforeReply string
	// instanceWithCluster is an instance without a disk that has the control state.
	instanceWithCluster string
	// entries is Config.SnapshotEntries.
	entries uint64
	// folder contains the data folders; empty for disks in memory.
	folder string
	// syncDelay is added to each sync on the disks in folder.
	syncDelay time.Duration
}

var voters = []string{"i1", "i2", "i3"}

const electionTimeout = 400 * time.Millisecond

func newMesh(t testing.TB) *mesh {
	m := &mesh{
		t: t, replicas: map[string]*Replica{}, disks: map[string]*disktest.FS{},
		stops: map[string]func() error{}, cut: map[string]bool{}, paused: map[string]bool{},
		queued: map[string][]*peerpb.Propose{},
	}
	t.Cleanup(func() {
		for _, stop := range m.stops {
			_ = stop()
		}
	})
	return m
}

// start runs an instance on its existing disk, or on a new one.
func (m *mesh) start(instance string) *Replica {
	if m.disks[instance] == nil {
		m.disks[instance] = disktest.New()
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := New(Config{
		Instance: instance, Voters: voters, Peers: func() []string { return []string{"i1", "i2", "i3", "i4"} },
		Files: m.files(instance), DataFolder: filepath.Join(cmp.Or(m.folder, "/data"), instance),
		ElectionTimeout: electionTimeout, FreshnessBound: 3 * time.Second,
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

// crash stops an instance and keeps only the synced content of its disk.
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

// pause makes an instance unresponsive, like one whose machine is paused: a call to it
// hangs until its caller gives up, and messages are lost without an error.
func (m *mesh) pause(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[instance] = true
}

// resume ends the pause of an instance, which then serves the queued commands.
func (m *mesh) resume(instance string) {
	m.mu.Lock()
	queued := m.queued[instance]
	delete(m.queued, instance)
	m.paused[instance] = false
	m.mu.Unlock()
	for _, propose := range queued {
		// The sender has given up; the effect is checked in the state.
		_, _ = m.replicas[instance].ServePropose(background(), propose)
	}
}

// hangCall waits like a call to an unresponsive instance and fails as the transport does
// after a call was written.
func (m *mesh) hangCall(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	if propose := call.GetPropose(); propose != nil {
		m.mu.Lock()
		m.queued[to] = append(m.queued[to], proto.CloneOf(propose))
		m.mu.Unlock()
	}
	return m.awaitTimeout(ctx, to)
}

func (m *mesh) awaitTimeout(ctx context.Context, to string) (*peerpb.Reply, error) {
	<-ctx.Done()
	return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "%s does not respond", to)
}

// pauseBeforeReply reports whether an instance that has served a command is to be paused
// before it replies, and pauses it.
func (m *mesh) pauseBeforeReply(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pausesBeforeReply != instance {
		return false
	}
	m.pausesBeforeReply = ""
	m.paused[instance] = true
	return true
}

// unresponsive reports whether messages between two instances are lost without an error.
func (m *mesh) unresponsive(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused[from] || m.paused[to]
}

// setFreeSpace sets how many more bytes fit on a replica's disk; negative: no limit.
func (m *mesh) setFreeSpace(r *Replica, bytes int) { m.disks[r.config.Instance].SetFreeBytes(bytes) }

// reachable returns a replica unless it is partitioned from the sender.
func (m *mesh) reachable(from, to string) (*Replica, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replicas[to] == nil || m.cut[from] || m.cut[to] {
		return nil, failure.New(failure.Unreachable, "%s is partitioned", to)
	}
	return m.replicas[to], nil
}

// leader waits for a leader that may decide and returns it.
func (m *mesh) leader() *Replica {
	for range 1000 {
		for _, r := range m.replicas {
			if r.IsLeader() && !m.cut[r.config.Instance] && !m.paused[r.config.Instance] {
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
	call.From = e.self
	if to == e.mesh.instanceWithCluster && call.GetIntroduce() != nil {
		return &peerpb.Reply{Body: &peerpb.Reply_Introduction{Introduction: &peerpb.Introduction{Cluster: true}}}, nil
	}
	if e.mesh.unresponsive(e.self, to) {
		return e.mesh.hangCall(ctx, to, call)
	}
	r, err := e.mesh.reachable(e.self, to)
	if err != nil {
		return nil, err
	}
	if propose := call.GetPropose(); propose != nil {
		result, err := r.ServePropose(ctx, proto.CloneOf(propose))
		if e.mesh.pauseBeforeReply(to) {
			return e.mesh.awaitTimeout(ctx, to)
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
	if s.mesh.unresponsive(s.self, s.to) {
		return nil
	}
	r, err := s.mesh.reachable(s.self, s.to)
	if err != nil {
		return err
	}
	for _, message := range messages {
		r.Deliver(message)
	}
	return nil
}

func (s stream) Close() error { return nil }

// drain returns a command whose effect is easy to check.
func drain(upstream string) *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_Drain{Drain: &controlpb.SetDrain{Upstream: upstream, Drained: true}}}
}

func background() context.Context { return context.Background() }
