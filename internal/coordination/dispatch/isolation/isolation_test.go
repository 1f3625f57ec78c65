package isolation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/isolation"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	waiting = controlpb.JobState_JOB_STATE_WAITING
	running = controlpb.JobState_JOB_STATE_RUNNING
)

// verdicts are the verdicts on jobs, each of which had run for two seconds before a crash.
type verdicts map[string]crashes.Verdict

func (v verdicts) Verdict(job string) crashes.Verdict { return v[job] }
func (v verdicts) Held(string) bool                   { return false }
func (v verdicts) Crashes(string) int                 { return 1 }
func (v verdicts) Ran(string) time.Duration           { return 2 * time.Second }

func workers(count int) []scheduling.Worker {
	var list []scheduling.Worker
	for n := range count {
		list = append(list, scheduling.Worker{ID: fmt.Sprint("w", n), Cores: 8, Accelerators: 8, MemoryMB: 1000})
	}
	return list
}

func job(id string, state controlpb.JobState, placedOn ...string) *controlpb.Job {
	j := &controlpb.Job{Id: id, Tasks: 1, Accelerators: 1, State: state}
	for n, worker := range placedOn {
		j.Placements = append(j.Placements, &controlpb.Placement{Task: uint32(n), Worker: worker})
	}
	return j
}

var start = time.UnixMilli(1_800_000_000_000)

// A suspected job gets an empty worker if there is one and otherwise runs as any job does;
// an isolated one waits until a worker is empty.
func TestSuspectedAndIsolatedJobs(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	busy := []*controlpb.Job{job("x", running, "w0"), job("y", running, "w1"), job("s", waiting), job("t", waiting)}
	plan := keeper.Update(start, busy, workers(2), verdicts{"s": crashes.Suspected})
	is.Equal(plan.OnlyFor, map[string]string{})
	is.True(!plan.Restricted["s"])

	plan = keeper.Update(start, busy, workers(2), verdicts{"s": crashes.Isolated})
	is.Equal(plan.OnlyFor, map[string]string{"w0": "s"})
	is.True(plan.Emptying["w0"])
	is.True(plan.Restricted["s"])
	is.True(!plan.Restricted["t"])

	emptied := []*controlpb.Job{job("y", running, "w1"), job("s", waiting)}
	plan = keeper.Update(start.Add(time.Second), emptied, workers(2), verdicts{"s": crashes.Isolated})
	is.Equal(plan.OnlyFor, map[string]string{"w0": "s"})
	is.True(!plan.Emptying["w0"])

	plan = keeper.Update(start, []*controlpb.Job{job("y", running, "w1"), job("s", waiting)}, workers(2), verdicts{"s": crashes.Suspected})
	is.Equal(plan.OnlyFor, map[string]string{"w0": "s"})
}

// A worker that never becomes empty must not keep a job waiting for ever.
func TestEmptyingEnds(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	jobs := []*controlpb.Job{job("x", running, "w0"), job("s", waiting)}
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		plan := keeper.Update(start.Add(elapsed), jobs, workers(1), verdicts{"s": crashes.Isolated})
		is.Equal(plan.OnlyFor["w0"], "s")
		if !plan.Emptying["w0"] {
			return
		}
	}
	t.Fatal("the job still waits after a minute")
}

// Others may join a suspect once it has run for longer than before the crash.
func TestProbationEnds(t *testing.T) {
	is := is.New(t)
	suspect := job("s", running, "w0")
	suspect.StartedMs = start.UnixMilli()
	keeper := &isolation.Keeper{}
	jobs := []*controlpb.Job{suspect}
	is.Equal(keeper.Update(start.Add(2*time.Second), jobs, workers(2), verdicts{"s": crashes.Suspected}).OnlyFor["w0"], "s")
	is.Equal(keeper.Update(start.Add(4*time.Second), jobs, workers(2), verdicts{"s": crashes.Suspected}).OnlyFor["w0"], "")
}

