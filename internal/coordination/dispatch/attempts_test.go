package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// replayFaults replays a stream of tasks that may be attempted twice, on three racks of four
// workers of which some fail all that they start. It returns how many tasks were lost.
func replayFaults(t *testing.T, careful bool, faulty ...int) (lost int) {
	synctest.Test(t, func(t *testing.T) {
		is, m := is.New(t), newMachines(12)
		m.features.AttemptPlacement, m.maxAttempts = careful, 2
		m.quarantine = quarantine.Config{CoolDown: 500 * time.Millisecond, Probe: 10 * time.Second}
		for n, machine := range m.list {
			machine.rack = fmt.Sprint("r", n/4)
		}
		for _, n := range faulty {
			m.list[n].fails = true
		}
		m.lead(t)
		time.Sleep(time.Second)
		const tasks = 200
		for n := range tasks {
			m.submit(fmt.Sprint("t", n), "x", &controlpb.Step{Count: 1, CoresMilli: 4000})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		for n := range tasks {
			switch m.workflowState(fmt.Sprint("t", n)) {
			case workflowFailed:
				lost++
			case workflowCompleted:
			default:
				t.Errorf("task %d has not ended", n)
			}
			is.True(m.starts[fmt.Sprintf("t%d.0.0.0", n)] <= 2)
		}
		is.Equal(m.violations, nil)
		m.stopLeader()
		time.Sleep(settleTime)
	})
	return lost
}

// Both attempts of a task are used up by one rack, or by one worker and another at fault. No
// task gets more attempts than it may, and none waits because its second attempt is placed
// with care.
func TestSecondAttemptAvoidsWorkersAtFault(t *testing.T) {
	is := is.New(t)
	for name, faulty := range map[string][]int{"one worker": {0}, "a rack": {0, 1, 2, 3}} {
		before, after := replayFaults(t, false, faulty...), replayFaults(t, true, faulty...)
		t.Logf("%s at fault: %d of 200 tasks lost, %d with attempt placement", name, before, after)
		is.True(after <= before)
		is.Equal(after, 0)
	}
}
