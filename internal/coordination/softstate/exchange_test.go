package softstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	pingEvery = 2 * time.Second
	timeout   = 3 * pingEvery
	originTTL = timeout + pingEvery
	ttl       = 3 * time.Second
	worker    = peerpb.UpstreamKind_UPSTREAM_KIND_WORKER
	pipeSize  = 64
)

// cluster is a set of instances that watch each other over in-memory pipes.
type cluster struct {
	mu        sync.Mutex
	names     []string
	instances map[string]*instance
}

type instance struct {
	cluster  *cluster
	name     string
	registry *membership.Registry
	exchange *Exchange
	ctx      context.Context
	stop     context.CancelFunc
	leads    atomic.Bool
}

func newCluster(ctx context.Context, count int) *cluster {
	c := &cluster{instances: map[string]*instance{}}
	for i := range count {
		c.names = append(c.names, fmt.Sprint("i", i))
	}
	for i := range count {
		c.start(ctx, c.names[i], 1)
	}
	return c
}

// start starts an instance, or replaces it by a new incarnation.
func (c *cluster) start(ctx context.Context, name string, incarnation int64) *instance {
	ctx, stop := context.WithCancel(ctx)
	i := &instance{cluster: c, name: name, ctx: ctx, stop: stop}
	i.registry = membership.NewRegistry(membership.Config{Self: name, Incarnation: incarnation, OriginTTL: originTTL, Now: time.Now})
	config := Config{Self: name, PingEvery: pingEvery, Renewals: i.leads.Load, Rand: rand.New(rand.NewPCG(1, uint64(incarnation)))}
	i.exchange = New(config, i.registry, i, fixedTimeout(timeout))
	c.mu.Lock()
	c.instances[name] = i
	c.mu.Unlock()
	go i.exchange.Run(ctx)
	return i
}

type fixedTimeout time.Duration

func (fixedTimeout) ObserveAnswer(string, time.Time) {}
func (f fixedTimeout) Timeout(string) time.Duration  { return time.Duration(f) }

func (i *instance) Peers() []string {
	var others []string
	for _, name := range i.cluster.names {
		if name != i.name {
			others = append(others, name)
		}
	}
	return others
}

func (i *instance) Watch(ctx context.Context, to string, watch *peerpb.Watch) (SourceStream, error) {
	i.cluster.mu.Lock()
	source := i.cluster.instances[to]
	i.cluster.mu.Unlock()
	if source == nil {
		return nil, failure.New(failure.Unreachable, "%s does not run", to)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &pipe{ctx: ctx, cancel: cancel, pings: make(chan *peerpb.WatchPing, pipeSize), batches: make(chan *peerpb.SoftBatch, pipeSize)}
	context.AfterFunc(source.ctx, cancel)
	go func() {
		defer cancel()
		_ = source.exchange.Serve(ctx, watch, serving{s})
	}()
	return s, nil
}

type pipe struct {
	ctx     context.Context
	cancel  context.CancelFunc
	pings   chan *peerpb.WatchPing
	batches chan *peerpb.SoftBatch
}

type serving struct{ *pipe }

func send[T any](ctx context.Context, to chan<- T, message T) error {
	select {
	case to <- message:
		return nil
	case <-ctx.Done():
		return failure.New(failure.Unreachable, "closed")
	}
}

func receive[T any](ctx context.Context, from <-chan T) (message T, err error) {
	select {
	case message = <-from:
		return message, nil
	case <-ctx.Done():
		return message, failure.New(failure.Unreachable, "closed")
	}
}

func (s serving) Send(b *peerpb.SoftBatch) error          { return send(s.ctx, s.batches, b) }
func (s serving) Receive() (*peerpb.WatchPing, error)     { return receive(s.ctx, s.pings) }
func (s *pipe) Send(p *peerpb.WatchPing) error            { return send(s.ctx, s.pings, p) }
func (s *pipe) Receive() (*peerpb.SoftBatch, error)       { return receive(s.ctx, s.batches) }
func (s *pipe) Close() error                              { s.cancel(); return nil }
func (i *instance) announce(is *is.I, u *peerpb.Upstream) { is.Helper(); is.NoErr(i.registry.Merge(u)) }

func upstream(version uint64, leaving bool) *peerpb.Upstream {
	return &peerpb.Upstream{Id: "w", Kind: worker, Address: "127.0.0.1:1", Incarnation: 1, Version: version, Leaving: leaving, TtlMs: ttl.Milliseconds()}
}

func bubble(t *testing.T, test func(is *is.I, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(is.New(t), ctx)
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// A worker announces to one of nine instances that it is leaving. Every instance must
// know within a fraction of a second, or its callers are sent to a worker that is
// stopping. The documented limit is a few seconds.
func TestLeavingIsPropagatedWithinMilliseconds(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 9)
		advance(time.Second)
		c.instances["i0"].announce(is, upstream(1, false))
		advance(100 * time.Millisecond)
		c.instances["i0"].announce(is, upstream(2, true))
		advance(100 * time.Millisecond)
		for _, i := range c.instances {
			seen, ok := i.registry.Get("w")
			is.True(ok && seen.Leaving)
		}
	})
}

