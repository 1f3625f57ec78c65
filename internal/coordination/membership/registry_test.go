package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	worker    = peerpb.UpstreamKind_UPSTREAM_KIND_WORKER
	ttl       = 3 * time.Second
	originTTL = 8 * time.Second
	maxBatch  = 64 << 10
)

// clock is a time set by the test.
type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) registry(name string) *Registry {
	return NewRegistry(Config{Self: name, Incarnation: 1, OriginTTL: originTTL, Now: c.time})
}

func announcement(id string, version uint64, leaving bool) *peerpb.Upstream {
	return &peerpb.Upstream{
		Id: id, Kind: worker, Address: "127.0.0.1:1", Incarnation: 1, Version: version, Leaving: leaving, TtlMs: ttl.Milliseconds(),
	}
}

// exchange applies all changes of origin to watcher, as often as it takes.
func exchange(is *is.I, c *clock, origin, watcher *Registry) {
	is.Helper()
	for {
		incarnation, after := watcher.Position(origin.config.Self)
		batch := origin.Changes(incarnation, after, maxBatch)
		batch.Incarnation = origin.config.Incarnation
		is.NoErr(watcher.Receive(origin.config.Self, batch, c.now))
		if batch.Complete {
			return
		}
	}
}

func leaving(r *Registry, id string) (known, leaving bool) {
	upstream, ok := r.Get(id)
	return ok, ok && upstream.Leaving
}

// Guards against placing work on an upstream that is gone because another instance
// still reports an older announcement of it.
func TestLeavingIsNotUndone(t *testing.T) {
	is, c := is.New(t), newClock()
	a, b, other := c.registry("a"), c.registry("b"), c.registry("c")
	long := announcement("w", 1, false)
	long.TtlMs *= 4
	is.NoErr(a.Merge(long))
	exchange(is, c, a, other)
	is.NoErr(b.Merge(announcement("w", 2, true)))
	is.NoErr(b.Merge(announcement("w", 1, false))) // delayed and reordered
	exchange(is, c, b, other)
	known, left := leaving(other, "w")
	is.True(known && left)

	c.now = c.now.Add(ttl)
	b.Sweep()
	exchange(is, c, b, other)
	exchange(is, c, a, other) // a is partitioned from b and still reports the older one
	known, _ = leaving(other, "w")
	is.True(!known)
}

// Guards against an instance that knows no upstreams after a restart until each has
// announced itself again.
func TestRestartTriggersFullSnapshot(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("w", 1, false)))
	exchange(is, c, origin, watcher)
	watcher = c.registry("b")
	exchange(is, c, origin, watcher)
	is.Equal(len(watcher.Live(worker)), 1)

	restarted := c.registry("a")
	restarted.config.Incarnation = 2
	is.NoErr(restarted.Merge(announcement("x", 1, false)))
	exchange(is, c, restarted, watcher)
	is.Equal(len(watcher.Live(worker)), 1)
	_, ok := watcher.Get("x")
	is.True(ok)
}

// Guards against a watcher that keeps a removed upstream because more upstreams
// were removed while it was disconnected than removals are kept.
func TestWatcherBeyondRemovalHistoryDropsRemovedUpstreams(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("early", 1, false)))
	exchange(is, c, origin, watcher)
	for i := range maxRemovals + 1 {
		is.NoErr(origin.Merge(announcement(fmt.Sprint(i), 1, false)))
		if i%1000 == 0 {
			c.now = c.now.Add(ttl)
			origin.Sweep()
		}
	}
	c.now = c.now.Add(ttl)
	origin.Sweep()
	is.Equal(len(origin.local.removals), maxRemovals)
	exchange(is, c, origin, watcher)
	is.Equal(len(watcher.Live(worker)), 0)
}

// Guards against upstreams that count as live because an instance reported them that
// has not answered for longer than OriginTTL.
func TestExpiredOriginRemovesItsUpstreams(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("w", 1, false)))
	exchange(is, c, origin, watcher)
	c.now = c.now.Add(time.Second)
	pinged := c.now
	c.now = c.now.Add(originTTL - minViewLifetime)
	is.NoErr(watcher.Receive("a", &peerpb.SoftBatch{}, pinged))
	is.Equal(len(watcher.Live(worker)), 1)
	c.now = c.now.Add(2 * minViewLifetime)
	is.Equal(len(watcher.Live(worker)), 0)
}

// Guards against stale state of an upstream that moved to another instance, came back
// and announced the same as before.
func TestUpstreamReturnsToEarlierInstance(t *testing.T) {
	for name, learnsFirst := range map[string]bool{"earlier instance learns of move first": true, "earlier instance learns of move later": false} {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), newClock()
			a, b, other := c.registry("a"), c.registry("b"), c.registry("c")
			is.NoErr(a.Merge(announcement("w", 1, false)))
			exchange(is, c, a, other)
			is.NoErr(b.Merge(announcement("w", 2, true)))
			exchange(is, c, b, other)
			if learnsFirst {
				exchange(is, c, b, a)
				is.Equal(len(a.local.upstreams), 0) // removed, as it has moved to b
			}
			is.NoErr(a.Merge(announcement("w", 3, false)))
			exchange(is, c, b, a)
			exchange(is, c, a, other)
			known, left := leaving(other, "w")
			is.True(known && !left)
		})
	}
}

