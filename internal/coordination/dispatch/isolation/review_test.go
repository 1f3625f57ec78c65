package isolation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/isolation"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against a suspect that waits for guaranteed work on a worker that was being emptied for it, beside an
// empty worker: the count of tasks is that of when the worker was chosen.
func TestTakenWorkerThatWasBeingEmptiedIsReplaced(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	isolated := verdicts{"s": crashes.Isolated}
	busy := []*controlpb.Job{job("a", running, "w0"), job("b", running, "w0"), job("c", running, "w1"), job("d", running, "w1"), job("e", running, "w1"), job("s", waiting)}
	is.Equal(keeper.Update(start, busy, workers(2), isolated).OnlyFor, map[string]string{"w0": "s"})
	plan := keeper.Update(start.Add(time.Second), []*controlpb.Job{job("s", waiting)}, workers(2), isolated)
	is.Equal(plan.OnlyFor, map[string]string{"w0": "s"}) // all others have ended
	plan = keeper.Update(start.Add(2*time.Second), []*controlpb.Job{job("g", running, "w0"), job("s", waiting)}, workers(2), isolated)
	is.Equal(plan.OnlyFor, map[string]string{"w1": "s"})
}

// byCrashes are isolated jobs with the numbers of their crashes; held jobs may not run at all.
type byCrashes struct {
	crashes map[string]int
	held    map[string]bool
}

func (v byCrashes) Verdict(job string) crashes.Verdict {
	if v.crashes[job] > 0 {
		return crashes.Isolated
	}
	return crashes.Clear
}
func (v byCrashes) Held(job string) bool     { return v.held[job] }
func (v byCrashes) Crashes(job string) int   { return v.crashes[job] }
func (v byCrashes) Ran(string) time.Duration { return 2 * time.Second }

// Guards against a job with many crashes that others join on its worker, because a job with fewer crashes and
// a lower id has used up the bound on kept workers.
func TestLikeliestCauseIsKeptAloneFirst(t *testing.T) {
	is := is.New(t)
	wide, deadly := job("a", running, "w0", "w1"), job("z", running, "w2")
	wide.StartedMs, deadly.StartedMs = start.UnixMilli(), start.UnixMilli()
	plan := (&isolation.Keeper{}).Update(start, []*controlpb.Job{wide, deadly}, workers(4), byCrashes{crashes: map[string]int{"a": 2, "z": 4}})
	is.Equal(plan.OnlyFor["w2"], "z")
}

// Guards against a job that is never isolated after it was held: its stop takes a lease (6 s), it is held for up to
// 15 s for news of silent workers, and both count towards the 20 s for which it waits to run alone.
func TestHeldJobIsIsolatedAfterwards(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	suspect := job("s", waiting)
	suspect.StoppingMs = start.UnixMilli()
	jobs := []*controlpb.Job{job("a", running, "w0"), job("b", running, "w1"), suspect}
	held := byCrashes{crashes: map[string]int{"s": 4}, held: map[string]bool{"s": true}}
	is.True(keeper.Update(start.Add(20900*time.Millisecond), jobs, workers(2), held).Restricted["s"])
	held.held = nil
	is.True(keeper.Update(start.Add(21100*time.Millisecond), jobs, workers(2), held).Restricted["s"])
}
