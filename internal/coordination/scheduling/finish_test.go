package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A run on slow or remote workers must not make its class look longer than it is, or all
// of the class's later work would be expected to miss its objective.
func TestRunFactor(t *testing.T) {
	workers := map[string]*Worker{
		"fast": {Rack: "r", Speed: 1.6}, "slow": {Rack: "r", Speed: 0.5}, "broken": {Rack: "r", Speed: 0.001},
		"far": {Rack: "r2"}, "abroad": {Rack: "r", DataCentre: "d1"},
	}
	workerOf := func(id string) *Worker { return workers[id] }
	for name, c := range map[string]struct {
		job     *controlpb.Job
		workers []string
		want    float64
	}{
		"no workers":                 {&controlpb.Job{}, nil, 1},
		"unknown speed":              {&controlpb.Job{}, []string{"x"}, 1},
		"slowest member":             {&controlpb.Job{}, []string{"fast", "slow", "x"}, 0.5},
		"error of the observation":   {&controlpb.Job{}, []string{"broken"}, minSpeed},
		"coupled over two racks":     {&controlpb.Job{TightlyCoupled: true}, []string{"fast", "far"}, 1 / remoteSlowdown},
		"over two racks of one name": {&controlpb.Job{TightlyCoupled: true}, []string{"fast", "abroad"}, 1 / remoteSlowdown},
		"loose over two racks":       {&controlpb.Job{}, []string{"fast", "far"}, 1},
		"away from its data":         {&controlpb.Job{DataRack: "r2"}, []string{"fast"}, 1.6 / remoteSlowdown},
	} {
		t.Run(name, func(t *testing.T) {
			job := c.job
			for _, worker := range c.workers {
				job.Placements = append(job.Placements, &controlpb.Placement{Worker: worker})
			}
			is.New(t).Equal(RunFactor(job, workerOf), c.want)
		})
	}
}

func byExpectedEnd(s *Snapshot) *Snapshot {
	s.Features.ExpectedEnd = true
	return s
}

// Work must go where its estimate says that it ends in time: with fixed classes, a worker
// just inside the class of the fast ones is preferred to none that is faster.
func TestPlacementByExpectedEnd(t *testing.T) {
	four := func(speeds ...float64) []Worker { return withSpeeds(testWorkers(1, 2, 2, 8), speeds...) }
	stopped := unitJob("k", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))
	runCases(t, []passCase{
		{name: "urgent work to the fastest worker", snapshot: byExpectedEnd(unitsSnapshot(four(1.15, 1.2, 1.55, 1), unitJob("j", "a", 1, 1, topPriority))),
			want: map[string]string{"j": "d0-r1-w0"}},
		{name: "an urgent gang to the rack with the faster slowest member", snapshot: byExpectedEnd(unitsSnapshot(four(0.7, 1.6, 1, 1), unitJob("j", "a", 2, 8, topPriority, coupled))),
			want: map[string]string{"j": "d0-r1-w0 d0-r1-w1"}},
		{name: "a gang in time where no member idles", snapshot: byExpectedEnd(unitsSnapshot(four(1.6, 1, 0.9, 0.9), unitJob("j", "a", 2, 8, coupled))),
			want: map[string]string{"j": "d0-r1-w0 d0-r1-w1"}},
		{name: "a patient task to the slowest worker that is in time", snapshot: byExpectedEnd(unitsSnapshot(four(1, 0.6, 0.2, 1.6), unitJob("j", "a", 1, 1))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "work without a deadline not to a degraded worker", snapshot: byExpectedEnd(snapshotOf(four(1, 1, 1, 0.06), nil, waitingJob("j", "a", 1, 1, adjacency(anywhere)))),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "to the less degraded of two", snapshot: byExpectedEnd(unitsSnapshot(four(0.4, 0.06), unitJob("j", "a", 1, 1, dueIn(time.Hour)))),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "near its data rather than on a slower worker", snapshot: byExpectedEnd(snapshotOf(four(0.08, 0.08, 1, 1), nil, waitingJob("j", "a", 1, 1, adjacency(anywhere), dataIn("r1")))),
			want: map[string]string{"j": "d0-r1-w0"}},
		{name: "to the slowest that is in time, in a rack with one that is not", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 2, 3, 8), 1.2, 1.2, 1.2, 1.5, 0.9, 0.2), unitJob("j", "a", 1, 1))),
			want: map[string]string{"j": "d0-r1-w1"}},
		{name: "a gang over no more racks than it needs", snapshot: byExpectedEnd(unitsSnapshot(testWorkers(1, 3, 2, 8),
			unitJob("x", "b", 1, 8, running(time.Second, 0, "d0-r0-w0")), unitJob("j", "a", 4, 8))),
			want: map[string]string{"j": "d0-r1-w0 d0-r1-w1 d0-r2-w0 d0-r2-w1"}},
		{name: "a patient task that is short of time to a fast worker", snapshot: byExpectedEnd(unitsSnapshot(four(1, 0.6, 0.2, 1.6), unitJob("j", "a", 1, 1, dueIn(10*time.Second)))),
			want: map[string]string{"j": "d0-r1-w1"}},
		{name: "near its data rather than on a faster worker", snapshot: byExpectedEnd(unitsSnapshot(four(1.6, 1.6, 0.9, 0.9), unitJob("j", "a", 1, 1, topPriority, dataIn("r1")))),
			want: map[string]string{"j": "d0-r1-w0"}},
		{name: "nothing is stopped on a worker where the request is late", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 1, 8), 0.4),
			unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)), stopped)),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "it is stopped on a worker where the request is in time", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 1, 8), 0.8),
			unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)), stopped)),
			want: map[string]string{"i": "taking_back", "k": "stop"}},
	})
}

