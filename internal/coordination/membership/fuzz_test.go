package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// FuzzReceive: whatever another instance sends, nothing panics, what is kept
// stays bounded, and the next whole copy mends the view.
func FuzzReceive(f *testing.F) {
	c := newClock()
	origin := c.registry("a")
	if err := origin.Merge(announcement("w", 1, false)); err != nil {
		f.Fatal(err)
	}
	whole := origin.Changes(0, 0, maxBatch)
	whole.Renewed, whole.Versions = origin.Renewals(map[uint32]uint64{})
	seed, err := proto.Marshal(whole)
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
		copied := proto.CloneOf(whole)
		copied.Incarnation = batch.Incarnation + 1
		if err := watcher.Receive("a", copied, c.now); err != nil {
			t.Fatal(err)
		}
		if o := watcher.origins["a"]; len(o.upstreams) != 1 || o.copying != nil {
			t.Fatalf("%d upstreams after a whole copy", len(o.upstreams))
		}
	})
}
