// Package softstate carries soft state between instances. Each instance
// watches every other: it keeps one stream to it, gets what that instance hears
// first hand as it changes, and pings it at a slow pace. Nothing is passed on
// at second hand, so nothing comes back as an echo and no order of arrival
// between instances matters.
package softstate

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// maxBatchBytes bounds the upstreams of one batch.
	maxBatchBytes = 64 << 10
	// coalesce is the least time between two batches to one watcher, so that a
	// burst of announcements costs one.
	coalesce = 20 * time.Millisecond
	// renewEvery is how often a watcher that sends commands to workers gets the
	// versions of their announcements.
	renewEvery = 200 * time.Millisecond
	// sweepEvery is how often expired upstreams are looked for.
	sweepEvery = 200 * time.Millisecond
	// leavePatience bounds the wait for watchers to be told of a stop.
	leavePatience = 500 * time.Millisecond
	// maxWatchers bounds the streams that one instance serves.
	maxWatchers = 64
)

var (
	batchesSent     = expvar.NewInt("softstate_batches_sent")
	batchesReceived = expvar.NewInt("softstate_batches_received")
	streamsLost     = expvar.NewInt("softstate_streams_lost")
	watchers        = expvar.NewInt("softstate_watchers")
)

// Stream is the serving end of a watcher's stream.
type Stream interface {
	Send(batch *peerpb.SoftBatch) error
	Receive() (*peerpb.WatchPing, error)
}

// SourceStream is the watching end.
type SourceStream interface {
	Send(ping *peerpb.WatchPing) error
	Receive() (*peerpb.SoftBatch, error)
	Close() error
}

// Peers opens streams to the other instances.
type Peers interface {
	Peers() []string
	Watch(ctx context.Context, to string, watch *peerpb.Watch) (SourceStream, error)
}

// Observer learns when a peer was heard, for failure detection.
type Observer interface {
	// Heard notes a peer's answer to a ping that left at that time.
	Heard(peer string, at time.Time)
	// Timeout is how long the peer may be silent.
	Timeout(peer string) time.Duration
}

// Config of an exchange.
type Config struct {
	Self string
	// PingEvery is the pace of pings on a stream without changes.
	PingEvery time.Duration
	// Renewals tells whether this instance sends commands to workers now.
	Renewals func() bool
	// Rand drives backoff; the caller seeds it.
	Rand *rand.Rand
}

// Exchange is one instance's part in the exchange of soft state.
type Exchange struct {
	config   Config
	registry *membership.Registry
	peers    Peers
	observer Observer
	mu       sync.Mutex
	sessions map[*session]bool
	// wanted tells whether renewals are; wantedChanged is closed when that turns.
	wanted        bool
	wantedChanged chan struct{}
}

// New makes an exchange.
func New(config Config, registry *membership.Registry, peers Peers, observer Observer) *Exchange {
	return &Exchange{config: config, registry: registry, peers: peers, observer: observer, sessions: map[*session]bool{}, wantedChanged: make(chan struct{})}
}

// Run watches every peer until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var group sync.WaitGroup
	watched := map[string]bool{}
	watchAll := func() {
		for _, peer := range x.peers.Peers() {
			if !watched[peer] {
				watched[peer] = true
				group.Go(func() { x.watch(ctx, peer) })
			}
		}
	}
	watchAll()
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			watchAll()
			x.registry.Sweep()
			x.lookAtRenewals()
		}
	}
	group.Wait()
}

// lookAtRenewals is one look for all streams, so that each need not wake for it.
func (x *Exchange) lookAtRenewals() {
	wanted := x.config.Renewals()
	x.mu.Lock()
	defer x.mu.Unlock()
	if wanted == x.wanted {
		return
	}
	x.wanted = wanted
	close(x.wantedChanged)
	x.wantedChanged = make(chan struct{})
}

// renewals tells whether this instance wants them, and gives a channel that is
// closed when that turns.
func (x *Exchange) renewals() (bool, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.wanted, x.wantedChanged
}

// Leave tells the others that this instance stops, and waits a moment until
// the streams that stand have carried it.
func (x *Exchange) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePatience)
	defer cancel()
	x.registry.Leave()
	for !x.leavingTold() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(coalesce):
		}
	}
}

func (x *Exchange) leavingTold() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := range x.sessions {
		if !s.leavingTold.Load() {
			return false
		}
	}
	return true
}

// spread gives between half and the whole of a pause.
func (x *Exchange) spread(pause time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return pause/2 + time.Duration(x.config.Rand.Int64N(int64(pause/2)))
}
