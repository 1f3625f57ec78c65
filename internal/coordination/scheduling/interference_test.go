package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func class(name string) jobOption { return func(j *controlpb.Job) { j.WorkClass = name } }

// noisySlowsQuiet are the pairs of these tests.
var noisySlowsQuiet = map[ClassPair]float64{{Victim: "quiet", Aggressor: "noisy"}: 1.5}

// withInterference is a snapshot with the pairs and the feature switched on.
func withInterference(s *Snapshot) *Snapshot {
	s.Features.Interference, s.Interference = true, noisySlowsQuiet
	return s
}

// rackOfTwo has noisy work on one worker and harmless work, with less room for it, on none.
func rackOfTwo(jobs ...*controlpb.Job) *Snapshot {
	noisy := waitingJob("noisy", "a", 1, 2, class("noisy"), running(time.Minute, 0, "d0-r0-w0"))
	other := waitingJob("other", "a", 1, 1, class("other"), running(time.Minute, 0, "d0-r0-w1"))
	return snapshotOf(testWorkers(1, 1, 2, 4), nil, append(jobs, noisy, other)...)
}

// Interference decides only between workers that are as good otherwise: work starts beside
// what slows it down if there is no other room, and urgent work isn't spread because of it.
func TestInterferingClassesAreKeptApart(t *testing.T) {
	quiet := func(tasks uint32, options ...jobOption) *controlpb.Job {
		return waitingJob("quiet", "a", tasks, 1, append(options, class("quiet"))...)
	}
	twoRacks := snapshotOf(testWorkers(1, 2, 1, 4), nil, quiet(1), waitingJob("noisy", "a", 1, 2, class("noisy"), running(time.Minute, 0, "d0-r0-w0")))
	full := rackOfTwo(quiet(1))
	full.Workers[1].Unavailable = true
	lent := rackOfTwo(quiet(1, checkpointable))
	lent.Customers["b"] = guarantee("b", 1, 3, onWorker)
	lent.Cells = []Cell{{Customer: "b", Parts: []CellPart{{Worker: "d0-r0-w1", Accelerators: 3}}}}
	fast := withInterference(rackOfTwo(quiet(1, urgent, func(j *controlpb.Job) { j.DeadlineMs = start.UnixMilli() + j.RunTimeMs*7/10 })))
	fast.Workers[0].Speed, fast.Workers[1].Speed, fast.Features.ExpectedEnd = 1.55, 1.12, true
	retried := withInterference(rackOfTwo(quiet(1, attemptsOn("x"), func(j *controlpb.Job) { j.MaxAttempts = 2 })))
	retried.Workers[1].BadRecord, retried.Features.AttemptPlacement = true, true
	runCases(t, []passCase{
		{"not on a slower worker, late", fast, map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"a further attempt not on a worker with a bad record", retried, map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"switched off", rackOfTwo(quiet(1)), map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"kept apart", withInterference(rackOfTwo(quiet(1))), map[string]string{"quiet": "d0-r0-w1"}, 0},
		{"another class is not affected", withInterference(rackOfTwo(waitingJob("quiet", "a", 1, 1))), map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"on one worker", withInterference(rackOfTwo(quiet(2, adjacency(onWorker)))), map[string]string{"quiet": "d0-r0-w1"}, 0},
		{"never a reason to wait", withInterference(full), map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"the choice of the rack stays", withInterference(twoRacks), map[string]string{"quiet": "d0-r0-w0"}, 0},
		{"a gang uses what is left", withInterference(rackOfTwo(quiet(5))), map[string]string{"quiet": "d0-r0-w0 d0-r0-w1"}, 0},
		{"another customer's cell is not borrowed", withInterference(lent), map[string]string{"quiet": "d0-r0-w0"}, 0},
	})
}

// Two jobs of one pass interfere as well as jobs of two passes.
func TestJobsOfOnePassAreKeptApart(t *testing.T) {
	is := is.New(t)
	plan := Pass(withInterference(snapshotOf(testWorkers(1, 1, 2, 4), nil,
		waitingJob("first", "a", 1, 1, class("noisy")), waitingJob("second", "a", 1, 1, class("quiet")))))
	is.Equal(outcome(plan), map[string]string{"first": "d0-r0-w0", "second": "d0-r0-w1"})
	is.Equal(plan.Separations, []Separation{{Job: "second", Class: "quiet", Beside: "noisy", From: "d0-r0-w0", To: "d0-r0-w1", Before: 0.5}})
}

// With interference the invariants hold as without, and the first job that a pass places is
// the same and lies in as many racks.
func TestInterferenceChangesOnlyWorkersOfARack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			rapid.SampledFrom([]func(*rapid.T){w.submit, w.submit, w.end, w.drain}).Draw(t, "event")(t)
			for i, job := range w.snapshot.Jobs {
				job.WorkClass = []string{"quiet", "noisy", "other"}[i%3]
			}
			w.snapshot.CarryOver(w.newest)
			without := *w.snapshot
			without.Now = without.Now.Add(time.Minute)
			plain := Pass(&without)
			withInterference(w.snapshot)
			plan := w.pass(t)
			w.snapshot.Features.Interference = false
			if len(plain.Assignments) == 0 && len(plan.Assignments) == 0 {
				continue
			}
			first, changed := plain.Assignments[0], plan.Assignments[0]
			if first.Job != changed.Job || len(racksOf(first)) != len(racksOf(changed)) {
				t.Fatalf("first assignment is %v, without interference %v", changed, first)
			}
		}
	})
}

func racksOf(assignment *controlpb.Assignment) map[string]bool {
	racks := map[string]bool{}
	for _, placement := range assignment.Placements {
		racks[placement.Worker[:5]] = true
	}
	return racks
}

// A pass compares each gang with many placements, and must not build its class each time.
func TestClassOfAGangIsBuiltOnce(t *testing.T) {
	g := &gang{job: unitJob("j", "b", 1, 1, class("quiet"))}
	is.New(t).Equal(g.interferenceClass(), InterferenceClass(g.job))
	is.New(t).Equal(testing.AllocsPerRun(10, func() { g.interferenceClass() }), 0.0)
}