// An upstream keeps announcing itself unchanged. Nothing must be sent for that, and yet no
// instance may expire it. When it stops announcing itself, all must expire it.
func TestUnchangedAnnouncementsAreNotSent(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3)
		advance(time.Second)
		i0, i2 := c.instances["i0"], c.instances["i2"]
		i0.announce(is, upstream(1, false))
		advance(time.Second)
		_, before := i2.registry.Position("i0")
		for version := range uint64(60) {
			i0.announce(is, upstream(version+2, false))
			advance(time.Second)
		}
		_, after := i2.registry.Position("i0")
		is.Equal(before, after)
		is.Equal(len(i2.registry.Live(worker)), 1)
		advance(ttl + sweepInterval)
		is.Equal(len(i2.registry.Live(worker)), 0)
	})
}

// An instance is killed and a new process starts at the same address. It must receive all
// upstreams immediately. The others must recognise the new incarnation, and until then
// keep the upstreams announced by the previous one.
func TestRestartedInstanceReceivesAllUpstreams(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3)
		advance(time.Second)
		c.instances["i0"].announce(is, upstream(1, false))
		own := upstream(1, false)
		own.Id = "own"
		c.instances["i2"].announce(is, own)
		advance(time.Second)
		c.instances["i2"].stop()
		advance(100 * time.Millisecond)
		_, ok := c.instances["i0"].registry.Get("own")
		is.True(ok)
		again := c.start(ctx, "i2", 2)
		advance(200 * time.Millisecond)
		_, ok = again.registry.Get("w")
		is.True(ok)
		advance(maxRetryDelay)
		for _, state := range c.instances["i0"].registry.Instances(originTTL) {
			is.Equal(state.Incarnation == 2, state.Name == "i2")
		}
	})
}

// An instance stops gracefully. The others must know before it is gone, so that its
// followers switch to another source and instance lists show it as leaving.
func TestGracefulStopIsAnnounced(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3)
		advance(time.Second)
		stopping := c.instances["i1"]
		began := time.Now()
		stopping.exchange.Leave(ctx)
		is.True(stopping.exchange.leavingSent())
		is.True(time.Since(began) < leaveTimeout)
		stopping.registry.SetSelf(&peerpb.InstanceState{Name: "i1", Ready: true})
		advance(2 * coalesceInterval)
		stopping.stop()
		synctest.Wait()
		leaving := 0
		for _, state := range c.instances["i0"].registry.Instances(originTTL) {
			if state.Leaving {
				leaving++
			}
		}
		is.Equal(leaving, 1)
	})
}

// A configuration change is in force at one instance, and operators who wait until it is in
// force everywhere ask any other. Progress must be sent without waiting for the next ping.
func TestProgressIsSentImmediately(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3)
		advance(pingEvery + time.Second)
		c.instances["i1"].registry.SetSelf(&peerpb.InstanceState{Name: "i1", Revision: 7, Ready: true})
		advance(2 * coalesceInterval)
		for _, state := range c.instances["i0"].registry.Instances(originTTL) {
			is.Equal(state.Revision == 7, state.Name == "i1")
		}
	})
}

// The leader sends commands to workers, and a lease that it grants starts at the newest
// announcement that it has received. It must have a recent one even if a worker's
// announcements have long been unchanged. Other instances must not receive these renewals.
func TestLeaderReceivesNewestAnnouncement(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3)
		advance(time.Second)
		for version := range uint64(20) {
			c.instances["i0"].announce(is, upstream(version+1, false))
			advance(time.Second)
			c.instances["i1"].leads.Store(version >= 10)
		}
		advance(2 * renewInterval)
		atLeader, _ := c.instances["i1"].registry.Get("w")
		is.Equal(atLeader.Version, uint64(20))
		elsewhere, _ := c.instances["i2"].registry.Get("w")
		is.Equal(elsewhere.Version, uint64(1))
	})
}
