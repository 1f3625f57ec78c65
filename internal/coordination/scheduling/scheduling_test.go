package scheduling

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// passCase is a snapshot and the expected outcome of each job: the workers that it is
// placed on, "stop" for a preemption, or the reason why it waits.
type passCase struct {
	name     string
	snapshot *Snapshot
	want     map[string]string
	unmet    int
}

func outcome(plan *Plan) map[string]string {
	got := map[string]string{}
	for _, assignment := range plan.Assignments {
		var workers []string
		for _, placement := range assignment.Placements {
			workers = append(workers, placement.Worker)
		}
		slices.Sort(workers)
		got[assignment.Job] = strings.Join(slices.Compact(workers), " ")
	}
	for _, reason := range plan.Waiting {
		got[reason.Job] = string(reason.Code)
	}
	for _, preemption := range plan.Preemptions {
		got[preemption.Job] = "stop"
	}
	return got
}

func runCases(t *testing.T, cases []passCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := Pass(c.snapshot)
			is.NoErr(breachError(plan.Breach))
			is.Equal(outcome(plan), c.want)
			is.Equal(len(plan.Unmet), c.unmet)
		})
	}
}

func breachError(b *Breach) error {
	if b == nil {
		return nil
	}
	return b
}

func TestPlacement(t *testing.T) {
	two := testWorkers(1, 2, 2, 8)
	full := func(id, worker string) *controlpb.Job { return waitingJob(id, "a", 1, 8, running(0, 0, worker)) }
	runCases(t, []passCase{
		{name: "a gang is placed in one rack", snapshot: snapshotOf(two, nil, waitingJob("j", "a", 4, 4)),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "no part of a gang starts when a rack has capacity for a part only", snapshot: snapshotOf(two, nil,
			full("x", "d0-r0-w0"), full("y", "d0-r1-w0"), waitingJob("j", "a", 4, 4)),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "a gang with data centre adjacency is spread over racks", snapshot: snapshotOf(two, nil,
			full("x", "d0-r0-w0"), full("y", "d0-r1-w0"), waitingJob("j", "a", 4, 4, adjacency(inDataCentre))),
			want: map[string]string{"j": "d0-r0-w1 d0-r1-w1"}},
		{name: "a gang with data centre adjacency is not spread over data centres", snapshot: snapshotOf(testWorkers(2, 1, 1, 8), nil,
			waitingJob("j", "a", 4, 4, adjacency(inDataCentre))),
			want: map[string]string{"j": "never_fits"}},
		{name: "small work fills the used worker and the used rack", snapshot: snapshotOf(two, nil,
			waitingJob("x", "a", 1, 2, running(0, 0, "d0-r1-w1")), waitingJob("j", "a", 1, 2, adjacency(anywhere))),
			want: map[string]string{"j": "d0-r1-w1"}},
		{name: "worker adjacency keeps a gang on one worker", snapshot: snapshotOf(two, nil,
			waitingJob("x", "a", 1, 5, running(0, 0, "d0-r0-w0")), waitingJob("j", "a", 4, 1, adjacency(onWorker))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "cores run out before accelerators", snapshot: snapshotOf(testWorkers(1, 1, 2, 8), nil,
			waitingJob("j", "a", 2, 1, cores(20))),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "work without accelerators is limited by cores", snapshot: snapshotOf(testWorkers(1, 1, 1, 0), nil,
			waitingJob("x", "a", 1, 0, cores(30), running(0, 0, "d0-r0-w0")), waitingJob("j", "a", 1, 0, cores(4))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "a job in back-off is not started", snapshot: snapshotOf(two, nil,
			waitingJob("j", "a", 1, 1, func(j *controlpb.Job) { j.NotBeforeMs = start.UnixMilli() + 1 })),
			want: map[string]string{"j": "waiting_to_retry"}},
		{name: "a customer's limit is enforced", snapshot: snapshotOf(two, []*controlpb.Customer{{Name: "a", MaxAccelerators: 9}},
			full("x", "d0-r0-w0"), waitingJob("j", "a", 1, 2)),
			want: map[string]string{"j": "customer_limit"}},
		{name: "a gang larger than any rack never fits", snapshot: snapshotOf(two, nil, waitingJob("j", "a", 3, 8)),
			want: map[string]string{"j": "never_fits"}},
	})
}

func TestGuarantees(t *testing.T) {
	two := testWorkers(1, 2, 1, 8)
	owner := []*controlpb.Customer{guarantee("own", 1, 8, inRack)}
	lost := testWorkers(1, 1, 1, 4)
	runCases(t, []passCase{
		{name: "non-preemptible work does not borrow a cell", snapshot: snapshotOf(two, owner,
			waitingJob("x", "b", 1, 8, running(0, 0, "d0-r1-w0")), waitingJob("j", "b", 1, 1)),
			want: map[string]string{"j": "kept_for_guarantee"}},
		{name: "a cell moves out of the way of non-preemptible work", snapshot: func() *Snapshot {
			s := snapshotOf(two, []*controlpb.Customer{guarantee("own", 1, 4, inRack)},
				waitingJob("x", "b", 1, 4, running(0, 0, "d0-r1-w0")), waitingJob("j", "b", 1, 8))
			s.Cells = []Cell{{Customer: "own", Parts: []CellPart{{"d0-r0-w0", 4}}}}
			return s
		}(), want: map[string]string{"j": "d0-r0-w0"}},
		{name: "preemptible work borrows a cell", snapshot: snapshotOf(two, owner,
			waitingJob("x", "b", 1, 8, running(0, 0, "d0-r1-w0")), waitingJob("j", "b", 1, 1, checkpointable)),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "non-preemptible work without accelerators does not take the cores of a cell", snapshot: snapshotOf(two[:1], owner,
			waitingJob("j", "b", 1, 0, cores(1), func(j *controlpb.Job) { j.MemoryMb = 0 })),
			want: map[string]string{"j": "kept_for_guarantee"}},
		{name: "the owner reclaims what it lent", snapshot: snapshotOf(two, owner,
			waitingJob("x", "b", 1, 8, running(0, 0, "d0-r1-w0")),
			waitingJob("y", "b", 1, 8, checkpointable, running(0, 0, "d0-r0-w0")), waitingJob("j", "own", 2, 4)),
			want: map[string]string{"y": "stop", "j": "taking_back"}},
		{name: "of two borrowers the one that loses less work is preempted", snapshot: snapshotOf(two[:1],
			[]*controlpb.Customer{guarantee("own", 1, 4, inRack)},
			waitingJob("x", "b", 1, 4, idempotent, running(time.Hour, 0, "d0-r0-w0")),
			waitingJob("y", "b", 1, 4, idempotent, running(time.Minute, 4, "d0-r0-w0")), waitingJob("j", "own", 1, 4)),
			want: map[string]string{"y": "stop", "j": "taking_back"}},
		{name: "borrowers are preempted, not work whose owner would reclaim the capacity at once", snapshot: snapshotOf(testWorkers(1, 1, 1, 4),
			[]*controlpb.Customer{guarantee("own", 1, 3, inRack), guarantee("a", 1, 1, inRack)},
			waitingJob("x", "a", 2, 1, idempotent, running(time.Hour, 0, "d0-r0-w0"), func(j *controlpb.Job) {
				j.Placements = append(j.Placements, &controlpb.Placement{Task: 1, Worker: "d0-r0-w0", Accelerators: []uint32{1}})
			}),
			waitingJob("y", "a", 1, 1, idempotent, running(0, 2, "d0-r0-w0")), waitingJob("z", "c", 1, 1, idempotent, running(9*time.Hour, 3, "d0-r0-w0")),
			waitingJob("j", "own", 3, 1)),
			want: map[string]string{"x": "stop", "z": "stop", "j": "taking_back"}},
		{name: "a second pass preempts nothing more", snapshot: snapshotOf(two[:1],
			[]*controlpb.Customer{guarantee("own", 1, 4, inRack)},
			waitingJob("x", "b", 1, 4, idempotent, running(time.Hour, 0, "d0-r0-w0")),
			waitingJob("y", "b", 1, 4, idempotent, running(0, 4, "d0-r0-w0"), func(j *controlpb.Job) {
				j.State = controlpb.JobState_JOB_STATE_STOPPING
			}), waitingJob("j", "own", 1, 4), waitingJob("k", "b", 1, 4, idempotent)),
			want: map[string]string{"j": "taking_back", "k": "no_free_capacity"}},
		{name: "urgent work preempts normal work of borrowers", snapshot: snapshotOf(two[:1], nil,
			waitingJob("x", "b", 1, 8, checkpointable, running(0, 0, "d0-r0-w0")), waitingJob("j", "c", 1, 4, urgent)),
			want: map[string]string{"x": "stop", "j": "taking_back"}},
		{name: "urgent work does not preempt work within its owner's guarantee", snapshot: snapshotOf(two[:1], owner,
			waitingJob("x", "own", 1, 8, checkpointable, running(0, 0, "d0-r0-w0")), waitingJob("j", "c", 1, 4, urgent)),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "a lost worker leaves a guarantee unmet and other work starts", snapshot: snapshotOf(lost, owner,
			waitingJob("j", "b", 1, 4)),
			want: map[string]string{"j": "d0-r0-w0"}, unmet: 1},
	})
}

// A cell that blocks another set has to move when nothing uses it: the previous plan
// reserved 4 accelerators in each rack, and after the loss of a worker there is space
// for a set of 8 only if both cells share a rack.
func TestCellsMoveWhenTheyBlockAnotherSet(t *testing.T) {
	is := is.New(t)
	s := snapshotOf(testWorkers(1, 2, 1, 8), []*controlpb.Customer{guarantee("a", 2, 4, inRack), guarantee("b", 1, 8, inRack)})
	s.Cells = []Cell{
		{Customer: "a", Set: 0, Parts: []CellPart{{"d0-r0-w0", 4}}},
		{Customer: "a", Set: 1, Parts: []CellPart{{"d0-r1-w0", 4}}},
	}
	plan := Pass(s)
	is.NoErr(breachError(plan.Breach))
	is.Equal(len(plan.Unmet), 0)
}

// A fault in the index could make a plan allocate an accelerator twice or give away a
// guarantee. Verify counts without that index and has to reject such a plan.
func TestVerifyRefuses(t *testing.T) {
	two := testWorkers(1, 2, 1, 8)
	owner := []*controlpb.Customer{guarantee("own", 1, 8, inRack)}
	cell := []Cell{{Customer: "own", Parts: []CellPart{{"d0-r0-w0", 8}}}}
	place := func(worker string, numbers ...uint32) *controlpb.Placement {
		return &controlpb.Placement{Worker: worker, Accelerators: numbers}
	}
	cases := []struct {
		name  string
		cells []Cell
		place []*controlpb.Placement
		want  BreachKind
	}{
		{"an incomplete gang", cell, []*controlpb.Placement{place("d0-r1-w0", 0)}, BreachIncompleteGang},
		{"a gang over two racks", cell, []*controlpb.Placement{place("d0-r1-w0", 0), place("d0-r0-w0", 0)}, BreachAdjacency},
		{"an accelerator twice", cell, []*controlpb.Placement{place("d0-r1-w0", 0), place("d0-r1-w0", 0)}, BreachDoubleAllocation},
		{"an accelerator that is in use", cell, []*controlpb.Placement{place("d0-r1-w0", 0), place("d0-r1-w0", 7)}, BreachDoubleAllocation},
		{"an unknown worker", cell, []*controlpb.Placement{place("gone", 0), place("gone", 1)}, BreachUnusableWorker},
		{"too many cores", cell, []*controlpb.Placement{place("d0-r1-w0", 0), place("d0-r1-w0", 1)}, BreachOvercommit},
		{"non-preemptible work in a cell", cell, []*controlpb.Placement{place("d0-r0-w0", 0), place("d0-r0-w0", 1)}, BreachCellNotReclaimable},
		{"a guarantee without a cell", nil, nil, BreachMissingCell},
		{"a cell too small", []Cell{{Customer: "own", Parts: []CellPart{{"d0-r0-w0", 7}}}}, nil, BreachCellShape},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := snapshotOf(two, owner, waitingJob("j", "b", 2, 1, cores(10)),
				waitingJob("x", "b", 1, 1, cores(20), running(0, 7, "d0-r1-w0")))
			plan := &Plan{Cells: c.cells}
			if c.place != nil {
				plan.Assignments = []*controlpb.Assignment{{Job: "j", Placements: c.place}}
			}
			is.Equal(Verify(s, plan).Kind, c.want)
		})
	}
}

