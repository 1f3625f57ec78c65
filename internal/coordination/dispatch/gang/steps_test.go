package gang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

const (
	running   = controlpb.JobState_JOB_STATE_RUNNING
	stopping  = controlpb.JobState_JOB_STATE_STOPPING
	completed = controlpb.JobState_JOB_STATE_COMPLETED
	waiting   = controlpb.JobState_JOB_STATE_WAITING
	parked    = controlpb.JobState_JOB_STATE_PARKED
)

// newGangModel returns a model in which one gang of the given size is waiting.
func newGangModel(size int, job *controlpb.Job) *model {
	m := newModel(exactClock, 3)
	job.Id, job.Tasks, job.Accelerators = "j", uint32(size), 1
	m.submit(job)
	return m
}

func (m *model) job() *controlpb.Job {
	job, _ := m.state.Job("j")
	return job
}

func (m *model) preempt() {
	m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{
		Preemptions: []*controlpb.Preemption{{Job: "j", Epoch: m.job().Epoch}},
	}}})
}

func (m *model) until(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		m.round()
		m.checkAll(t)
	}
	t.Fatalf("not reached within 400 rounds: %s; job %v", description, m.job())
}

func (m *model) untilState(t *testing.T, state controlpb.JobState) {
	t.Helper()
	m.until(t, state.String(), func() bool { return m.job().State == state })
}

// liveRuns counts the runs of the job's epoch that hold accelerators on workers.
func (m *model) liveRuns(epoch uint64) int {
	count := 0
	for _, w := range m.workers {
		for _, report := range w.table.Reports(w.clock.at(m.elapsed)) {
			holds := report.Phase == api.PhaseReserved || report.Phase == api.PhaseRunning
			if w.up && holds && report.Epoch == epoch {
				count++
			}
		}
	}
	return count
}

// runLifecycle starts a gang of three, preempts it once it runs, and lets it run again to
// completion. This takes six reserves and starts, three stops, and another six reserves
// and starts. before is called before the nth command is delivered.
func runLifecycle(t *testing.T, before func(m *model, n int, arrives, answered bool) (bool, bool)) *model {
	m := newGangModel(3, &controlpb.Job{RunTimeMs: 20000, Checkpointable: true, Idempotent: true})
	n := 0
	m.onDeliver = func(arrives, answered bool) (bool, bool) {
		n++
		return before(m, n, arrives, answered)
	}
	m.untilState(t, running)
	m.preempt()
	m.untilState(t, completed)
	return m
}

// lifecycleCommands is the number of commands that runLifecycle delivers without faults.
const lifecycleCommands = 15

// A leader that takes over between any two messages continues the gang and must not start
// another run of it.
func TestLeaderLostBetweenAnyTwoMessages(t *testing.T) {
	for lostAt := 1; lostAt <= lifecycleCommands; lostAt++ {
		t.Run(fmt.Sprint("before command ", lostAt), func(t *testing.T) {
			is := is.New(t)
			m := runLifecycle(t, func(m *model, n int, arrives, answered bool) (bool, bool) {
				if n == lostAt {
					m.replaceLeader(exactClock())
				}
				return arrives, answered
			})
			is.Equal(m.job().Epoch, uint64(2))
			is.Equal(len(m.job().Failures), 0)
		})
	}
}

// One command or one answer is lost at each step of a start and a preemption. The gang is
// stopped or continues as a whole, and the job completes.
func TestMessageLostAtEachStep(t *testing.T) {
	for lostAt := 1; lostAt <= lifecycleCommands; lostAt++ {
		for name, arrives := range map[string]bool{"command": false, "answer": true} {
			t.Run(fmt.Sprint(name, " ", lostAt), func(t *testing.T) {
				is := is.New(t)
				m := runLifecycle(t, func(_ *model, n int, a, answered bool) (bool, bool) {
					if n == lostAt {
						return arrives, false
					}
					return a, answered
				})
				is.True(len(m.job().Failures) <= 1) // one lost message fails one run at most
			})
		}
	}
}

// A worker crashes at each step and restarts 30 s later. The job completes.
func TestWorkerDiesAtEachStep(t *testing.T) {
	for crashAt := 1; crashAt <= lifecycleCommands; crashAt++ {
		t.Run(fmt.Sprint("before command ", crashAt), func(t *testing.T) {
			restartAt := time.Duration(0)
			runLifecycle(t, func(m *model, n int, arrives, answered bool) (bool, bool) {
				if n == crashAt {
					m.workers[0].up = false
					restartAt = m.elapsed + 30*time.Second
				}
				if restartAt > 0 && m.elapsed > restartAt && !m.workers[0].up {
					m.restart(0)
				}
				return arrives, answered
			})
		})
	}
}

