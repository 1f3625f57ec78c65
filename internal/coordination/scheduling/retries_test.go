package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// attemptsOn gives the job one failure of its own on each worker.
func attemptsOn(workers ...string) jobOption {
	return func(j *controlpb.Job) {
		for _, worker := range workers {
			j.OwnFailures++
			j.Failures = append(j.Failures, &controlpb.TaskFailure{Worker: worker, Code: string(failure.TaskFailed)})
		}
	}
}

// The last attempt of a job must not go to the rack in which it failed, or to a worker with a
// bad record, where another one is free; and it must not wait for one.
func TestRetryPrefersAnotherRackAndAGoodRecord(t *testing.T) {
	badRecord := func(workers []Worker, numbers ...int) []Worker {
		for _, number := range numbers {
			workers[number].BadRecord = true
		}
		return workers
	}
	for name, test := range map[string]struct {
		workers []Worker
		job     *controlpb.Job
		want    string
	}{
		"another rack, good record":         {badRecord(testWorkers(1, 2, 2, 8), 2), unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0")), "d0-r1-w1"},
		"good record in the same rack":      {badRecord(testWorkers(1, 2, 2, 8), 2, 3), unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0")), "d0-r0-w1"},
		"bad record, but another rack":      {badRecord(testWorkers(1, 2, 2, 8), 1, 2, 3), unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0")), "d0-r1-w0"},
		"no other worker: no wait":          {badRecord(testWorkers(1, 1, 2, 8), 1), unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0")), "d0-r0-w1"},
		"not on a degraded worker":          {withSpeeds(testWorkers(1, 2, 2, 8), 1, 1, 0.3, 0.3), unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0")), "d0-r0-w1"},
		"the first attempt is as it was":    {badRecord(testWorkers(1, 2, 2, 8), 0), unitJob("j", "b", 1, 8), "d0-r0-w0"},
		"no limit on attempts: as it was":   {badRecord(testWorkers(1, 2, 2, 8), 0), unitJob("j", "b", 1, 8, attemptsOn("x"), func(j *controlpb.Job) { j.MaxAttempts = 0 }), "d0-r0-w0"},
		"failures of workers don't matter":  {testWorkers(1, 2, 2, 8), unitJob("j", "b", 1, 8, attemptsOn("x"), func(j *controlpb.Job) { j.Failures[0].Code = string(failure.WorkerVanished) }), "d0-r0-w0"},
		"a worker that is no longer known":  {testWorkers(1, 2, 2, 8), unitJob("j", "b", 1, 8, attemptsOn("x")), "d0-r0-w0"},
		"a gang that fits no other rack":    {testWorkers(1, 1, 3, 8), unitJob("j", "b", 2, 8, attemptsOn("d0-r0-w0")), "d0-r0-w1"},
		"a gang goes as a whole to another": {testWorkers(1, 2, 3, 8), unitJob("j", "b", 2, 8, attemptsOn("d0-r0-w0")), "d0-r1-w0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := unitsSnapshot(test.workers, test.job)
			snapshot.Features.AttemptPlacement = true
			plan := Pass(snapshot)
			is.Equal(plan.Breach, nil)
			is.Equal(len(plan.Assignments), 1)
			is.Equal(plan.Assignments[0].Placements[0].Worker, test.want)
		})
	}
}

// The preference must not spread a gang over more racks, take a task away from its data or
// make it late: each makes the attempt run several times as long.
func TestRetryIsNotPlacedWorse(t *testing.T) {
	full := func(workers []Worker, numbers ...int) []Worker {
		for _, number := range numbers {
			workers[number].Unavailable = true
		}
		return workers
	}
	past := func(j *controlpb.Job) { j.SubmittedMs = start.Add(-time.Hour).UnixMilli() } // past its locality wait
	for name, test := range map[string]struct {
		workers []Worker
		job     *controlpb.Job
		want    string
	}{
		"a coupled gang stays in one rack": {
			full(testWorkers(1, 3, 3, 8), 3, 4, 6, 7),
			unitJob("j", "b", 2, 8, attemptsOn("d0-r0-w0"), adjacency(anywhere), past, func(j *controlpb.Job) { j.TightlyCoupled = true }), "d0-r0-w1",
		},
		"a task stays with its data": {
			testWorkers(1, 2, 2, 8),
			unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0"), past, func(j *controlpb.Job) { j.DataRack = "r0" }), "d0-r0-w1",
		},
		"a late worker is not taken": {
			withSpeeds(testWorkers(1, 2, 2, 8), 1, 1, 0.8, 0.8),
			unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0"), func(j *controlpb.Job) { j.DeadlineMs = start.UnixMilli() + j.RunTimeMs*11/10 }), "d0-r0-w1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := unitsSnapshot(test.workers, test.job)
			snapshot.Features.AttemptPlacement = true
			snapshot.Features.ExpectedEnd = test.job.DeadlineMs > 0
			plan := Pass(snapshot)
			is.Equal(plan.Breach, nil)
			is.Equal(len(plan.Assignments), 1)
			is.Equal(plan.Assignments[0].Placements[0].Worker, test.want)
		})
	}
}

// A job with attempts left that has failed on every worker that can hold it waits for ever.
func TestJobThatFailedEverywhereIsTriedAgain(t *testing.T) {
	all := []string{"d0-r0-w0", "d0-r0-w1", "d0-r1-w0"}
	for name, test := range map[string]struct {
		failedOn []string
		prepare  func(workers []Worker)
		placed   bool
	}{
		"on all":                            {failedOn: all, placed: true},
		"on all that are available":         {failedOn: all[:2], prepare: func(w []Worker) { w[2].Unavailable = true }, placed: true},
		"on all but one that is too small":  {failedOn: all[:2], prepare: func(w []Worker) { w[2].Accelerators = 4 }, placed: true},
		"on all but one that has shrunk":    {failedOn: all[:2], prepare: func(w []Worker) { w[2].Accelerators, w[2].MemoryMB = 0, 0 }, placed: true},
		"on all but one of another service": {failedOn: all[:2], prepare: func(w []Worker) { w[2].Services = []string{"other"} }, placed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := testWorkers(1, 2, 2, 8)[:3]
			for i := range workers {
				workers[i].Services = []string{"s"}
			}
			if test.prepare != nil {
				test.prepare(workers)
			}
			job := unitJob("j", "b", 1, 8, attemptsOn(test.failedOn...), func(j *controlpb.Job) { j.Service, j.MaxAttempts = "s", 4 })
			plan := Pass(unitsSnapshot(workers, job))
			is.Equal(len(plan.Assignments) > 0, test.placed)
		})
	}
}

// A gang has failed under single members on some workers, and the others are too few for it: it waits for ever.
func TestGangThatFitsOnNoUntriedWorkersIsTriedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		tasks  uint32
		option jobOption
		placed bool
	}{
		"too many members":    {tasks: 3, option: func(*controlpb.Job) {}, placed: true},
		"too few, by a limit": {tasks: 3, option: func(j *controlpb.Job) { j.Accelerators, j.SpreadLimit = 1, 1 }, placed: true},
		"no rack of the rest": {tasks: 2, option: adjacency(controlpb.Adjacency_ADJACENCY_RACK), placed: true},
		"it fits on the rest": {tasks: 2, option: func(*controlpb.Job) {}, placed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gang := unitJob("j", "b", test.tasks, 8, attemptsOn("d0-r0-w0", "d0-r1-w0"), func(j *controlpb.Job) { j.MaxAttempts = 4 }, test.option)
			plan := Pass(unitsSnapshot(testWorkers(1, 2, 2, 8), gang))
			is.Equal(len(plan.Assignments) > 0, test.placed)
		})
	}
}

