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
	synctest.Test(t, func(t *testing.T) {
		is, m := is.New(t), newMachines(2)
		m.quarantine = quarantine.Config{CoolDown: time.Second, Probe: 15 * time.Second}
		m.taskTime = 30 * time.Second
		probed := m.list[0]
		m.state = store.Restore(&controlpb.Snapshot{Health: []*controlpb.WorkerHealth{unansweredStarts(probed.id(), 3)}})
		m.lead(t)
		time.Sleep(2 * time.Second)
		for n := range 16 { // each worker holds eight
			m.submit(fmt.Sprint("t", n), "x", &controlpb.Step{Count: 1, CoresMilli: 4000})
		}
		m.await(t, 20*time.Second, "the probe runs", func() bool { return m.runningOn(probed) > 0 })
		time.Sleep(time.Second)
		running := m.runningOn(probed)
		m.stopLeader()
		time.Sleep(settleTime)
		is.Equal(running, 8)
	})
}

// unansweredStarts returns the health of a worker that has just left a start of each of
// several jobs unanswered.
func unansweredStarts(worker string, jobs int) *controlpb.WorkerHealth {
	health := &controlpb.WorkerHealth{Worker: worker, Consecutive: uint32(jobs)}
	for n := range jobs {
		at := time.Now().Add(time.Duration(n-jobs) * 2 * time.Second)
		health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: fmt.Sprint("j", n), Code: string(failure.OutcomeUnknown), TimeMs: at.UnixMilli()})
	}
	return health
}

func (m *machines) runningOn(machine *machine) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(machine.running)
}