// Guards against a plan that gives a worker which is kept for one job to work that is not guaranteed.
func TestVerifyKeepsIsolation(t *testing.T) {
	cases := []struct {
		name, onlyFor string
		job           *controlpb.Job
		restricted    bool
		breach        bool
	}{
		{"a kept worker, its job", "j", unitJob("j", "b", 1, 1), true, false},
		{"a kept worker, guaranteed work", "s", unitJob("j", "a", 1, 8, topPriority), false, false},
		{"a kept worker, work beyond the guarantee", "s", unitJob("j", "a", 2, 8, topPriority), false, true},
		{"a kept worker, other work", "s", unitJob("j", "a", 1, 1), false, true},
		{"a worker that is being emptied", NoJob, unitJob("j", "a", 1, 1), false, true},
		{"any worker, a restricted job", "", unitJob("j", "b", 1, 1), true, true},
		{"any worker", "", unitJob("j", "b", 1, 1), false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			workers := testWorkers(1, 1, 2, 8)
			workers[0].OnlyFor, workers[1].OnlyFor = c.onlyFor, c.onlyFor
			s := unitsSnapshot(workers, c.job)
			s.Restricted = map[string]bool{"j": c.restricted}
			is.Equal(Verify(s, &Plan{Assignments: []*controlpb.Assignment{filling(c.job, workers)}}) != nil, c.breach)
		})
	}
}

// filling assigns one task of the job to each worker, on its first accelerators.
func filling(job *controlpb.Job, workers []Worker) *controlpb.Assignment {
	assignment := &controlpb.Assignment{Job: job.Id}
	for task := range job.Tasks {
		placement := &controlpb.Placement{Task: task, Worker: workers[task].ID}
		for number := range job.Accelerators {
			placement.Accelerators = append(placement.Accelerators, number)
		}
		assignment.Placements = append(assignment.Placements, placement)
	}
	return assignment
}