// A job waits for the one worker on which it hasn't failed, which is full for long, beside empty ones.
func TestJobWaitsForAnUntriedWorkerForLimitedTime(t *testing.T) {
	is := is.New(t)
	workers := testWorkers(1, 2, 2, 8)
	full := unitJob("x", "b", 1, 8, running(time.Second, 0, "d0-r1-w1"), func(j *controlpb.Job) { j.RunTimeMs = time.Hour.Milliseconds() })
	job := unitJob("j", "b", 1, 8, attemptsOn("d0-r0-w0", "d0-r0-w1", "d0-r1-w0"), func(j *controlpb.Job) { j.MaxAttempts = 4 })
	snapshot := unitsSnapshot(workers, full, job)
	plan := Pass(snapshot)
	is.Equal(len(plan.Assignments), 0) // the other worker may become free
	for waited := time.Duration(0); len(plan.Assignments) == 0; waited += 100 * time.Millisecond {
		if waited > 2500*time.Millisecond {
			t.Fatal("the job still waits beside three empty workers")
		}
		snapshot.Now = start.Add(waited)
		snapshot.CarryOver(plan)
		plan = Pass(snapshot)
	}
}

// Guards against a job that waits, beside free workers on which it has failed, for one that is full for
// long, beyond the time for which accepted work may stand after a disturbance.
func TestJobReturnsToWorkersOnWhichItFailedBeforeItStandsTooLong(t *testing.T) {
	const first, second, third, last = "d0-r0-w0", "d0-r0-w1", "d0-r1-w0", "d0-r1-w1"
	for name, test := range map[string]struct {
		stood        time.Duration
		failed, busy []string
		placed       bool
	}{
		"not yet":                    {maxStand - time.Millisecond, []string{first, second, third}, []string{last}, false},
		"it has stood too long":      {maxStand, []string{first, second, third}, []string{last}, true},
		"the service is mostly busy": {maxStand, []string{first}, []string{second, third, last}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			job := unitJob("j", "b", 1, 4, attemptsOn(test.failed...), func(j *controlpb.Job) { j.MaxAttempts = 4 })
			job.SubmittedMs = start.Add(-test.stood).UnixMilli()
			for _, failed := range job.Failures {
				failed.TimeMs = job.SubmittedMs
			}
			jobs := []*controlpb.Job{job}
			for _, worker := range test.busy {
				jobs = append(jobs, unitJob("on-"+worker, "b", 1, 8, running(time.Second, 0, worker), func(j *controlpb.Job) { j.RunTimeMs = time.Hour.Milliseconds() }))
			}
			snapshot := unitsSnapshot(testWorkers(1, 2, 2, 8), jobs...)
			snapshot.MaxStand = maxStand
			plan := Pass(snapshot)
			is.Equal(plan.Breach, nil)
			is.Equal(len(plan.Assignments) > 0, test.placed)
		})
	}
}
