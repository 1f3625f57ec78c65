package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A worker is quarantined for starts that it left unanswered, and answers again. The other
// worker is full. Accepted jobs have nothing running although the first worker could hold
// them all: one runs there as a probe, and the others wait until it has ended.
func TestWorkWaitsForTheEndOfAnAnsweredProbe(t *testing.T) {
	simulateUnansweredStarts(t, 3, func(t *testing.T, m *machines, silent *machine) {
		m.await(t, 20*time.Second, "the probe runs", func() bool { return m.runningOn(silent) > 0 })
		time.Sleep(time.Second)
		is.New(t).Equal(m.runningOn(silent), 8)
	})
}

// The same, after more and more unanswered starts: the accepted jobs wait until a probe is
// due, for a quarter of a minute and more, although the worker answers again. Work may stand
// beside free capacity for three seconds.
func TestWorkWaitsUntilAProbeIsDue(t *testing.T) {
	for _, unanswered := range []int{1, 2, 3, 5, 8} {
		t.Run(fmt.Sprint(unanswered, " unanswered starts"), func(t *testing.T) {
			simulateUnansweredStarts(t, unanswered, func(t *testing.T, m *machines, silent *machine) {
				time.Sleep(3 * time.Second)
				is.New(t).Equal(m.runningOn(silent), 8)
			})
		})
	}
}

// simulateUnansweredStarts calls test when one of two workers has left starts unanswered, and
// 16 jobs of 30 s have been submitted. Each worker holds eight.
func simulateUnansweredStarts(t *testing.T, count int, test func(t *testing.T, m *machines, silent *machine)) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachines(2)
		m.quarantine = quarantine.Config{CoolDown: time.Second, Probe: 15 * time.Second, MaxUnanswered: 2 * time.Second}
		m.taskTime = 30 * time.Second
		silent := m.list[0]
		m.state = store.Restore(&controlpb.Snapshot{Health: []*controlpb.WorkerHealth{unansweredStarts(silent.id(), count)}})
		m.lead(t)
		defer func() {
			m.stopLeader()
			time.Sleep(settleTime)
		}()
		for n := range 16 {
			m.submit(fmt.Sprint("t", n), "x", &controlpb.Step{Count: 1, CoresMilli: 4000})
		}
		test(t, m, silent)
	})
}

// unansweredStarts returns the health of a worker that has just left a start of each of
// several jobs unanswered, two seconds apart.
func unansweredStarts(worker string, jobs int) *controlpb.WorkerHealth {
	health := &controlpb.WorkerHealth{Worker: worker, Consecutive: uint32(jobs)}
	for n := range jobs {
		at := time.Now().Add(time.Duration(n+1-jobs) * 2 * time.Second)
		health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: fmt.Sprint("j", n), Code: string(failure.OutcomeUnknown), TimeMs: at.UnixMilli()})
	}
	return health
}

func (m *machines) runningOn(machine *machine) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(machine.running)
}