// A leader takes an incarnation for older than it is, or one that another instance has reported for long for a new one.
func TestIncarnationIsKnownSinceItsFirstAnnouncement(t *testing.T) {
	is, c := is.New(t), newClock()
	a, b := c.registry("a"), c.registry("b")
	announce := func(incarnation int64, version uint64) {
		announced := announcement("w", version, false)
		announced.Incarnation = incarnation
		is.NoErr(a.Merge(announced))
		exchange(is, c, a, b)
	}
	since := func(r *Registry, incarnation int64) time.Duration {
		known, ok := r.KnownSince("w", incarnation)
		is.True(ok)
		return c.now.Sub(known)
	}
	announce(1, 1)
	for version := range uint64(100) {
		c.now = c.now.Add(time.Second)
		announce(1, 2+version)
		exchange(is, c, a, b)
		b.Sweep()
	}
	is.Equal(since(a, 1), 100*time.Second)
	is.Equal(since(b, 1), 100*time.Second)
	announce(2, 1)
	is.Equal(since(a, 2), time.Duration(0))
	is.Equal(since(b, 2), time.Duration(0))
	_, ok := a.KnownSince("w", 1)
	is.True(!ok)
	_, ok = a.KnownSince("x", 1)
	is.True(!ok)
}

// A batch that starts after the watcher's position omits changes; applying it would
// lose them for good.
func TestBatchWithGapIsRejected(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("w", 1, false)))
	exchange(is, c, origin, watcher)
	is.NoErr(origin.Merge(announcement("w", 2, true)))
	is.NoErr(origin.Merge(announcement("x", 1, false)))
	err := watcher.Receive("a", origin.Changes(1, 2, maxBatch), c.now)
	is.True(failure.Is(err, failure.WrongAnswer))
	exchange(is, c, origin, watcher)
	_, left := leaving(watcher, "w")
	is.True(left)
}

func TestMerge(t *testing.T) {
	large := announcement("w", 2, false)
	large.Rack = string(make([]byte, MaxUpstreamBytes))
	earlier := announcement("w", 9, false)
	earlier.Incarnation = 0
	tests := map[string]struct {
		update    *peerpb.Upstream
		code      failure.Code
		version   uint64
		published bool
	}{
		"renewal is not published": {announcement("w", 2, false), "", 2, false},
		"leaving is published":     {announcement("w", 2, true), "", 2, true},
		"older version":            {announcement("w", 0, true), "", 1, false},
		"older incarnation":        {earlier, "", 1, false},
		"too large":                {large, failure.TooLarge, 1, false},
		"load waits for interval":  {&peerpb.Upstream{Id: "w", Kind: worker, Address: "127.0.0.1:1", Incarnation: 1, Version: 2, Busy: 3, TtlMs: 1000}, "", 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), newClock()
			r := c.registry("a")
			is.NoErr(r.Merge(announcement("w", 1, false)))
			before := r.local.sequence
			err := r.Merge(test.update)
			is.Equal(err == nil, test.code == "")
			is.True(err == nil || failure.Is(err, test.code))
			is.Equal(r.local.upstreams["w"].upstream.Version, test.version)
			is.Equal(r.local.sequence > before, test.published)
		})
	}
}

func TestAnnounceEvery(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		want      time.Duration
	}{
		"none":                      {0, time.Second},
		"few":                       {50, time.Second},
		"many":                      {100, 2 * time.Second},
		"longest allowed by leases": {158, 3 * time.Second},
		"limited by leases":         {1000, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newClock().registry("a")
			for i := range test.upstreams {
				is.NoErr(r.Merge(announcement(fmt.Sprint(i), 1, false)))
			}
			is.Equal(r.AnnounceEvery(time.Second, 3*time.Second), test.want)
		})
	}
}

func TestMergeRejectsBeyondLimit(t *testing.T) {
	is, c := is.New(t), newClock()
	r := c.registry("a")
	for i := range MaxLocalUpstreams {
		is.NoErr(r.Merge(announcement(fmt.Sprint(i), 1, false)))
	}
	is.True(failure.Is(r.Merge(announcement("more", 1, false)), failure.Overloaded))
	is.NoErr(r.Merge(announcement("1", 2, false))) // already announced here
}

// delivery is a batch in transit, which may arrive late, twice or never.
type delivery struct {
	from, to int
	batch    *peerpb.SoftBatch
}

