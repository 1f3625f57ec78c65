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

// gangOf begins a model in which a gang of the size is waiting.
func gangOf(size int, job *controlpb.Job) *model {
	m := newModel(steady, 3)
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

func (m *model) until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 400 {
		if reached() {
			return
		}
		m.round()
		m.checkAll(t)
	}
	t.Fatalf("never: %s; job %v", what, m.job())
}

func (m *model) untilState(t *testing.T, state controlpb.JobState) {
	t.Helper()
	m.until(t, state.String(), func() bool { return m.job().State == state })
}

// liveRuns counts the runs of the job's epoch that hold accelerators at workers.
func (m *model) liveRuns(epoch uint64) int {
	count := 0
	for _, w := range m.workers {
		for _, report := range w.table.Reports(w.clock.at(m.real)) {
			holds := report.Phase == api.PhaseReserved || report.Phase == api.PhaseRunning
			if w.up && holds && report.Epoch == epoch {
				count++
			}
		}
	}
	return count
}

// lifeOfAGang starts a gang, takes it back once it runs, and lets it run to its
// end: the commands on the way are six reserves and starts, three stops, and six
// more.
func lifeOfAGang(t *testing.T, before func(m *model, n int, arrives, answered bool) (bool, bool)) *model {
	m := gangOf(3, &controlpb.Job{RunTimeMs: 20000, Checkpointable: true, Idempotent: true})
	n := 0
	m.before = func(arrives, answered bool) (bool, bool) {
		n++
		return before(m, n, arrives, answered)
	}
	m.untilState(t, running)
	m.preempt()
	m.untilState(t, completed)
	return m
}

const commandsOfALife = 15

// A third run of a gang, begun by a leader that took over between two messages.
func TestLeaderLostBetweenAnyTwoMessages(t *testing.T) {
	for lost := 1; lost <= commandsOfALife; lost++ {
		t.Run(fmt.Sprint("before command ", lost), func(t *testing.T) {
			is := is.New(t)
			m := lifeOfAGang(t, func(m *model, n int, arrives, answered bool) (bool, bool) {
				if n == lost {
					m.newLeader(steady())
				}
				return arrives, answered
			})
			is.Equal(m.job().Epoch, uint64(2))
			is.Equal(len(m.job().Failures), 0)
		})
	}
}

// One command, or one answer, is lost at each step of a start and a take-back.
// The gang is stopped as a whole or goes on as a whole, and the work ends.
func TestMessageLostAtEachStep(t *testing.T) {
	for lost := 1; lost <= commandsOfALife; lost++ {
		for name, arrives := range map[string]bool{"command": false, "answer": true} {
			t.Run(fmt.Sprint(name, " ", lost), func(t *testing.T) {
				is := is.New(t)
				m := lifeOfAGang(t, func(_ *model, n int, a, answered bool) (bool, bool) {
					if n == lost {
						return arrives, false
					}
					return a, answered
				})
				is.True(len(m.job().Failures) <= 1) // one lost message fails one run at most
			})
		}
	}
}

// A worker dies at each step, and comes back half a minute later.
func TestWorkerDiesAtEachStep(t *testing.T) {
	for dies := 1; dies <= commandsOfALife; dies++ {
		t.Run(fmt.Sprint("before command ", dies), func(t *testing.T) {
			back := time.Duration(0)
			lifeOfAGang(t, func(m *model, n int, arrives, answered bool) (bool, bool) {
				if n == dies {
					m.workers[0].up = false
					back = m.real + 30*time.Second
				}
				if back > 0 && m.real > back && !m.workers[0].up {
					m.restart(0)
				}
				return arrives, answered
			})
		})
	}
}