// A worker that the leader cannot reach but that announces itself to another instance has
// not vanished: its gang continues in the same epoch.
func TestWorkerCutOffFromTheLeaderIsNotVanished(t *testing.T) {
	is := is.New(t)
	m := newGangModel(3, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.workers[0].partitioned = true
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}

// When a worker vanishes while its gang runs, the other members are stopped and the job
// waits for a retry with the failure recorded.
func TestVanishedWorkerFailsItsGang(t *testing.T) {
	for name, vanish := range map[string]func(m *model){
		"is gone":       func(m *model) { m.workers[0].up = false },
		"starts again":  func(m *model) { m.restart(0) },
		"lost its task": func(m *model) { m.workers[0].table = tasks.New(m.workers[0].options) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newGangModel(3, &controlpb.Job{RunTimeMs: 60000, Idempotent: true})
			m.untilState(t, running)
			vanish(m)
			m.until(t, "failed", func() bool { return len(m.job().Failures) > 0 })
			is.Equal(m.job().Failures[0].Code, "worker_vanished")
			m.untilState(t, waiting)
			is.Equal(m.liveRuns(1), 0)
			is.True(m.job().NotBeforeMs > 0)
		})
	}
}

// The accelerators of an unreachable member are released within StopWait, but not while
// the member still runs on them.
func TestAcceleratorsAreReleasedOnlyAfterLeaseExpiry(t *testing.T) {
	for name, fault := range map[string]func(m *model){
		"renewed by a partitioned instance": func(m *model) { m.instance.partitioned = true },
		"without a partition":               func(m *model) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newGangModel(3, &controlpb.Job{RunTimeMs: 600000, Idempotent: true})
			m.untilState(t, running)
			m.workers[0].partitioned = true
			m.round()
			fault(m)
			m.preempt()
			preemptedAt := m.elapsed
			m.until(t, "accelerators released", func() bool { return m.job().Epoch == 2 || m.job().State == waiting })
			is.True(m.elapsed-preemptedAt <= config.StopWait()+time.Second)
			is.Equal(m.liveRuns(1), 0)
		})
	}
}

// The answer to an announcement reaches its worker 9 s late, after the stop was
// committed. If the lease counted from the receipt, it would outlast StopWait.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	m := newGangModel(1, &controlpb.Job{RunTimeMs: 600000, Idempotent: true})
	m.untilState(t, running)
	w := m.workers[0]
	w.delayed, w.partitioned = true, true
	m.round()
	m.preempt()
	delayedReplies := len(m.replies)
	m.instance.partitioned = true
	for range 18 {
		m.round()
	}
	for range delayedReplies {
		m.receiveReply(0)
	}
	m.commands = nil
	m.until(t, "accelerators released", func() bool { return m.job().State != stopping })
}

// A reserve delayed by the network beyond StopWait must be refused: its accelerators may
// belong to another gang by then.
func TestDelayedCommandIsRefused(t *testing.T) {
	is := is.New(t)
	m := newModel(exactClock, 3)
	m.round()
	m.round() // a leader sends commands only for announcements received in its term
	m.submit(&controlpb.Job{Id: "j", Tasks: 1, Accelerators: 1, RunTimeMs: 600000, Idempotent: true})
	m.schedule()
	m.step(m.leader, true)
	is.Equal(len(m.commands), 1) // the reserve
	reserve := m.commands[0]
	m.commands = nil
	m.preempt()
	m.workers[0].delayed = true
	for m.elapsed < config.StopWait()+2*time.Second {
		m.round()
		m.commands = nil
	}
	_, err := m.execute(m.workers[0], &reserve.command)
	is.True(err != nil)
	m.checkAll(t)
}

// If every task had completed by the time the stop reached its worker, the job is
// completed and must not run again.
func TestCompletionsDuringStopAreRecorded(t *testing.T) {
	is := is.New(t)
	m := newGangModel(2, &controlpb.Job{RunTimeMs: 1000, Idempotent: true})
	m.untilState(t, running)
	m.elapsed += 2 * time.Second
	m.preempt()
	m.round()
	is.Equal(m.job().State, completed)
}

