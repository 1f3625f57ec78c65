package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// unitJob is a unit of a workflow that runs for 10 s and may be stopped and run again.
func unitJob(id, customer string, tasks, accelerators uint32, options ...jobOption) *controlpb.Job {
	job := waitingJob(id, customer, tasks, accelerators, adjacency(anywhere), idempotent)
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

func topPriority(j *controlpb.Job) { j.Urgent, j.Priority, j.RunTimeMs = true, 0, 2_000 }

func waited(d time.Duration) jobOption {
	return func(j *controlpb.Job) { j.SubmittedMs = start.Add(-d).UnixMilli() }
}

func dueIn(d time.Duration) jobOption {
	return func(j *controlpb.Job) { j.DeadlineMs = start.Add(d).UnixMilli() }
}

// lostWith is a job that has lost a run with the worker.
func lostWith(worker string) jobOption {
	return func(j *controlpb.Job) {
		j.Failures = append(j.Failures, &controlpb.TaskFailure{Worker: worker, Code: "worker_vanished"})
	}
}

func requiring(label string) jobOption { return func(j *controlpb.Job) { j.Requirement = label } }

func dataIn(rack string) jobOption { return func(j *controlpb.Job) { j.DataRack = rack } }

func coupled(j *controlpb.Job) { j.TightlyCoupled = true }

func spreadLimit(n uint32) jobOption { return func(j *controlpb.Job) { j.SpreadLimit = n } }

func withPriority(n uint32) jobOption { return func(j *controlpb.Job) { j.Priority = n } }

func failedOn(worker string) jobOption {
	return func(j *controlpb.Job) {
		j.Failures = append(j.Failures, &controlpb.TaskFailure{Worker: worker, Code: "task_failed"})
	}
}

func unitsSnapshot(workers []Worker, jobs ...*controlpb.Job) *Snapshot {
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
		{name: "only workers with the label", snapshot: unitsSnapshot(labelled(two(), "x", "y"), unitJob("j", "a", 1, 1, requiring("y"))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "no worker has the label", snapshot: unitsSnapshot(two(), unitJob("j", "a", 1, 1, requiring("z"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "not where it failed for a reason of its own", snapshot: unitsSnapshot(two(), unitJob("j", "a", 1, 8, failedOn("d0-r0-w0"))),
			want: map[string]string{"j": "d0-r0-w1"}},
		{name: "spread over the workers", snapshot: unitsSnapshot(two(), unitJob("j", "a", 2, 1, spreadLimit(1))),
			want: map[string]string{"j": "d0-r0-w0 d0-r0-w1"}},
		{name: "in the rack of its data", snapshot: unitsSnapshot(racks(), unitJob("j", "a", 1, 1, dataIn("r1"))),
			want: map[string]string{"j": "d0-r1-w0"}},
		{name: "waits for the rack of its data", snapshot: unitsSnapshot(racks(),
			unitJob("j", "a", 1, 8, dataIn("r1")), unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "runs elsewhere once waiting has cost as much", snapshot: unitsSnapshot(racks(),
			unitJob("j", "a", 1, 8, dataIn("r1"), waited(20*time.Second)), unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "a coupled gang waits for one rack", snapshot: unitsSnapshot(testWorkers(1, 2, 2, 8),
			unitJob("j", "a", 2, 8, coupled),
			unitJob("k", "a", 1, 8, running(time.Second, 0, "d0-r0-w0")), unitJob("l", "a", 1, 8, running(time.Second, 0, "d0-r1-w0"))),
			want: map[string]string{"j": "no_free_capacity"}},
		{name: "a coupled gang that fits no rack does not wait for one", snapshot: unitsSnapshot(racks(), unitJob("j", "a", 2, 8, coupled)),
			want: map[string]string{"j": "d0-r0-w0 d0-r1-w0"}},
	})
}

func TestOrderOfUnits(t *testing.T) {
	one := func() []Worker { return testWorkers(1, 1, 1, 8) }
	runCases(t, []passCase{
		{name: "the nearer objective first", snapshot: unitsSnapshot(one(), unitJob("i", "a", 1, 8), unitJob("j", "a", 1, 8, dueIn(15*time.Second))),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
		{name: "a unit that misses its objective in any case goes last", snapshot: unitsSnapshot(one(), unitJob("i", "a", 1, 8, dueIn(5*time.Second)), unitJob("j", "a", 1, 8)),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
		{name: "priority before objective", snapshot: unitsSnapshot(one(), unitJob("i", "a", 1, 8, withPriority(2), dueIn(12*time.Second)), unitJob("j", "a", 1, 8)),
			want: map[string]string{"i": "no_free_capacity", "j": "d0-r0-w0"}},
	})
}

func TestPreemptionForUnits(t *testing.T) {
	one, two := func() []Worker { return testWorkers(1, 1, 1, 8) }, func() []Worker { return testWorkers(1, 1, 2, 8) }
	busy := []*controlpb.Job{unitJob("k", "b", 1, 8, running(time.Second, 0, "d0-r0-w2")), unitJob("l", "b", 1, 8, running(time.Second, 0, "d0-r0-w3"))}
	warm := unitsSnapshot(testWorkers(1, 1, 4, 8), append(busy, unitJob("i", "b", 1, 8), unitJob("j", "b", 1, 8))...)
	warm.Warm = map[string]bool{"d0-r0-w0": true}
	idle := unitsSnapshot(two(), unitJob("i", "b", 1, 8), unitJob("j", "b", 1, 8))
	idle.Warm = map[string]bool{"d0-r0-w0": true}
	coresOnly := unitsSnapshot(testWorkers(1, 1, 2, 0), unitJob("i", "b", 1, 0), unitJob("j", "b", 1, 0))
	coresOnly.Warm = map[string]bool{"d0-r0-w0": true, "d0-r0-w1": true}
	forUrgent := unitsSnapshot(one(), unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)))
	forUrgent.Warm = map[string]bool{"d0-r0-w0": true}
	runCases(t, []passCase{
		{name: "urgent work preempts other work", snapshot: unitsSnapshot(one(),
			unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "not when it misses its objective in any case", snapshot: unitsSnapshot(one(),
			unitJob("i", "b", 1, 8, topPriority, dueIn(time.Second)), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "not when that discards more work than it lets start", snapshot: unitsSnapshot(one(),
			unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "preempting work with a checkpoint discards little", snapshot: unitsSnapshot(one(),
			unitJob("i", "b", 1, 8, topPriority, dueIn(4*time.Second)), unitJob("j", "b", 1, 8, checkpointable, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "guaranteed work preempts whatever the loss after a wait", snapshot: unitsSnapshot(one(),
			unitJob("i", "a", 1, 8, topPriority, waited(time.Second), dueIn(time.Second)), unitJob("j", "b", 1, 8, running(9*time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "guaranteed work preempts urgent work beyond a guarantee", snapshot: unitsSnapshot(one(),
			unitJob("i", "a", 1, 8, topPriority, waited(time.Second)), unitJob("j", "b", 1, 8, topPriority, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "beyond its guarantee a customer's urgent work waits", snapshot: unitsSnapshot(one(),
			unitJob("i", "a", 2, 8, topPriority, waited(time.Second)), unitJob("j", "b", 1, 8, topPriority, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "never_fits"}},
		{name: "warm capacity is not for normal work", snapshot: warm,
			want: map[string]string{"i": "d0-r0-w1", "j": "no_free_capacity"}},
		{name: "no warm capacity is kept in an idle system without accelerators", snapshot: coresOnly,
			want: map[string]string{"i": "d0-r0-w0", "j": "d0-r0-w0"}},
		{name: "no warm capacity is kept while much is free", snapshot: idle,
			want: map[string]string{"i": "d0-r0-w0", "j": "d0-r0-w1"}},
		{name: "warm capacity is for urgent work", snapshot: forUrgent,
			want: map[string]string{"i": "d0-r0-w0"}},
	})
}

// Guards against reservations for units of workflows. Gangs wait for whole workers
// while every worker is busy. Capacity reserved for one of them would idle until all of
// it is released, and short work that arrives meanwhile would find none. So nothing is
// reserved, and whatever is released goes to the first job that fits.
func TestUnitsGetNoReservations(t *testing.T) {
	wide := func(id string) *controlpb.Job {
		return unitJob(id, "b", 2, 8, waited(5*time.Second), dueIn(30*time.Second))
	}
	var jobs []*controlpb.Job
	for n, id := range []string{"k", "l", "m", "n", "p", "q", "r", "s"} {
		jobs = append(jobs, unitJob(id, "b", 1, 8, running(time.Second, 0, fmt.Sprint("d0-r0-w", n))))
	}
	full := unitsSnapshot(testWorkers(1, 1, 8, 8), append(jobs, wide("i"), wide("j"), unitJob("o", "b", 1, 1))...)
	oneFree := unitsSnapshot(testWorkers(1, 1, 9, 8), append(jobs, wide("i"), wide("j"), unitJob("o", "b", 1, 1))...)
	runCases(t, []passCase{
		{name: "every worker is busy", snapshot: full,
			want: map[string]string{"i": "no_free_capacity", "j": "no_free_capacity", "o": "no_free_capacity"}},
		{name: "one worker is free", snapshot: oneFree,
			want: map[string]string{"i": "no_free_capacity", "j": "no_free_capacity", "o": "d0-r0-w8"}},
	})
}

// Guards against urgent work of a customer inside its guarantee that waits because work which crashed
// workers have thrown back counts towards the guarantee, while that itself waits or runs elsewhere.
func TestWorkThatLostItsWorkersLeavesTheGuaranteeToNewWork(t *testing.T) {
	workers := func() []Worker { return testWorkers(1, 1, 2, 8) }
	thrownBack := func(options ...jobOption) *controlpb.Job {
		return unitJob("h", "a", 1, 8, append(options, topPriority, waited(20*time.Second), lostWith("gone"))...)
	}
	fresh := unitJob("i", "a", 1, 8, topPriority, waited(time.Second), dueIn(-time.Second))
	other := func(id, worker string) *controlpb.Job {
		return unitJob(id, "b", 1, 8, topPriority, running(time.Second, 0, worker))
	}
	runCases(t, []passCase{
		{name: "while it waits", snapshot: unitsSnapshot(workers(), thrownBack(), fresh, other("j", "d0-r0-w0"), other("k", "d0-r0-w1")),
			want: map[string]string{"h": "no_free_capacity", "i": "taking_back", "j": "stop"}},
		{name: "also by the place of what runs on again", snapshot: unitsSnapshot(workers(), thrownBack(running(time.Second, 0, "d0-r0-w0")), fresh, other("k", "d0-r0-w1")),
			want: map[string]string{"i": "taking_back", "h": "stop"}},
		{name: "and has it where there is no other", snapshot: unitsSnapshot(workers(), thrownBack(), other("j", "d0-r0-w0"), other("k", "d0-r0-w1")),
			want: map[string]string{"h": "taking_back", "j": "stop"}},
	})
}

// Guards against urgent work inside its customer's guarantee that waits while workers are kept for jobs
// that are suspected of crashing workers, however long they are.
func TestGuaranteedWorkPassesIsolation(t *testing.T) {
	kept := func(onlyFor ...string) []Worker {
		workers := testWorkers(1, 1, len(onlyFor), 8)
		for i := range workers {
			workers[i].OnlyFor = onlyFor[i]
		}
		return workers
	}
	covered := func(options ...jobOption) *controlpb.Job {
		return unitJob("i", "a", 1, 8, append(options, topPriority, dueIn(-time.Second))...)
	}
	long := waited(UnlimitedLossAfter)
	suspect := unitJob("s", "b", 1, 1)
	restricted := unitsSnapshot(kept("s"), covered(long), suspect)
	restricted.Restricted = map[string]bool{"s": true}
	runCases(t, []passCase{
		{name: "an empty worker, which the suspect then does not join", snapshot: restricted,
			want: map[string]string{"i": "d0-r0-w0", "s": "no_free_capacity"}},
		{name: "a worker that is being emptied", snapshot: unitsSnapshot(kept(NoJob), covered(long), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "a worker on which the suspect runs", snapshot: unitsSnapshot(kept("s"), covered(long), unitJob("s", "b", 1, 8, running(time.Second, 0, "d0-r0-w0"))),
			want: map[string]string{"i": "taking_back", "s": "stop"}},
		{name: "but another one first", snapshot: unitsSnapshot(kept("s", ""), covered(long), unitJob("j", "b", 1, 8, running(time.Second, 0, "d0-r0-w1"))),
			want: map[string]string{"i": "taking_back", "j": "stop"}},
		{name: "not before it has waited", snapshot: unitsSnapshot(kept("s"), covered()),
			want: map[string]string{"i": "no_free_capacity"}},
		{name: "not work outside the guarantee", snapshot: unitsSnapshot(kept("s"), unitJob("i", "b", 1, 8, topPriority, long)),
			want: map[string]string{"i": "no_free_capacity"}},
	})
}

// Guards against new urgent work that is outside its guarantee because of a gang that crashed workers have thrown
// back before it started: its failure has another code than that of a lost run.
func TestWorkThrownBackBeforeItsStartLeavesTheGuaranteeToNewWork(t *testing.T) {
	for _, code := range []string{"unreachable", "start_timeout", "stalled", "outcome_unknown"} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			thrownBack := unitJob("h", "a", 1, 8, topPriority, waited(20*time.Second))
			thrownBack.Failures = []*controlpb.TaskFailure{{Worker: "gone", Code: code}}
			fresh := unitJob("i", "a", 1, 8, topPriority, waited(time.Second), dueIn(-time.Second))
			other := func(id, worker string) *controlpb.Job {
				return unitJob(id, "b", 1, 8, topPriority, running(time.Second, 0, worker))
			}
			plan := Pass(unitsSnapshot(testWorkers(1, 1, 2, 8), thrownBack, fresh, other("j", "d0-r0-w0"), other("k", "d0-r0-w1")))
			is.Equal(outcome(plan)["i"], "taking_back")
		})
	}
}
