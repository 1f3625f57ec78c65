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

// Each case has room for one of two jobs; want names the one that starts.
func TestOrder(t *testing.T) {
	one := testWorkers(1, 1, 1, 8)
	first := func(id string, options ...jobOption) *controlpb.Job {
		return waitingJob(id, "a", 1, 8, append([]jobOption{stoppable}, options...)...)
	}
	heavy := []*controlpb.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	cases := []struct {
		name     string
		snapshot *Snapshot
		want     string
	}{
		{name: "urgent before a pressing deadline", snapshot: snapshotOf(one, nil, first("d", deadline(time.Hour)), first("u", urgent)), want: "u"},
		{name: "a pressing deadline before shorter work", snapshot: snapshotOf(one, nil, first("s", runTime(time.Minute)), first("d", deadline(time.Hour))), want: "d"},
		{name: "the less slack first", snapshot: snapshotOf(one, nil, first("l", deadline(90*time.Minute)), first("d", deadline(70*time.Minute))), want: "d"},
		{name: "a far deadline does not press", snapshot: snapshotOf(one, nil, first("d", deadline(100*time.Hour)), first("s", runTime(time.Minute))), want: "s"},
		{name: "a missed deadline does not press", snapshot: snapshotOf(one, nil, first("d", deadline(-time.Minute)), first("s", runTime(time.Minute))), want: "s"},
		{name: "the shorter first", snapshot: snapshotOf(one, nil, first("l"), first("s", runTime(time.Minute))), want: "s"},
		{name: "the older of two alike first", snapshot: snapshotOf(one, nil, first("y"), first("o", submitted(time.Minute))), want: "o"},
		{name: "a wait outweighs a longer run", snapshot: snapshotOf(one, nil, first("s", runTime(50*time.Minute)), first("o", submitted(29*time.Minute))), want: "o"},
		{name: "the customer that borrows less first", snapshot: snapshotOf(testWorkers(1, 1, 2, 8), heavy,
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
	workers[0].Unavailable = true
	shape := func(tasks, accelerators, cores uint32, where controlpb.Adjacency) Shape {
		return Shape{Tasks: tasks, Accelerators: accelerators, Cores: cores, MemoryMB: 1, Adjacency: where}
	}
	cases := []struct {
		name    string
		ask     Shape
		want    bool
		nearest Shape
		wider   controlpb.Adjacency
	}{
		{"a whole rack, one worker drained", shape(4, 4, 1, inRack), true, shape(4, 4, 1, inRack), anywhere},
		{"more tasks than a rack takes", shape(5, 4, 1, inRack), false, shape(4, 4, 1, inRack), inDataCentre},
		{"more than a data centre takes", shape(9, 4, 1, inRack), false, shape(4, 4, 1, inRack), anywhere},
		{"more accelerators than a worker has", shape(2, 9, 1, inRack), false, shape(2, 8, 1, inRack), anywhere},
		{"more cores than a worker has", shape(1, 1, 33, inRack), false, shape(1, 1, 32, inRack), anywhere},
		{"a gang larger than one worker", shape(9, 1, 1, onWorker), false, shape(8, 1, 1, onWorker), inRack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Feasible(c.ask, workers)
			is.Equal(got.Feasible, c.want)
			is.Equal(got.Nearest, c.nearest)
			is.Equal(got.Wider, c.wider)
		})
	}
	is.New(t).Equal(Feasible(shape(1, 1, 1, anywhere), nil).Nearest.Tasks, uint32(0))
}
