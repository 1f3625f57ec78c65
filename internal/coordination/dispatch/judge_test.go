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

var judged = time.Unix(1_000_000, 0)

// stalled are workers on which work stood still a while ago, so that each may be probed,
// and a state with that many jobs, one task each: job i runs on worker i, the others wait.
func stalled(workers, jobs int) (*Controller, *store.State, []*peerpb.Upstream) {
	snapshot := &controlpb.Snapshot{}
	var live []*peerpb.Upstream
	for i := range workers {
		id := fmt.Sprint("w", i)
		live = append(live, &peerpb.Upstream{Id: id})
		failed := &controlpb.WorkerFailure{Job: "x", Code: string(failure.Stalled), TimeMs: judged.Add(-time.Minute).UnixMilli()}
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
	now := func() time.Time { return judged }
	config := Config{Now: now, Quarantine: quarantine.Config{CoolDown: time.Second, Probe: 30 * time.Second}}
	return NewController(nil, New(config, nil, nil), nil, now), store.Restore(snapshot), live
}

// A worker on which work stood still may be tried with one job. While that job is on it,
// it gets no other: a second one would hang beside the first.
func TestAWorkerIsProbedWithOneJobAtATime(t *testing.T) {
	controller, state, live := stalled(4, 4)
	workers, probing := controller.judge(state, live)
	for i, worker := range workers {
		held := i < 2
		if worker.Unavailable != held || probing[worker.ID] == held {
			t.Errorf("%s holds a task: %v; unavailable %v, probed %v", worker.ID, held, worker.Unavailable, probing[worker.ID])
		}
	}
}

// Workers get no work for their failures, and no figure says how many.
func TestWorkersWithoutWorkAreCounted(t *testing.T) {
	is := is.New(t)
	controller, state, live := stalled(4, 4)
	controller.judge(state, live)
	is.Equal(workersJudged.Get("probing").String(), "2")
	is.Equal(workersJudged.Get("quarantined").String(), "2")
	controller.judge(state, live[:1])
	is.Equal(workersJudged.Get("probing").String(), "0")
}

// BenchmarkJudge reports the look at 350 workers that may all be probed, as after a cut of
// the network, with 2,800 open jobs.
func BenchmarkJudge(b *testing.B) {
	controller, state, live := stalled(350, 2800)
	for b.Loop() {
		controller.judge(state, live)
	}
}
