package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	workflowFailed    = controlpb.WorkflowState_WORKFLOW_STATE_FAILED
	workflowCompleted = controlpb.WorkflowState_WORKFLOW_STATE_COMPLETED
	// maxNeighbourRestarts is what runs beside one task on a worker of 8 accelerators.
	maxNeighbourRestarts = 7
	// settleTime is how long requests in flight take before a simulation ends.
	settleTime = 20 * time.Second
)

// A task crashes each worker that starts it, beside other work. It is
// started at most twice after the third crash and given up; only what ran beside it at its
// first start is started again.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachines(6)
		stop := m.lead(t)
		time.Sleep(time.Second)
		for n := range 3 {
			m.submit(fmt.Sprint("a", n), "x", &controlpb.Step{Count: 12, CoresMilli: 4000})
		}
		m.submit("bad", crashing, &controlpb.Step{Count: 1, CoresMilli: 4000})
		m.await(t, time.Minute, "the crashing task is given up", func() bool { return m.workflowState("bad") == workflowFailed })
		restarts := 0
		for n := range 3 {
			id := fmt.Sprint("a", n)
			m.await(t, time.Minute, "the harmless work completes", func() bool { return m.workflowState(id) == workflowCompleted })
			for index := range 12 {
				restarts += m.starts[fmt.Sprintf("%s.0.0.%d", id, index)] - 1
			}
		}
		is.True(m.startsAfterCrashes["bad.0.0.0"] <= 2)
		is.True(restarts <= maxNeighbourRestarts)
		is.Equal(m.violations, nil)
		stop()
		time.Sleep(settleTime)
	})
}

// simulate runs a test in simulated time with machines that a leader uses.
func simulate(t *testing.T, count int, test func(t *testing.T, m *machines)) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachines(count)
		stop := m.lead(t)
		time.Sleep(time.Second)
		test(t, m)
		is.New(t).Equal(m.violations, nil)
		stop()
		time.Sleep(settleTime)
	})
}

// The leader is replaced after each crash, and the new one starts from a snapshot. The count
// of crashes must not begin again.
func TestCrashCountOutlivesLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachines(6)
		stop := m.lead(t)
		time.Sleep(time.Second)
		m.submit("bad", crashing, &controlpb.Step{Count: 1, CoresMilli: 4000})
		for crash := 1; m.workflowState("bad") != workflowFailed; crash++ {
			m.await(t, time.Minute, "another crash", func() bool {
				return m.crashesOf("bad.0.0.0") >= crash || m.workflowState("bad") == workflowFailed
			})
			stop()
			m.restart()
			stop = m.lead(t)
		}
		is.True(m.startsAfterCrashes["bad.0.0.0"] <= 2)
		is.Equal(m.violations, nil)
		stop()
		time.Sleep(settleTime)
	})
}

// Crashed workers are back only after their leases have expired, so that the work runs
// elsewhere before the crash is known. The starts until then must not go beyond the bound.
func TestCrashesKnownLate(t *testing.T) {
	simulate(t, 8, func(t *testing.T, m *machines) {
		is := is.New(t)
		m.pause = 9 * time.Second
		m.submit("bad", crashing, &controlpb.Step{Count: 1, CoresMilli: 4000})
		m.await(t, 3*time.Minute, "the crashing task is given up", func() bool { return m.workflowState("bad") == workflowFailed })
		is.True(m.startsAfterCrashes["bad.0.0.0"] <= 2)
	})
}

// All tasks of a step crash their workers, many at the same moment. Each stays within the
// bound, and the work beside them completes.
func TestManyTasksCrashTheirWorkers(t *testing.T) {
	simulate(t, 12, func(t *testing.T, m *machines) {
		is := is.New(t)
		m.submit("bad", crashing, &controlpb.Step{Count: 9, CoresMilli: 4000})
		m.submit("good", "x", &controlpb.Step{Count: 30, CoresMilli: 4000})
		m.await(t, 2*time.Minute, "the crashing step is given up", func() bool { return m.workflowState("bad") == workflowFailed })
		m.await(t, time.Minute, "the harmless work completes", func() bool { return m.workflowState("good") == workflowCompleted })
		for task, starts := range m.startsAfterCrashes {
			is.True(starts <= 2 || task[:3] != "bad")
		}
	})
}

