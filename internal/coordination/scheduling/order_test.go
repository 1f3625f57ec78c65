package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func deadline(in time.Duration) jobOption {
	return func(j *controlpb.Job) { j.DeadlineMs = start.Add(in).UnixMilli() }
}

// Each case has capacity for one of two jobs; want is the one that starts.
func TestOrder(t *testing.T) {
	one := testWorkers(1, 1, 1, 8)
	first := func(id string, options ...jobOption) *controlpb.Job {
		return waitingJob(id, "a", 1, 8, append([]jobOption{idempotent}, options...)...)
	}
	customers := []*controlpb.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	cases := []struct {
		name     string
		snapshot *Snapshot
		want     string
	}{
		{name: "urgent work before a deadline at risk", snapshot: snapshotOf(one, nil, first("d", deadline(time.Hour)), first("u", urgent)), want: "u"},
		{name: "a deadline at risk before shorter work", snapshot: snapshotOf(one, nil, first("s", runTime(time.Minute)), first("d", deadline(time.Hour))), want: "d"},
		{name: "less slack first", snapshot: snapshotOf(one, nil, first("l", deadline(90*time.Minute)), first("d", deadline(70*time.Minute))), want: "d"},
		{name: "a distant deadline is not at risk", snapshot: snapshotOf(one, nil, first("d", deadline(100*time.Hour)), first("s", runTime(time.Minute))), want: "s"},
		{name: "a missed deadline is not at risk", snapshot: snapshotOf(one, nil, first("d", deadline(-time.Minute)), first("s", runTime(time.Minute))), want: "s"},
		{name: "shorter work first", snapshot: snapshotOf(one, nil, first("l"), first("s", runTime(time.Minute))), want: "s"},
		{name: "the older of two equal jobs first", snapshot: snapshotOf(one, nil, first("y"), first("o", submitted(time.Minute))), want: "o"},
		{name: "a longer wait outweighs a longer run", snapshot: snapshotOf(one, nil, first("s", runTime(50*time.Minute)), first("o", submitted(29*time.Minute))), want: "o"},
		{name: "the customer that borrows less first", snapshot: snapshotOf(testWorkers(1, 1, 2, 8), customers,
			waitingJob("x", "a", 1, 8, running(0, 0, "d0-r0-w0")), first("j", runTime(50*time.Minute)), waitingJob("k", "b", 1, 8)), want: "k"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := Pass(c.snapshot)
			is.Equal(len(plan.Assignments), 1)
			is.Equal(plan.Assignments[0].Job, c.want)
		})
	}
}

func TestFeasible(t *testing.T) {
	workers := testWorkers(2, 2, 2, 8)
	for i := 0; i < len(workers); i += 2 {
		workers[i].Unavailable = true
	}
	shape := func(tasks, accelerators, cores uint32, where controlpb.Adjacency) Shape {
		return Shape{Tasks: tasks, Accelerators: accelerators, Cores: cores, MemoryMB: 1, Adjacency: where}
	}
	cases := []struct {
		name    string
		shape   Shape
		want    bool
		nearest Shape
		wider   controlpb.Adjacency
	}{
		{"a whole rack, half of its workers drained", shape(4, 4, 1, inRack), true, shape(4, 4, 1, inRack), anywhere},
		{"more tasks than a rack holds", shape(5, 4, 1, inRack), false, shape(4, 4, 1, inRack), inDataCentre},
		{"more tasks than a data centre holds", shape(9, 4, 1, inRack), false, shape(4, 4, 1, inRack), anywhere},
		{"more accelerators than a worker has", shape(2, 9, 1, inRack), false, shape(2, 8, 1, inRack), anywhere},
		{"more cores than a worker has", shape(1, 1, 33, inRack), false, shape(1, 1, 32, inRack), anywhere},
		{"a gang larger than one worker", shape(9, 1, 1, onWorker), false, shape(8, 1, 1, onWorker), inRack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Feasible(c.shape, workers)
			is.Equal(got.Feasible, c.want)
			is.Equal(got.Nearest, c.nearest)
			is.Equal(got.Wider, c.wider)
		})
	}
	is.New(t).Equal(Feasible(shape(1, 1, 1, anywhere), nil).Nearest.Tasks, uint32(0))
}
