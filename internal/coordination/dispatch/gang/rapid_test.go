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

// TestMain sets a fixed seed for rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// In any order of events, no accelerator runs two tasks, no gang runs in part, and work
// that is not idempotent is not done twice.
func TestGangsUnderAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(0.99, 1.01)
		m := newModel(func() clock { return clock(drift.Draw(t, "clock")) }, 3)
		if rapid.Bool().Draw(t, "another instance") {
			m.otherInstance = &followerInstance{clock: clock(drift.Draw(t, "clock")), state: m.state}
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
		m.quiesce(t)
	})
}

func (m *model) actions(t *rapid.T) map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int {
		if n == 0 {
			t.Skip("nothing to pick")
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
		"cut worker":  func(t *rapid.T) { w := anyWorker(t); w.partitioned = !w.partitioned },
		"hold worker": func(t *rapid.T) { w := anyWorker(t); w.delayed = !w.delayed },
		"cut entry":   func(*rapid.T) { m.instance.partitioned = !m.instance.partitioned },
		"cut other": func(t *rapid.T) {
			if m.otherInstance == nil {
				t.Skip("nothing to pick")
			}
			m.otherInstance.partitioned = !m.otherInstance.partitioned
		},
		"heal": func(*rapid.T) { m.heal() },
		"time passes": func(t *rapid.T) {
			m.elapsed += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
		},
		"round":           func(*rapid.T) { m.round() },
		"schedule":        func(*rapid.T) { m.schedule() },
		"step":            func(t *rapid.T) { m.step(m.leader, rapid.IntRange(0, 4).Draw(t, "commit") > 0) },
		"follow":          func(*rapid.T) { m.follow() },
		"hear":            func(t *rapid.T) { m.receiveAnnouncement(pick(t, len(m.announcements))) },
		"take reply":      func(t *rapid.T) { m.receiveReply(pick(t, len(m.replies))) },
		"command arrives": func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), true, true) },
		"command is lost": func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), false, false) },
		"answer is lost":  func(t *rapid.T) { m.deliver(pick(t, len(m.commands)), true, false) },
		"new leader":      func(t *rapid.T) { m.replaceLeader(m.leader.clock) },
		"standby leads":   func(*rapid.T) { m.promoteStandby() },
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
			if !m.deposedStillLeads() {
				t.Skip("no deposed leader that still leads")
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

func holdsAccelerators(job *controlpb.Job, task uint32) bool {
	return len(store.PlacementOf(job, task).GetAccelerators()) > 0
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkRun checks a run that a worker reports against the control state.
func (m *model) checkRun(t fataler, w *workerModel, report api.TaskReport) {
	job, _ := m.state.Job(report.Job)
	switch report.Phase {
	case api.PhaseReserved, api.PhaseRunning:
		if job.Epoch != report.Epoch || !holdsAccelerators(job, report.Task) {
			t.Fatalf("%s runs %v on accelerators that the control state has released (job %v)", w.id, report, job)
		}
	case api.PhaseCompleted:
		m.checkCompletion(t, w, job, report)
	}
	if report.Phase != api.PhaseRunning {
		return
	}
	for _, placement := range job.Placements {
		if !m.reserved[api.TaskRef{Job: job.Id, Task: placement.Task, Epoch: report.Epoch}] {
			t.Fatalf("task %d of %s runs although task %d was never reserved", report.Task, job.Id, placement.Task)
		}
	}
}

func (m *model) checkCompletion(t fataler, w *workerModel, job *controlpb.Job, report api.TaskReport) {
	key := taskName{report.Job, report.Task}
	if m.completions[key] == nil {
		m.completions[key] = map[completion]bool{}
	}
	m.completions[key][completion{report.Epoch, w.incarnation}] = true
	if !job.Idempotent && len(m.completions[key]) > 1 {
		t.Fatalf("%v is not idempotent but completed in several runs: %v", key, m.completions[key])
	}
}

// quiesce ends all faults and delivers all messages. Each job must end within the limit,
// and every task of a completed job must have completed in its last epoch.
func (m *model) quiesce(t *rapid.T) {
	m.heal()
	const limit = 20 * time.Minute
	for end := m.elapsed + limit; m.elapsed < end && len(m.state.ActiveJobs()) > 0; {
		m.round()
		m.checkAll(t)
	}
	for _, job := range m.state.ActiveJobs() {
		t.Fatalf("job did not end after all faults were over: %v", job)
	}
	for _, job := range m.state.Jobs() {
		if job.State == controlpb.JobState_JOB_STATE_COMPLETED {
			m.checkCompleted(t, job)
		}
	}
}

func (m *model) checkCompleted(t *rapid.T, job *controlpb.Job) {
	for task := range job.Tasks {
		ended := false
		for run := range m.completions[taskName{job.Id, task}] {
			ended = ended || run.epoch == job.Epoch
		}
		if !ended {
			t.Fatalf("job %s is completed, but its task %d never completed", job.Id, task)
		}
	}
}