// The leader cannot reach one worker, which announces itself elsewhere. It is
// not taken as vanished: its gang runs on undisturbed.
func TestWorkerCutOffFromTheLeaderIsNotVanished(t *testing.T) {
	is := is.New(t)
	m := gangOf(3, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.workers[0].cut = true
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}

// A worker vanishes while its gang runs. No part may go on alone: the others are
// stopped, the job waits with the failure recorded.
func TestVanishedWorkerFailsItsGang(t *testing.T) {
	for name, vanish := range map[string]func(m *model){
		"is gone":       func(m *model) { m.workers[0].up = false },
		"starts again":  func(m *model) { m.restart(0) },
		"lost its task": func(m *model) { m.workers[0].table = tasks.New(m.workers[0].options) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := gangOf(3, &controlpb.Job{RunTimeMs: 60000, Idempotent: true})
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

// Accelerators given back while a member that nobody reaches still runs on them.
func TestLeaseHasSurelyRunOut(t *testing.T) {
	for name, hold := range map[string]func(m *model){
		"by an instance that follows no more": func(m *model) { m.entry.cut = true },
		"by nobody":                           func(m *model) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := gangOf(3, &controlpb.Job{RunTimeMs: 600000, Idempotent: true})
			m.untilState(t, running)
			m.workers[0].cut = true
			m.round()
			hold(m)
			m.preempt()
			from := m.real
			m.until(t, "given back", func() bool { return m.job().Epoch == 2 || m.job().State == waiting })
			is.True(m.real-from <= config.StopWait()+time.Second)
			is.Equal(m.liveRuns(1), 0)
		})
	}
}

// The answer to an announcement reaches its worker nine seconds late, after the
// stop was committed. Counted from its receipt, the lease would outlive the wait.
func TestLateAnswerGivesNoNewLease(t *testing.T) {
	m := gangOf(1, &controlpb.Job{RunTimeMs: 600000, Idempotent: true})
	m.untilState(t, running)
	w := m.workers[0]
	w.held, w.cut = true, true
	m.round()
	m.preempt()
	late := len(m.replies)
	m.entry.cut = true
	for range 18 {
		m.round()
	}
	for range late {
		m.takeReply(0)
	}
	m.commands = nil
	m.until(t, "given back", func() bool { return m.job().State != stopping })
}

// A reserve that the network held back takes accelerators that another gang has by now.
func TestLateCommandComesToNothing(t *testing.T) {
	is := is.New(t)
	m := newModel(steady, 3)
	m.round()
	m.round() // a leader commands on an announcement that came while it leads
	m.submit(&controlpb.Job{Id: "j", Tasks: 1, Accelerators: 1, RunTimeMs: 600000, Idempotent: true})
	m.schedule()
	m.step(m.leader, true)
	is.Equal(len(m.commands), 1) // the reserve
	reserve := m.commands[0]
	m.commands = nil
	m.preempt()
	m.workers[0].held = true
	for m.real < config.StopWait()+2*time.Second {
		m.round()
		m.commands = nil
	}
	_, err := m.obey(m.workers[0], &reserve.command)
	is.True(err != nil)
	m.checkAll(t)
}

// Every task had ended well when the stop reached them: the work is done and must
// not be done again.
func TestEndsDuringAStopCount(t *testing.T) {
	is := is.New(t)
	m := gangOf(2, &controlpb.Job{RunTimeMs: 1000, Idempotent: true})
	m.untilState(t, running)
	m.real += 2 * time.Second
	m.preempt()
	m.round()
	is.Equal(m.job().State, completed)
}

// A worker takes work that is not idempotent and starts again: nobody can say
// whether it was done. It is parked for a person to look at.
func TestUnknownOutcomeOfWorkThatIsNotIdempotent(t *testing.T) {
	is := is.New(t)
	m := gangOf(1, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.restart(0)
	m.untilState(t, parked)
	is.Equal(m.job().Failures[1].Code, "outcome_unknown")
}

// checkAll looks at every worker.
func (m *model) checkAll(t failer) {
	t.Helper()
	for _, w := range m.workers {
		if !w.up {
			continue
		}
		for _, report := range w.table.Reports(w.clock.at(m.real)) {
			m.checkRun(t, w, report)
		}
	}
}

// An instance that has just started leads, and has heard of no worker yet. If
// it took them for dead, a restart of the system would stop every gang.
func TestNewLeaderThatHasHeardOfNoWorkerDisturbsNothing(t *testing.T) {
	is := is.New(t)
	m := gangOf(3, &controlpb.Job{RunTimeMs: 60000})
	m.untilState(t, running)
	m.newLeader(steady())
	for _, w := range m.workers {
		w.announced = nil
	}
	m.real += 2 * time.Second
	m.step(m.leader, true)
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}

// An attempt too many: a new leader names an announcement that is older than any lease.
func TestNewLeaderCommandsOnNoAnnouncementOfUnknownAge(t *testing.T) {
	is := is.New(t)
	m := newModel(steady, 3)
	m.round()
	var first []*peerpb.Upstream
	for _, w := range m.workers {
		first = append(first, w.announced)
	}
	for began := m.real; m.real <= began+config.Lease; {
		m.round()
	}
	m.newLeader(steady())
	for i, w := range m.workers {
		w.announced = first[i]
	}
	m.submit(&controlpb.Job{Id: "j", Tasks: 3, Accelerators: 1, RunTimeMs: 5000})
	m.schedule()
	m.step(m.leader, true)
	m.deliverAll()
	m.untilState(t, completed)
	is.Equal(m.job().Attempts, uint32(1))
	is.Equal(len(m.job().Failures), 0)
}

// Parts of a gang that run alone, since a new leader may command only some of its workers.
func TestNewLeaderStartsNoPartOfAGangAlone(t *testing.T) {
	is := is.New(t)
	m := newModel(steady, 3)
	m.round()
	m.round()
	m.submit(&controlpb.Job{Id: "j", Tasks: 6, Accelerators: 1, RunTimeMs: 5000})
	m.schedule()
	m.step(m.leader, true)
	is.Equal(len(m.commands), 6) // the reserves
	m.deliverAll()
	for _, w := range m.workers {
		m.announce(w)
		m.hear(0)
	}
	m.newLeader(steady())
	m.step(m.leader, true)
	for _, w := range m.workers {
		m.real += 100 * time.Millisecond
		is.Equal(len(m.commands), 0)
		m.announce(w)
		m.hear(0)
		m.step(m.leader, true)
	}
	is.Equal(len(m.commands), 6) // the starts
	m.deliverAll()
	m.untilState(t, completed)
	is.Equal(m.job().Attempts, uint32(1))
}

// Two of three members acknowledge a stop and the leader is lost: the next one
// finds their word in the log and waits for the third only.
func TestAcknowledgementsOutliveTheLeader(t *testing.T) {
	is := is.New(t)
	m := gangOf(6, &controlpb.Job{RunTimeMs: 600000, Checkpointable: true})
	m.untilState(t, running)
	m.workers[0].cut = true
	m.workers[0].held = true
	m.preempt()
	m.round()
	is.Equal(len(m.job().StoppedTasks), 4)
	is.True(holds(m.job(), 0) && !holds(m.job(), 5)) // only the silent ones wait
	m.newLeader(steady())
	m.workers[1].up, m.workers[2].up = false, false
	m.workers[0].cut, m.workers[0].held = false, false
	m.until(t, "given back", func() bool { return m.job().State != stopping })
	is.True(m.job().State == waiting) // not parked: every member said how it ended
}

// A gang that loses more work than was done since its last common checkpoint.
func TestVanishedWorkerLosesWorkSinceTheLastCheckpointOnly(t *testing.T) {
	is := is.New(t)
	m := gangOf(6, &controlpb.Job{RunTimeMs: 60000, Checkpointable: true, Idempotent: true})
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