// Suspects are started one after the other and use at most half of the workers: a crash of
// several at once would look like a loss of power, and other work must go on.
func TestSuspectsAreSpaced(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	var jobs []*controlpb.Job
	judged := verdicts{}
	for n := range 10 {
		id := fmt.Sprint("s", n)
		jobs, judged[id] = append(jobs, job(id, waiting)), crashes.Isolated
	}
	for pass, want := range []int{1, 1, 2, 2, 3, 3, 4, 4, 4, 4} {
		plan := keeper.Update(start.Add(time.Duration(pass)*250*time.Millisecond), jobs, workers(8), judged)
		is.Equal(len(plan.OnlyFor), want) // kept workers in this pass
	}
}

// A gang that fits on no half of the workers is not isolated: it would wait for ever.
func TestGangTooLargeForIsolation(t *testing.T) {
	is := is.New(t)
	gang := &controlpb.Job{Id: "g", Tasks: 24, Accelerators: 1, State: waiting}
	judged := verdicts{"g": crashes.Isolated}
	is.True(!(&isolation.Keeper{}).Update(start, []*controlpb.Job{gang}, workers(4), judged).Restricted["g"])
	plan := (&isolation.Keeper{}).Update(start, []*controlpb.Job{gang}, workers(6), judged)
	is.Equal(len(plan.OnlyFor), 3)
	is.True(plan.Restricted["g"])
}

// A gang waits for as many empty workers as are never emptied at once, beside free room on all of them.
func TestGangOnBusyWorkersIsNotIsolated(t *testing.T) {
	is := is.New(t)
	gang := &controlpb.Job{Id: "g", Tasks: 24, Accelerators: 1, State: waiting}
	jobs := []*controlpb.Job{gang}
	for n := range 8 {
		jobs = append(jobs, job(fmt.Sprint("j", n), running, fmt.Sprint("w", n)))
	}
	judged := verdicts{"g": crashes.Isolated}
	is.True(!(&isolation.Keeper{}).Update(start, jobs, workers(8), judged).Restricted["g"])
	is.True((&isolation.Keeper{}).Update(start, jobs[:6], workers(8), judged).Restricted["g"]) // three are empty
}

// Guards against guaranteed work that waits because most workers are kept for suspects: a gang that
// ran like any other job, as no workers could be kept for it, kept all of them once it ran.
func TestHalfOfTheWorkersAreKeptAtMost(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	wide := job("wide", running, "w0", "w1", "w2")
	narrow := job("narrow", running, "w3")
	narrow.StartedMs, wide.StartedMs = start.UnixMilli(), start.UnixMilli()
	plan := keeper.Update(start, []*controlpb.Job{wide, narrow}, workers(4), verdicts{"wide": crashes.Isolated, "narrow": crashes.Isolated})
	is.Equal(plan.OnlyFor, map[string]string{"w3": "narrow"})
}

// Guards against a job that waits without end to run alone, while workers are kept for others.
func TestWaitToRunAloneEnds(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	other := job("other", running, "w0")
	suspect := job("s", waiting)
	suspect.SubmittedMs = start.UnixMilli()
	for elapsed := time.Duration(0); elapsed <= 30*time.Second; elapsed += time.Second {
		now := start.Add(elapsed)
		other.StartedMs = now.UnixMilli()
		plan := keeper.Update(now, []*controlpb.Job{other, suspect}, workers(2), verdicts{"s": crashes.Isolated, "other": crashes.Isolated})
		is.Equal(plan.Restricted["s"], elapsed <= 20*time.Second)
	}
}

// Guards against a suspect that waits for a worker that guaranteed work has taken, beside an empty one.
func TestTakenWorkerIsReplaced(t *testing.T) {
	is := is.New(t)
	keeper := &isolation.Keeper{}
	isolated := verdicts{"s": crashes.Isolated}
	plan := keeper.Update(start, []*controlpb.Job{job("s", waiting)}, workers(3), isolated)
	is.Equal(plan.OnlyFor, map[string]string{"w0": "s"})
	plan = keeper.Update(start.Add(time.Second), []*controlpb.Job{job("g", running, "w0"), job("s", waiting)}, workers(3), isolated)
	is.Equal(plan.OnlyFor, map[string]string{"w1": "s"})
	is.True(!plan.Emptying["w1"])
}

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
