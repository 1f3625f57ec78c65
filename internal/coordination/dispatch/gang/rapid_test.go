package gang_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// TestMain gives rapid one seed, so that a run says the same as the last one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// Two runs on one accelerator, a gang run in part, or work done twice, in any order of events.
func TestGangsUnderAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(0.99, 1.01)
		m := newModel(func() clock { return clock(drift.Draw(t, "clock")) }, 3)
		if rapid.Bool().Draw(t, "another instance") {
			m.other = &entry{clock: clock(drift.Draw(t, "clock")), state: m.state}
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			m.submit(&controlpb.Job{
				Id: fmt.Sprint("j", i), Accelerators: 1,
				Tasks:          uint32(rapid.IntRange(1, 4).Draw(t, "tasks")),
				RunTimeMs:      int64(rapid.IntRange(1000, 120000).Draw(t, "run time")),
				Idempotent:     rapid.Bool().Draw(t, "idempotent"),
				Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
			})
		}
		m.round()
		m.round()
		t.Repeat(m.actions(t))
		m.calm(t)
	})
}

func (m *model) actions(t *rapid.T) map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int {
		if n == 0 {
			t.Skip("nothing there")
		}
		return rapid.IntRange(0, n-1).Draw(t, "which")
	}
	anyWorker := func(t *rapid.T) *workerModel { return m.workers[pick(t, len(m.workers))] }
	anyJob := func(t *rapid.T) *controlpb.Job {
		jobs := m.state.ActiveJobs()
		return jobs[pick(t, len(jobs))]
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { m.checkAll(t) },
		"rounds": func(t *rapid.T) {
			for range rapid.IntRange(2, 12).Draw(t, "rounds") {
				m.round()
				m.checkAll(t)
			}
		},
		"cut worker":  func(t *rapid.T) { w := anyWorker(t); w.cut = !w.cut },
		"hold worker": func(t *rapid.T) { w := anyWorker(t); w.held = !w.held },
		"cut entry":   func(*rapid.T) { m.entry.cut = !m.entry.cut },
		"cut other": func(t *rapid.T) {
			if m.other == nil {
				t.Skip("nothing there")
			}
			m.other.cut = !m.other.cut
		},
		"heal": func(*rapid.T) { m.heal() },
		"time passes": func(t *rapid.T) {
			m.real += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
		},
		"round":           func(*rapid.T) { m.round() },
		"schedule":        func(*rapid.T) { m.schedule() },
		"step":            func(t *rapid.T) { m.step(m.leader, rapid.IntRange(0, 4).Draw(t, "commit") > 0) },
		"follow":          func(*rapid.T) { m.follow() },
		"hear":            func(t *rapid.T) { m.hear(pick(t, len(m.notices))) },
		"take reply":      func(t *rapid.T) { m.takeReply(pick(t, len(m.replies))) },
		"command arrives": func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), true, true) },
		"command is lost": func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), false, false) },
		"answer is lost":  func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), true, false) },
		"new leader":      func(t *rapid.T) { m.newLeader(m.leader.clock) },
		"standby leads":   func(*rapid.T) { m.alternate() },
		"standby follows": func(*rapid.T) { m.followLog() },
		"worker dies": func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "rarely") == 0 {
				anyWorker(t).up = false
			}
		},
		"worker restarts": func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "rarely") == 0 {
				m.restart(pick(t, len(m.workers)))
			}
		},
		"worker announces": func(t *rapid.T) { m.announceIfUp(anyWorker(t)) },
		"deposed steps": func(t *rapid.T) {
			if !m.deposedLeads() {
				t.Skip("knows it")
			}
			m.step(m.deposed, false)
		},
		"preempt": func(t *rapid.T) {
			job := anyJob(t)
			m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{
				Preemptions: []*controlpb.Preemption{{Job: job.Id, Epoch: job.Epoch}},
			}}})
		},
		"cancel": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				t.Skip("rarely")
			}
			m.apply(&controlpb.Command{Op: &controlpb.Command_Cancel{Cancel: &controlpb.CancelJob{Id: anyJob(t).Id}}})
		},
	}
}

func (m *model) announceIfUp(w *workerModel) {
	if w.up {
		m.announce(w)
	}
}

func holds(job *controlpb.Job, task uint32) bool {
	return len(store.PlacementOf(job, task).GetAccelerators()) > 0
}

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkRun looks at a worker's run against the control state.
func (m *model) checkRun(t failer, w *workerModel, report api.TaskReport) {
	job, _ := m.state.Job(report.Job)
	switch report.Phase {
	case api.PhaseReserved, api.PhaseRunning:
		if job.Epoch != report.Epoch || !holds(job, report.Task) {
			t.Fatalf("%s runs %v on accelerators that the state has given back (job %v)", w.id, report, job)
		}
	case api.PhaseCompleted:
		m.checkCompletion(t, w, job, report)
	}
	if report.Phase != api.PhaseRunning {
		return
	}
	for _, placement := range job.Placements {
		if !m.reserved[api.TaskRef{Job: job.Id, Task: placement.Task, Epoch: report.Epoch}] {
			t.Fatalf("task %d of %s runs, task %d was never reserved", report.Task, job.Id, placement.Task)
		}
	}
}

func (m *model) checkCompletion(t failer, w *workerModel, job *controlpb.Job, report api.TaskReport) {
	key := taskName{report.Job, report.Task}
	if m.completions[key] == nil {
		m.completions[key] = map[completion]bool{}
	}
	m.completions[key][completion{report.Epoch, w.incarnation}] = true
	if !job.Idempotent && len(m.completions[key]) > 1 {
		t.Fatalf("%v was done in %v and is not idempotent", key, m.completions[key])
	}
}

// calm brings every worker back and lets all messages through: each job must
// end within the bound, and a job that ran must have been done.
func (m *model) calm(t *rapid.T) {
	m.heal()
	const bound = 20 * time.Minute
	for end := m.real + bound; m.real < end && len(m.state.ActiveJobs()) > 0; {
		m.round()
		m.checkAll(t)
	}
	for _, job := range m.state.ActiveJobs() {
		t.Fatalf("never ended: %v", job)
	}
	for _, job := range m.state.Jobs() {
		if job.State == controlpb.JobState_JOB_STATE_COMPLETED {
			m.checkDone(t, job)
		}
	}
}

func (m *model) checkDone(t *rapid.T, job *controlpb.Job) {
	for task := range job.Tasks {
		ended := false
		for run := range m.completions[taskName{job.Id, task}] {
			ended = ended || run.epoch == job.Epoch
		}
		if !ended {
			t.Fatalf("%s counts as completed, task %d never ended well", job.Id, task)
		}
	}
}