// Instances must agree on every upstream, and never undo that one is leaving, for any
// order of announcements and batches.
func TestModelViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is, c := is.New(rt), newClock()
		var registries []*Registry
		for i := range 3 {
			registries = append(registries, c.registry(fmt.Sprint("i", i)))
		}
		newest := map[string]*peerpb.Upstream{}
		var inTransit []delivery
		instance := rapid.IntRange(0, 2)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			from, to := instance.Draw(rt, "from"), instance.Draw(rt, "to")
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				announceNext(rt, is, registries[from], newest)
			case 1:
				incarnation, after := registries[to].Position(registries[from].config.Self)
				batch := registries[from].Changes(incarnation, after, rapid.IntRange(1, 200).Draw(rt, "bytes"))
				batch.Incarnation = 1
				inTransit = append(inTransit, delivery{from, to, batch})
			case 2:
				if len(inTransit) > 0 {
					d := inTransit[rapid.IntRange(0, len(inTransit)-1).Draw(rt, "which")]
					if d.from != d.to {
						_ = registries[d.to].Receive(registries[d.from].config.Self, d.batch, c.now)
					}
				}
			}
		}
		settle(is, c, registries)
		for _, r := range registries {
			is.Equal(len(r.Live(worker)), len(newest))
			for id, want := range newest {
				got, ok := r.Get(id)
				is.True(ok)
				is.Equal([]any{got.Incarnation, got.Leaving, got.Rack}, []any{want.Incarnation, want.Leaving, want.Rack})
			}
		}
	})
}

// announceNext announces a newer state of an upstream, followed by the previous one again.
func announceNext(rt *rapid.T, is *is.I, at *Registry, newest map[string]*peerpb.Upstream) {
	id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(rt, "id")
	next := announcement(id, 1, rapid.Bool().Draw(rt, "leaving"))
	next.Rack = rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "rack")
	known := newest[id]
	if known != nil {
		next.Version = known.Version + 1
		next.Incarnation = known.Incarnation + int64(rapid.IntRange(0, 1).Draw(rt, "restart"))
	}
	newest[id] = next
	is.NoErr(at.Merge(next))
	if known != nil {
		is.NoErr(at.Merge(known))
	}
}

// settle exchanges all changes between all registries, in order, until nothing
// changes; three rounds suffice.
func settle(is *is.I, c *clock, registries []*Registry) {
	for range 3 {
		for _, origin := range registries {
			for _, watcher := range registries {
				if origin != watcher {
					exchange(is, c, origin, watcher)
				}
			}
		}
	}
}

func announcementOf(incarnation int64, version uint64) *peerpb.Upstream {
	upstream := announcement("w", version, false)
	upstream.Incarnation = incarnation
	return upstream
}

// A late announcement of a worker's incarnation before must not replace the one that is live.
func TestLateAnnouncementOfAnEarlierIncarnation(t *testing.T) {
	is, c := is.New(t), newClock()
	r := c.registry("a")
	is.NoErr(r.Merge(announcementOf(1000, 40)))
	is.NoErr(r.Merge(announcementOf(2000, 1)))
	is.NoErr(r.Merge(announcementOf(1000, 41)))
	known, _ := r.Get("w")
	is.Equal(known.Incarnation, int64(2000))
	is.Equal(known.Version, uint64(1))
}

// A worker's time of day is set back before it starts again under its id. Once its previous
// incarnation counts as silent everywhere, the new one must count as live everywhere.
func TestIncarnationWithALowerNumber(t *testing.T) {
	is, c := is.New(t), newClock()
	a, b := c.registry("a"), c.registry("b")
	is.NoErr(a.Merge(announcementOf(2000, 40)))
	exchange(is, c, a, b)
	is.NoErr(b.Merge(announcementOf(1000, 1)))
	known, _ := b.Get("w")
	is.Equal(known.Incarnation, int64(2000)) // a still hears the other one
	c.now = c.now.Add(ttl + time.Second)
	a.Sweep()
	exchange(is, c, a, b)
	is.NoErr(b.Merge(announcementOf(1000, 2)))
	exchange(is, c, b, a)
	for _, r := range []*Registry{a, b} {
		known, ok := r.Get("w")
		is.True(ok)
		is.Equal(known.Incarnation, int64(1000))
	}
}

// A worker that deregisters at an instance with an older announcement of it goes on getting work.
func TestDepartureAtAnotherInstanceWins(t *testing.T) {
	is, c := is.New(t), newClock()
	home, other, leader := c.registry("home"), c.registry("other"), c.registry("leader")
	is.NoErr(home.Merge(announcement("w", 5, false)))
	exchange(is, c, home, other)
	is.NoErr(home.Merge(announcement("w", 9, true)))
	is.NoErr(home.Merge(announcement("w", 10, false)))
	departed := announcement("w", 6, true)
	departed.Departed = true
	is.NoErr(other.Merge(departed))
	for range 2 {
		exchange(is, c, home, leader)
		exchange(is, c, other, leader)
		exchange(is, c, other, home)
	}
	for _, registry := range []*Registry{leader, home, other} {
		known, ok := registry.Get("w")
		is.True(ok && known.Departed)
	}
	next := announcement("w", 1, false)
	next.Incarnation = 2
	is.NoErr(home.Merge(next)) // its next life is another matter
	known, _ := home.Get("w")
	is.True(!known.Departed)
}
