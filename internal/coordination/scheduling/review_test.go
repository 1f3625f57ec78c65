package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against new urgent work that is outside its guarantee because of a gang that crashed workers have thrown
// back before it started: its failure has another code than that of a lost run.
func TestWorkThrownBackBeforeItsStartLeavesTheGuaranteeToNewWork(t *testing.T) {
	for _, code := range []string{"unreachable", "start_timeout", "stalled", "outcome_unknown"} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			thrownBack := unitJob("h", "a", 1, 8, topPriority, waited(20*time.Second))
			thrownBack.Failures = []*controlpb.TaskFailure{{Worker: "gone", Code: code}}
			fresh := unitJob("i", "a", 1, 8, topPriority, waited(time.Second), dueIn(-time.Second))
			other := func(id, worker string) *controlpb.Job {
				return unitJob(id, "b", 1, 8, topPriority, running(time.Second, 0, worker))
			}
			plan := Pass(unitsSnapshot(testWorkers(1, 1, 2, 8), thrownBack, fresh, other("j", "d0-r0-w0"), other("k", "d0-r0-w1")))
			is.Equal(outcome(plan)["i"], "taking_back")
		})
	}
}
