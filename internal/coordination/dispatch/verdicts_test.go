package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var evaluatedAt = time.Unix(1_000_000, 0)

// stalledWorkers returns workers on which work has stalled one minute ago, so that each is
// due for a probe, and a state with the given number of jobs of one task each: job i runs
// on worker i for the first half of the workers, the other jobs wait.
func stalledWorkers(workers, jobs int) (*Controller, *store.State, []*peerpb.Upstream) {
	snapshot := &controlpb.Snapshot{}
	var live []*peerpb.Upstream
	for i := range workers {
		id := fmt.Sprint("w", i)
		live = append(live, &peerpb.Upstream{Id: id})
		failed := &controlpb.WorkerFailure{Job: "x", Code: string(failure.Stalled), TimeMs: evaluatedAt.Add(-time.Minute).UnixMilli()}
		snapshot.Health = append(snapshot.Health, &controlpb.WorkerHealth{Worker: id, Consecutive: 1, Failures: []*controlpb.WorkerFailure{failed}})
	}
	for i := range jobs {
		job := &controlpb.Job{Id: fmt.Sprint("j", i), Tasks: 1, State: controlpb.JobState_JOB_STATE_WAITING}
		if i < workers/2 {
			job.State = controlpb.JobState_JOB_STATE_RUNNING
			job.Placements = []*controlpb.Placement{{Worker: live[i].Id}}
		}
		snapshot.Jobs = append(snapshot.Jobs, job)
	}
	now := func() time.Time { return evaluatedAt }
	config := Config{Now: now, Quarantine: quarantine.Config{CoolDown: time.Second, Probe: 30 * time.Second}}
	return NewController(nil, New(config, nil, nil), nil, now), store.Restore(snapshot), live
}

// A worker on which work has stalled is probed with one job. While it holds that job it
// gets no other, as a second one would probably stall too.
func TestWorkerIsProbedWithOneJobAtATime(t *testing.T) {
	controller, state, live := stalledWorkers(4, 4)
	workers, probing := controller.evaluateWorkers(state, live)
	for i, worker := range workers {
		held := i < 2
		if worker.Unavailable != held || probing[worker.ID] == held {
			t.Errorf("%s holds a task: %v; unavailable %v, probed %v", worker.ID, held, worker.Unavailable, probing[worker.ID])
		}
	}
}

// Workers are excluded because of their failures, and no metric shows how many.
func TestWorkersAreCountedByVerdict(t *testing.T) {
	is := is.New(t)
	controller, state, live := stalledWorkers(4, 4)
	controller.evaluateWorkers(state, live)
	is.Equal(workerVerdicts.Get("probing").String(), "2")
	is.Equal(workerVerdicts.Get("quarantined").String(), "2")
	controller.evaluateWorkers(state, live[:1])
	is.Equal(workerVerdicts.Get("probing").String(), "0")
}

// BenchmarkEvaluateWorkers measures the evaluation of 350 workers that are all due for a
// probe, as after a network partition, with 2,800 open jobs.
func BenchmarkEvaluateWorkers(b *testing.B) {
	controller, state, live := stalledWorkers(350, 2800)
	for b.Loop() {
		controller.evaluateWorkers(state, live)
	}
}

// A quarantined worker of an evacuated data centre must not be probed.
func TestWorkersOfAnEvacuatedDataCentreAreUnavailable(t *testing.T) {
	is := is.New(t)
	controller, state, live := stalledWorkers(4, 0)
	live = append(live, &peerpb.Upstream{Id: "healthy", DataCentre: "east"}, &peerpb.Upstream{Id: "other", DataCentre: "west"})
	live[0].DataCentre = "east"
	state, _ = state.Apply(1, &controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{DataCentre: "east", Evacuate: true}}})
	workers, _ := controller.evaluateWorkers(state, live)
	for _, worker := range workers {
		is.Equal(worker.Unavailable, worker.DataCentre == "east")
		is.Equal(worker.Evacuated, worker.DataCentre == "east")
	}
}

// The leader must count each task that completes on a worker, once: the log shows only the
// first success after a failure.
func TestCompletionsCountAsSuccesses(t *testing.T) {
	is := is.New(t)
	state := store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{{
		Id: "j", Tasks: 3, Epoch: 2, State: controlpb.JobState_JOB_STATE_RUNNING, DoneTasks: []uint32{1},
		Placements: []*controlpb.Placement{{Task: 0, Worker: "w0"}, {Task: 1, Worker: "w1"}, {Task: 2, Worker: "w2"}},
	}}})
	is.Equal(completedOn(state, &controlpb.BatchMove{Finished: []*controlpb.FinishedTask{
		{Job: "j", Epoch: 2, Task: 0}, {Job: "j", Epoch: 2, Task: 1}, {Job: "j", Epoch: 1, Task: 2}, {Job: "gone", Epoch: 1},
	}}), []string{"w0"})
}

// A workflow that can never be done puts all workers into quarantine, and sound work waits.
func TestOneBadWorkflowKeepsWorkersInUse(t *testing.T) {
	is := is.New(t)
	snapshot := &controlpb.Snapshot{}
	var live []*peerpb.Upstream
	for i := range 6 {
		id := fmt.Sprint("w", i)
		live = append(live, &peerpb.Upstream{Id: id, Services: []string{"s"}})
		health := &controlpb.WorkerHealth{Worker: id, Consecutive: 4}
		for task := range 4 {
			job := fmt.Sprintf("bad.0.0.%d", task)
			health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: job, Code: string(failure.TaskFailed), TimeMs: evaluatedAt.Add(-time.Second).UnixMilli()})
			if i == 0 {
				snapshot.Jobs = append(snapshot.Jobs, &controlpb.Job{Id: job, Workflow: "bad", Tasks: 1, State: controlpb.JobState_JOB_STATE_WAITING})
			}
		}
		snapshot.Health = append(snapshot.Health, health)
	}
	now := evaluatedAt
	config := Config{Now: func() time.Time { return now }, Quarantine: quarantine.Config{CoolDown: time.Second, Probe: 15 * time.Second}}
	controller := NewController(nil, New(config, nil, nil), nil, config.Now)
	available := func() (count int) {
		workers, _ := controller.evaluateWorkers(store.Restore(snapshot), live)
		for _, worker := range workers {
			if !worker.Unavailable {
				count++
			}
		}
		return count
	}
	is.Equal(available(), 3) // half stays in use
	now = now.Add(15 * time.Second)
	is.Equal(available(), 6) // one workflow is one witness: nobody is quarantined
}
