package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// FuzzReceive checks that no batch from another instance causes a panic or lets the
// registry's state grow without limit, and that the next full snapshot repairs the view.
func FuzzReceive(f *testing.F) {
	c := newClock()
	origin := c.registry("a")
	if err := origin.Merge(announcement("w", 1, false)); err != nil {
		f.Fatal(err)
	}
	full := origin.Changes(0, 0, maxBatch)
	full.Renewed, full.Versions = origin.Renewals(map[uint32]uint64{})
	seed, err := proto.Marshal(full)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &peerpb.SoftBatch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		watcher := c.registry("b")
		_ = watcher.Receive("a", batch, c.now)
		_ = watcher.Receive("a", batch, c.now)
		watcher.Live(worker)
		next := proto.CloneOf(full)
		next.Incarnation = batch.Incarnation + 1
		if err := watcher.Receive("a", next, c.now); err != nil {
			t.Fatal(err)
		}
		if o := watcher.origins["a"]; len(o.upstreams) != 1 || o.pendingSnapshot != nil {
			t.Fatalf("%d upstreams after a full snapshot", len(o.upstreams))
		}
	})
}
