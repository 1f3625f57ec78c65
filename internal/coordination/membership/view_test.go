package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// expectRebuiltView compares the view that readers get with one that is built anew.
func expectRebuiltView(is *is.I, r *Registry) {
	is.Helper()
	live := r.Live(worker)
	rebuilt := r.buildView(r.config.Now()).byKind[worker]
	is.Equal(len(live), len(rebuilt))
	for i, want := range rebuilt {
		got := live[i]
		is.Equal([]any{got.Id, got.Incarnation, got.Leaving, got.Rack}, []any{want.Id, want.Incarnation, want.Leaving, want.Rack})
	}
}

// Guards against a patched view that keeps an upstream that is gone, or lacks one that is
// there: tasks would be placed on it, or taken for lost.
func TestPatchedViewEqualsRebuiltView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is, c := is.New(rt), newClock()
		registries := []*Registry{c.registry("i0"), c.registry("i1"), c.registry("i2")}
		instance := rapid.IntRange(0, len(registries)-1)
		version := uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			from, to := registries[instance.Draw(rt, "from")], registries[instance.Draw(rt, "to")]
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				version++
				upstream := announcement(fmt.Sprint("u", rapid.IntRange(0, 5).Draw(rt, "id")), version, rapid.Bool().Draw(rt, "leaving"))
				upstream.Incarnation = int64(rapid.IntRange(1, 2).Draw(rt, "incarnation"))
				is.NoErr(from.Merge(upstream))
			case 3, 4:
				if from != to {
					exchange(is, c, from, to)
				}
			case 5:
				// Longer than a view lasts, so that only the expiry of the upstreams differs.
				c.now = c.now.Add(time.Duration(rapid.IntRange(2, 9).Draw(rt, "seconds")) * time.Second)
				from.Sweep()
			}
			for _, r := range registries {
				expectRebuiltView(is, r)
			}
		}
	})
}

// Each of 3,000 workers announces a change, and the leader reads all of them each time.
func BenchmarkAnnouncementsReadByLeader(b *testing.B) {
	const workers = 3000
	c := newClock()
	r := c.registry("i0")
	for i := range workers {
		_ = r.Merge(announcement(fmt.Sprint("w-", i), 1, false))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		upstream := announcement(fmt.Sprint("w-", i%workers), uint64(i+2), false)
		upstream.Tasks = []*peerpb.TaskReport{{Job: fmt.Sprint(i), Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING}}
		_ = r.Merge(upstream)
		if len(r.Live(worker)) != workers {
			b.Fatal("workers are missing")
		}
	}
}