// A worker restarts while it runs a job that is not idempotent, so the outcome is
// unknown. The job is parked for an operator to decide.
func TestNonIdempotentJobWithUnknownOutcomeIsParked(t *testing.T) {
	is := is.New(t)
	m := newGangModel(1, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.restart(0)
	m.untilState(t, parked)
	is.Equal(m.job().Failures[1].Code, "outcome_unknown")
}

// checkAll checks the runs reported by all workers that are up.
func (m *model) checkAll(t fataler) {
	t.Helper()
	for _, w := range m.workers {
		if !w.up {
			continue
		}
		for _, report := range w.table.Reports(w.clock.at(m.elapsed)) {
			m.checkRun(t, w, report)
		}
	}
}

// A leader that has just started has received no announcements yet. If it took all
// workers for dead, a restart of the system would stop every gang.
func TestNewLeaderWithoutAnnouncementsKeepsGangsRunning(t *testing.T) {
	is := is.New(t)
	m := newGangModel(3, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.replaceLeader(exactClock())
	for _, w := range m.workers {
		w.announced = nil
	}
	m.elapsed += 2 * time.Second
	m.step(m.leader, true)
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}

// A new leader must not send commands that refer to an announcement older than any lease:
// the worker would refuse them, which would cost the job an attempt.
func TestNewLeaderSendsNoCommandForAnnouncementOfUnknownAge(t *testing.T) {
	is := is.New(t)
	m := newModel(exactClock, 3)
	m.round()
	var oldAnnouncements []*peerpb.Upstream
	for _, w := range m.workers {
		oldAnnouncements = append(oldAnnouncements, w.announced)
	}
	for beganAt := m.elapsed; m.elapsed <= beganAt+config.Lease; {
		m.round()
	}
	m.replaceLeader(exactClock())
	for i, w := range m.workers {
		w.announced = oldAnnouncements[i]
	}
	m.submit(&controlpb.Job{Id: "j", Tasks: 3, Accelerators: 1, RunTimeMs: 5000})
	m.schedule()
	m.step(m.leader, true)
	m.deliverAll()
	m.untilState(t, completed)
	is.Equal(m.job().Attempts, uint32(1))
	is.Equal(len(m.job().Failures), 0)
}

// A new leader that may send commands to only some of a gang's workers must not start
// these members without the others.
func TestNewLeaderStartsGangOnlyAsAWhole(t *testing.T) {
	is := is.New(t)
	m := newModel(exactClock, 3)
	m.round()
	m.round()
	m.submit(&controlpb.Job{Id: "j", Tasks: 6, Accelerators: 1, RunTimeMs: 5000})
	m.schedule()
	m.step(m.leader, true)
	is.Equal(len(m.commands), 6) // the reserves
	m.deliverAll()
	for _, w := range m.workers {
		m.announce(w)
		m.receiveAnnouncement(0)
	}
	m.replaceLeader(exactClock())
	m.step(m.leader, true)
	for _, w := range m.workers {
		m.elapsed += 100 * time.Millisecond
		is.Equal(len(m.commands), 0)
		m.announce(w)
		m.receiveAnnouncement(0)
		m.step(m.leader, true)
	}
	is.Equal(len(m.commands), 6) // the starts
	m.deliverAll()
	m.untilState(t, completed)
	is.Equal(m.job().Attempts, uint32(1))
}

// Two of three workers acknowledge a stop, then the leader is lost. The next one finds
// the acknowledgements in the log and waits for the third worker only.
func TestStopAcknowledgementsSurviveLeaderChange(t *testing.T) {
	is := is.New(t)
	m := newGangModel(6, &controlpb.Job{RunTimeMs: 600000, Checkpointable: true})
	m.untilState(t, running)
	m.workers[0].partitioned = true
	m.workers[0].delayed = true
	m.preempt()
	m.round()
	is.Equal(len(m.job().StoppedTasks), 4)
	is.True(holdsAccelerators(m.job(), 0) && !holdsAccelerators(m.job(), 5)) // only unacknowledged members keep their accelerators
	m.replaceLeader(exactClock())
	m.workers[1].up, m.workers[2].up = false, false
	m.workers[0].partitioned, m.workers[0].delayed = false, false
	m.until(t, "accelerators released", func() bool { return m.job().State != stopping })
	is.True(m.job().State == waiting) // not parked: the outcome of every member is known
}

// A gang that loses a worker loses no more work than was done since its last common
// checkpoint.
func TestVanishedWorkerLosesOnlyWorkSinceCheckpoint(t *testing.T) {
	is := is.New(t)
	m := newGangModel(6, &controlpb.Job{RunTimeMs: 60000, Checkpointable: true, Idempotent: true})
	for i, w := range m.workers {
		w.options.CheckpointEvery = 5 * time.Second
		m.restart(i)
	}
	m.untilState(t, running)
	for range 24 {
		m.round()
	}
	m.workers[0].up = false
	m.untilState(t, waiting)
	is.Equal(m.job().CheckpointedMs, int64(10000))
	is.True(m.job().LostMs >= 2000 && m.job().LostMs <= 8000)
}
