// Package softstate exchanges soft state between instances. Each instance
// watches every other one: it keeps one stream to it, receives the state that the
// other observes directly as it changes, and pings it at a low rate. State received
// from others is never relayed, so that there are no loops and the order of arrival
// between instances does not matter.
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
	// maxBatchBytes limits the encoded upstreams of one batch.
	maxBatchBytes = 64 << 10
	// coalesceInterval is the minimum time between two batches to one watcher, so that
	// a burst of announcements is sent as one batch.
	coalesceInterval = 20 * time.Millisecond
	// renewInterval is how often a watcher that sends commands to workers receives the
	// versions of their announcements.
	renewInterval = 200 * time.Millisecond
	// sweepInterval is how often expired upstreams are removed.
	sweepInterval = 200 * time.Millisecond
	// leaveTimeout limits the wait until a stop has been sent to all watchers.
	leaveTimeout = 500 * time.Millisecond
	// maxWatchers limits the streams that one instance serves.
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

// SourceStream is the watcher's end of the stream.
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

// Observer records the answers of peers, for failure detection.
type Observer interface {
	// ObserveAnswer records a peer's answer to a ping that was sent at that time.
	ObserveAnswer(peer string, at time.Time)
	// Timeout returns the time without a batch after which the peer's stream is given up.
	Timeout(peer string) time.Duration
}

// Config of an exchange.
type Config struct {
	Self string
	// PingEvery is the interval of pings on a stream.
	PingEvery time.Duration
	// Renewals reports whether this instance currently sends commands to workers.
	Renewals func() bool
	// Rand is the source of backoff jitter, seeded by the caller.
	Rand *rand.Rand
}

// Exchange sends and receives soft state for one instance.
type Exchange struct {
	config   Config
	registry *membership.Registry
	peers    Peers
	observer Observer
	mu       sync.Mutex
	sessions map[*session]bool
	// wanted is true if renewals are wanted. wantedChanged is closed when wanted changes.
	wanted        bool
	wantedChanged chan struct{}
}

// New creates an exchange.
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
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			watchAll()
			x.registry.Sweep()
			x.updateRenewals()
		}
	}
	group.Wait()
}

// updateRenewals polls Config.Renewals for all streams, so that they need not poll it
// themselves.
func (x *Exchange) updateRenewals() {
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

// renewals reports whether this instance wants renewals, and returns a channel that is
// closed when that changes.
func (x *Exchange) renewals() (bool, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.wanted, x.wantedChanged
}

// Leave announces that this instance stops, and waits up to leaveTimeout until that has
// been sent on all open streams.
func (x *Exchange) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	x.registry.Leave()
	for !x.leavingSent() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(coalesceInterval):
		}
	}
}

func (x *Exchange) leavingSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := range x.sessions {
		if !s.leavingSent.Load() {
			return false
		}
	}
	return true
}

// jitter returns a random duration between half of the pause and all of it.
func (x *Exchange) jitter(pause time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return pause/2 + time.Duration(x.config.Rand.Int64N(int64(pause/2)))
}