// Work is stopped where the request ends in time by its whole estimate, and only there.
func TestPreemptionByWholeEstimate(t *testing.T) {
	stopped := func(worker string) *controlpb.Job {
		return unitJob("k-"+worker, "b", 1, 8, running(time.Second, 0, worker))
	}
	restored := func(j *controlpb.Job) { j.CheckpointedMs, j.Checkpointable = 500, true }
	for name, c := range map[string]struct {
		speed    float64
		tasks    uint32
		due      time.Duration
		option   jobOption
		preempts bool
	}{
		"a worker just fast enough":       {0.9, 1, 2350 * time.Millisecond, idempotent, true},
		"late with the restore":           {0.83, 1, 2 * time.Second, restored, false},
		"in time with the restore":        {0.96, 1, 2 * time.Second, restored, true},
		"late over two racks":             {1, 2, 4 * time.Second, coupled, false},
		"in time over two racks":          {1, 2, 7 * time.Second, coupled, true},
		"a loose gang over two racks":     {1, 2, 4 * time.Second, idempotent, true},
		"late away from its data":         {1, 1, 4 * time.Second, dataIn("r9"), false},
		"in time in the rack of its data": {1, 1, 4 * time.Second, dataIn("r1"), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 2, 1, 8), c.speed),
				unitJob("i", "b", c.tasks, 8, topPriority, dueIn(c.due), c.option), stopped("d0-r0-w0"), stopped("d0-r1-w0")))
			s.Features.RestoreTime = 400 * time.Millisecond
			is.New(t).Equal(len(Pass(s).Preemptions) > 0, c.preempts)
		})
	}
}

// Requests of one shape share counts and refusals within a pass. Those of a request limited
// to workers on which it is in time must not be used for one with another limit or none.
func TestSpeedLimitsAreKeptApart(t *testing.T) {
	stopped := func(id, worker string) *controlpb.Job {
		return unitJob(id, "b", 1, 8, running(time.Second, 0, worker), checkpointable)
	}
	late := unitJob("l", "b", 1, 8, topPriority, dueIn(2100*time.Millisecond))
	loose := unitJob("m", "b", 1, 8, topPriority, dueIn(4*time.Second))
	runCases(t, []passCase{
		{name: "loose work after work refused for its tight objective", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 1, 8), 0.85),
			unitJob("l", "b", 1, 8, topPriority, dueIn(2050*time.Millisecond)), loose, stopped("k", "d0-r0-w0"))),
			want: map[string]string{"l": "no_free_capacity", "m": "taking_back", "k": "stop"}},
		{name: "long-waiting work after limited work", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 1, 8), 0.9), late,
			waitingJob("old", "a", 1, 8, adjacency(anywhere), idempotent, waited(3*time.Hour)), stopped("k", "d0-r0-w0"))),
			want: map[string]string{"l": "no_free_capacity", "old": "taking_back", "k": "stop"}},
		{name: "limited work after guaranteed work", snapshot: byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 2, 8), 0.5), late,
			unitJob("g", "a", 1, 8, topPriority), stopped("k0", "d0-r0-w0"), stopped("k1", "d0-r0-w1"))),
			want: map[string]string{"l": "no_free_capacity", "g": "taking_back", "k0": "stop"}},
	})
}

// The plan's estimate is logged for each start; a wrong one would lead an operator astray.
func TestExpectedRunOnSlowWorkers(t *testing.T) {
	is := is.New(t)
	s := byExpectedEnd(unitsSnapshot(withSpeeds(testWorkers(1, 1, 1, 8), 0.5), unitJob("j", "a", 1, 1)))
	s.Jobs[0].CheckpointedMs = 4000
	s.Features.RestoreTime = 100 * time.Millisecond
	is.Equal(Pass(s).Expected["j"], Expectation{Speed: 0.5, Runs: 12100 * time.Millisecond})
}