// A gang crashes the workers of its members. It is given up within the bound for each of
// them.
func TestGangThatCrashesItsWorkers(t *testing.T) {
	simulate(t, 6, func(t *testing.T, m *machines) {
		is := is.New(t)
		m.submit("bad", crashing, &controlpb.Step{Count: 3, CoresMilli: 20000, Gang: true})
		m.await(t, 2*time.Minute, "the gang is given up", func() bool { return m.workflowState("bad") == workflowFailed })
		for _, starts := range m.startsAfterCrashes {
			is.True(starts <= 2)
		}
	})
}

// All workers lose power again and again while long tasks run on them. That is evidence
// against no task: none may be given up.
func TestLossOfPowerIsNoEvidence(t *testing.T) {
	simulate(t, 6, func(t *testing.T, m *machines) {
		m.taskTime = 5 * time.Second
		m.submit("good", "x", &controlpb.Step{Count: 20, CoresMilli: 4000})
		for range 8 {
			time.Sleep(4 * time.Second)
			m.losePower(m.list...)
		}
		m.await(t, 2*time.Minute, "the work completes", func() bool { return m.workflowState("good") == workflowCompleted })
	})
}

// Half of the workers lose power again and again, and gangs are placed on them before it is known.
// No crash may count against a gang that never started there.
func TestCrashesCountOnlyForWorkThatStarted(t *testing.T) {
	simulate(t, 6, func(t *testing.T, m *machines) {
		is := is.New(t)
		m.mu.Lock()
		m.pause, m.linger = 100*time.Millisecond, true
		m.mu.Unlock()
		for n := range 8 {
			m.losePower(m.list[:3]...)
			time.Sleep(200 * time.Millisecond)
			m.submit(fmt.Sprint("gang", n), "x", &controlpb.Step{Count: 5, Accelerators: 8, CoresMilli: 4000, Gang: true})
			time.Sleep(6 * time.Second)
		}
		for n := range 8 {
			m.await(t, time.Minute, "the gangs complete", func() bool { return m.workflowState(fmt.Sprint("gang", n)) == workflowCompleted })
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, crash := range m.State().Crashes() {
			for _, run := range crash.Runs {
				is.True(m.startedOn[startKey(fmt.Sprint(run.Job, ".", run.Task), run.Epoch, crash.Worker)])
			}
		}
	})
}

// Single workers crash for reasons of their own, one after the other, under tasks that fill
// them. No task may be given up.
func TestWorkersThatCrashByThemselves(t *testing.T) {
	simulate(t, 6, func(t *testing.T, m *machines) {
		m.taskTime = 5 * time.Second
		for n := range 12 {
			m.submit(fmt.Sprint("good", n), "x", &controlpb.Step{Count: 20, CoresMilli: 4000})
			time.Sleep(8 * time.Second)
			m.losePower(m.list[n%len(m.list)])
		}
		for n := range 12 {
			m.await(t, 2*time.Minute, "the work completes", func() bool { return m.workflowState(fmt.Sprint("good", n)) == workflowCompleted })
		}
	})
}

// Workers are cut off for longer than a lease again and again, and run on. Silence is not a
// crash: no task may be suspected or given up.
func TestSilentWorkersAreNoEvidence(t *testing.T) {
	simulate(t, 6, func(t *testing.T, m *machines) {
		is := is.New(t)
		m.taskTime = 6 * time.Second
		m.submit("good", "x", &controlpb.Step{Count: 12, CoresMilli: 4000})
		for n := range 6 {
			time.Sleep(2 * time.Second)
			m.setSilent(n, true)
			time.Sleep(8 * time.Second)
			m.setSilent(n, false)
		}
		m.await(t, 2*time.Minute, "the work completes", func() bool { return m.workflowState("good") == workflowCompleted })
		is.Equal(len(m.State().Crashes()), 0)
	})
}

func (m *machines) crashesOf(task string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes[task]
}
