package scheduling

import (
	"fmt"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// unitJob is a unit of a workflow of 10 s that may be stopped and run again.
func unitJob(id, customer string, tasks, accelerators uint32, options ...jobOption) *controlpb.Job {
	job := waitingJob(id, customer, tasks, accelerators, adjacency(anywhere), stoppable)
	job.Workflow = id
	job.RunTimeMs = 10_000
	job.Priority = 1
	job.MaxAttempts = 2
	job.DeadlineMs = start.Add(30 * time.Second).UnixMilli()
	for _, option := range options {
		option(job)
	}
	return job
}

func first(j *controlpb.Job) { j.Urgent, j.Priority, j.RunTimeMs = true, 0, 2_000 }

func waited(d time.Duration) jobOption {
	return func(j *controlpb.Job) { j.SubmittedMs = start.Add(-d).UnixMilli() }
}

func dueIn(d time.Duration) jobOption {
	return func(j *controlpb.Job) { j.DeadlineMs = start.Add(d).UnixMilli() }
}

func needing(label string) jobOption { return func(j *controlpb.Job) { j.Requirement = label } }

func dataIn(rack string) jobOption { return func(j *controlpb.Job) { j.DataRack = rack } }

func coupled(j *controlpb.Job) { j.TightlyCoupled = true }

func spreadBy(n uint32) jobOption { return func(j *controlpb.Job) { j.SpreadLimit = n } }

func ofPriority(n uint32) jobOption { return func(j *controlpb.Job) { j.Priority = n } }

func failedAt(worker string) jobOption {
	return func(j *controlpb.Job) {
		j.Failures = append(j.Failures, &controlpb.TaskFailure{Worker: worker, Code: "task_failed"})
	}
}

func units(workers []Worker, jobs ...*controlpb.Job) *Snapshot {
	return &Snapshot{Now: start, Workers: workers, Jobs: jobs, Customers: map[string]*controlpb.Customer{
		"a": {Name: "a", Weight: 1, GuaranteedAccelerators: 8},
		"b": {Name: "b", Weight: 1},
	}}
}

func labelled(workers []Worker, labels ...string) []Worker {
	for i, label := range labels {
		workers[i].Labels = []string{label}
	}
	return workers
}

func TestWhereUnitsMayRun(t *testing.T) {
	two, racks := func() []Worker { return testWorkers(1, 1, 2, 8) }, func() []Worker { return testWorkers(1, 2, 1, 8) }
	runCases(t, []passCase{
		{name: "only workers with the label", snapshot: units(labelled(two(), "x", "y"), unitJob("j", "a", 1, 1, needing("y"))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "no worker has the label", snapshot: units(two(), unitJob("j", "a", 1, 1, needing("z"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "not where it failed by itself", snapshot: units(two(), unitJob("j", "a", 1, 8, failedAt("d0-r0-w0"))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "spread over the workers", snapshot: units(two(), unitJob("j", "a", 2, 1, spreadBy(1))),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "in the rack of its data", snapshot: units(racks(), unitJob("j", "a", 1, 1, dataIn("r1"))),
			want: map[string]string{"j": "d0-r1-w0"}},
		{name: "waits for the rack of its data", snapshot: units(racks(),
			unitJob("j", "a", 1, 8, dataIn("r1")), unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "runs elsewhere once waiting costs as much", snapshot: units(racks(),
			unitJob("j", "a", 1, 8, dataIn("r1"), waited(20*time.Second)), unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "a coupled gang waits for one rack", snapshot: units(testWorkers(1, 2, 2, 8),
			unitJob("j", "a", 2, 8, coupled),
			unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r0-w0")), unitJob("l", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "one that fits no rack does not wait for one", snapshot: units(racks(), unitJob("j", "a", 2, 8, coupled)),
			want: map[string]string{"j": "d0-r0-w0 d0-r1-w0"}},
	})
}

func TestOrderOfUnits(t *testing.T) {
	one := func() []Worker { return testWorkers(1, 1, 1, 8) }
	runCases(t, []passCase{
		{name: "the nearer objective first", snapshot: units(one(), unitJob("i", "a", 1, 8), unitJob("j", "a", 1, 8, dueIn(15*time.Second))),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
		{name: "one that misses it anyway goes after", snapshot: units(one(), unitJob("i", "a", 1, 8, dueIn(5*time.Second)), unitJob("j", "a", 1, 8)),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
		{name: "priority before objective", snapshot: units(one(), unitJob("i", "a", 1, 8, ofPriority(2), dueIn(12*time.Second)), unitJob("j", "a", 1, 8)),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
	})
}

func TestTakingBackForUnits(t *testing.T) {
	one, two := func() []Worker { return testWorkers(1, 1, 1, 8) }, func() []Worker { return testWorkers(1, 1, 2, 8) }
	busy := []*controlpb.Job{unitJob("k", "b", 1, 8, running(time.Second, 0, "d0-r0-w2")), unitJob("l", "b", 1, 8, running(time.Second, 0, "d0-r0-w3"))}
	warm := units(testWorkers(1, 1, 4, 8), append(busy, unitJob("i", "b", 1, 8), unitJob("j", "b", 1, 8))...)
	warm.Warm = map[string]bool{"d0-r0-w0": true}
	idle := units(two(), unitJob("i", "b", 1, 8), unitJob("j", "b", 1, 8))
	idle.Warm = map[string]bool{"d0-r0-w0": true}
	coresOnly := units(testWorkers(1, 1, 2, 0), unitJob("i", "b", 1, 0), unitJob("j", "b", 1, 0))
	coresOnly.Warm = map[string]bool{"d0-r0-w0": true, "d0-r0-w1": true}
	forUrgent := units(one(), unitJob("i", "b", 1, 8, first, dueIn(4*time.Second)))
	forUrgent.Warm = map[string]bool{"d0-r0-w0": true}
	runCases(t, []passCase{
		{name: "urgent work stops other work", snapshot: units(one(),
			unitJob("i", "b", 1, 8, first, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "not when it is late anyway", snapshot: units(one(),
			unitJob("i", "b", 1, 8, first, dueIn(time.Second)), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "not when that throws more away than it lets begin", snapshot: units(one(),
			unitJob("i", "b", 1, 8, first, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "work with a checkpoint throws little away", snapshot: units(one(),
			unitJob("i", "b", 1, 8, first, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, checkpointable, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "guaranteed work stops anything in the end", snapshot: units(one(),
			unitJob("i", "a", 1, 8, first, waited(time.Second), dueIn(time.Second)), unitJob("j", "b", 1, 8, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "guaranteed work stops urgent work beyond a guarantee", snapshot: units(one(),
			unitJob("i", "a", 1, 8, first, waited(time.Second)), unitJob("j", "b", 1, 8, first, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "beyond its guarantee a customer's urgent work waits", snapshot: units(one(),
			unitJob("i", "a", 2, 8, first, waited(time.Second)), unitJob("j", "b", 1, 8, first, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "never_fits"}},
		{name: "warm room is not for patient work", snapshot: warm,
			want: map[string]string{"i": "d0-r0-w1", "j": "no_free_capacity"}},
		{name: "nor kept in an idle system without accelerators", snapshot: coresOnly,
			want: map[string]string{"i": "d0-r0-w0", "j": "d0-r0-w0"}},
		{name: "but where much room is free", snapshot: idle,
			want: map[string]string{"i": "d0-r0-w0", "j": "d0-r0-w1"}},
		{name: "warm room is for urgent work", snapshot: forUrgent,
			want: map[string]string{"i": "d0-r0-w0"}},
	})
}

// Gangs wait for a whole worker each, and every worker is busy. Room kept for one of them
// stands empty while it gathers, and the next short work that comes finds none: no room
// is kept for any, and what frees goes to whoever fits.
func TestNoUnitHasRoomKeptForIt(t *testing.T) {
	wide := func(id string) *controlpb.Job {
		return unitJob(id, "b", 2, 8, waited(5*time.Second), dueIn(30*time.Second))
	}
	var jobs []*controlpb.Job
	for n, id := range []string{"k", "l", "m", "n", "p", "q", "r", "s"} {
		jobs = append(jobs, unitJob(id, "b", 1, 8, running(time.Second, 0, fmt.Sprint("d0-r0-w", n))))
	}
	full := units(testWorkers(1, 1, 8, 8), append(jobs, wide("i"), wide("j"), unitJob("o", "b", 1, 1))...)
	oneFree := units(testWorkers(1, 1, 9, 8), append(jobs, wide("i"), wide("j"), unitJob("o", "b", 1, 1))...)
	runCases(t, []passCase{
		{name: "every worker is busy", snapshot: full,
			want: map[string]string{"i": "no_free_capacity", "j": "no_free_capacity", "o": "no_free_capacity"}},
		{name: "one worker is free", snapshot: oneFree,
			want: map[string]string{"i": "no_free_capacity", "j": "no_free_capacity", "o": "d0-r0-w8"}},
	})
}
