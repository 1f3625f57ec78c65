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

// clock is a time that a test moves.
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

// exchange brings a watcher up to date with an origin.
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

// Work for an upstream that is gone: an older announcement comes to life elsewhere.
func TestLeavingIsNotUndone(t *testing.T) {
	is, c := is.New(t), newClock()
	a, b, other := c.registry("a"), c.registry("b"), c.registry("c")
	long := announcement("w", 1, false)
	long.TtlMs *= 4
	is.NoErr(a.Merge(long))
	exchange(is, c, a, other)
	is.NoErr(b.Merge(announcement("w", 2, true)))
	is.NoErr(b.Merge(announcement("w", 1, false))) // a late, swapped one
	exchange(is, c, b, other)
	known, left := leaving(other, "w")
	is.True(known && left)

	c.now = c.now.Add(ttl)
	b.Sweep()
	exchange(is, c, b, other)
	exchange(is, c, a, other) // a, cut off from b, vouches for the older one
	known, _ = leaving(other, "w")
	is.True(!known)
}

// An instance that knows no upstreams after a restart until each announces itself anew.
func TestRestartLeadsToAWholeCopy(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("w", 1, false)))
	exchange(is, c, origin, watcher)
	watcher = c.registry("b")
	exchange(is, c, origin, watcher)
	is.Equal(len(watcher.Live(worker)), 1)

	anew := c.registry("a")
	anew.config.Incarnation = 2
	is.NoErr(anew.Merge(announcement("x", 1, false)))
	exchange(is, c, anew, watcher)
	is.Equal(len(watcher.Live(worker)), 1)
	_, ok := watcher.Get("x")
	is.True(ok)
}

// A watcher was away while more upstreams went than are kept as removals. It
// must not keep one that went.
func TestWatcherFarBehindKeepsNothingGone(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("early", 1, false)))
	exchange(is, c, origin, watcher)
	for i := range maxGone + 1 {
		is.NoErr(origin.Merge(announcement(fmt.Sprint(i), 1, false)))
		if i%1000 == 0 {
			c.now = c.now.Add(ttl)
			origin.Sweep()
		}
	}
	c.now = c.now.Add(ttl)
	origin.Sweep()
	is.Equal(len(origin.held.gone), maxGone)
	exchange(is, c, origin, watcher)
	is.Equal(len(watcher.Live(worker)), 0)
}

// Upstreams that look alive on the word of an instance which has long been silent.
func TestSilentOriginTakesItsUpstreamsAlong(t *testing.T) {
	is, c := is.New(t), newClock()
	origin, watcher := c.registry("a"), c.registry("b")
	is.NoErr(origin.Merge(announcement("w", 1, false)))
	exchange(is, c, origin, watcher)
	c.now = c.now.Add(time.Second)
	asked := c.now
	c.now = c.now.Add(originTTL - viewGrain)
	is.NoErr(watcher.Receive("a", &peerpb.SoftBatch{}, asked))
	is.Equal(len(watcher.Live(worker)), 1)
	c.now = c.now.Add(2 * viewGrain)
	is.Equal(len(watcher.Live(worker)), 0)
}

// An upstream seen as it was elsewhere, after it came back and said the same as before.
func TestUpstreamThatComesBack(t *testing.T) {
	for name, heardBefore := range map[string]bool{"news came before": true, "news came after": false} {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), newClock()
			a, b, other := c.registry("a"), c.registry("b"), c.registry("c")
			is.NoErr(a.Merge(announcement("w", 1, false)))
			exchange(is, c, a, other)
			is.NoErr(b.Merge(announcement("w", 2, true)))
			exchange(is, c, b, other)
			if heardBefore {
				exchange(is, c, b, a)
				is.Equal(len(a.held.upstreams), 0) // let go
			}
			is.NoErr(a.Merge(announcement("w", 3, false)))
			exchange(is, c, b, a)
			exchange(is, c, a, other)
			known, left := leaving(other, "w")
			is.True(known && !left)
		})
	}
}

// A batch that starts after what is held leaves out changes; taking it would
// lose them for good.
func TestGapIsRefused(t *testing.T) {
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
		news    *peerpb.Upstream
		code    failure.Code
		version uint64
		passed  bool
	}{
		"renewal is not passed on":  {announcement("w", 2, false), "", 2, false},
		"leaving is passed on":      {announcement("w", 2, true), "", 2, true},
		"older version":             {announcement("w", 0, true), "", 1, false},
		"older incarnation":         {earlier, "", 1, false},
		"too large to keep":         {large, failure.TooLarge, 1, false},
		"load waits for its moment": {&peerpb.Upstream{Id: "w", Kind: worker, Address: "127.0.0.1:1", Incarnation: 1, Version: 2, Busy: 3, TtlMs: 1000}, "", 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), newClock()
			r := c.registry("a")
			is.NoErr(r.Merge(announcement("w", 1, false)))
			before := r.held.sequence
			err := r.Merge(test.news)
			is.Equal(err == nil, test.code == "")
			is.True(err == nil || failure.Is(err, test.code))
			is.Equal(r.held.upstreams["w"].upstream.Version, test.version)
			is.Equal(r.held.sequence > before, test.passed)
		})
	}
}

func TestAnnounceEvery(t *testing.T) {
	tests := map[string]struct {
		held int
		want time.Duration
	}{
		"none":                 {0, time.Second},
		"few":                  {50, time.Second},
		"many":                 {100, 2 * time.Second},
		"as leases allow":      {158, 3 * time.Second},
		"more than that helps": {1000, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newClock().registry("a")
			for i := range test.held {
				is.NoErr(r.Merge(announcement(fmt.Sprint(i), 1, false)))
			}
			is.Equal(r.AnnounceEvery(time.Second, 3*time.Second), test.want)
		})
	}
}

func TestMergeRefusesOverItsBound(t *testing.T) {
	is, c := is.New(t), newClock()
	r := c.registry("a")
	for i := range MaxHeld {
		is.NoErr(r.Merge(announcement(fmt.Sprint(i), 1, false)))
	}
	is.True(failure.Is(r.Merge(announcement("more", 1, false)), failure.Overloaded))
	is.NoErr(r.Merge(announcement("1", 2, false))) // one that is known
}

// delivery is a batch on its way, perhaps late, twice or never.
type delivery struct {
	from, to int
	batch    *peerpb.SoftBatch
}

// Instances that see an upstream differently, or a leaving undone, for any order of news.
func TestModelViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is, c := is.New(rt), newClock()
		var registries []*Registry
		for i := range 3 {
			registries = append(registries, c.registry(fmt.Sprint("i", i)))
		}
		newest := map[string]*peerpb.Upstream{}
		var way []delivery
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
				way = append(way, delivery{from, to, batch})
			case 2:
				if len(way) > 0 {
					d := way[rapid.IntRange(0, len(way)-1).Draw(rt, "which")]
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

// announceNext makes an upstream say something newer, and something older again.
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

// settle delivers everything, in order, until nothing changes.
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
