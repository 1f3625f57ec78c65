package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against guaranteed work that may pass isolation, and stop any work, only up to a second after it has waited
// for scheduling.UnlimitedLossAfter, because nothing else calls for a pass.
func TestPassIsDueWhenGuaranteedWorkHasWaited(t *testing.T) {
	is := is.New(t)
	var g passGate
	submitted := time.UnixMilli(1_800_000_000_000)
	waits := []*controlpb.Job{{Id: "j", Urgent: true, Workflow: "w", State: controlpb.JobState_JOB_STATE_WAITING, SubmittedMs: submitted.UnixMilli()}}
	plan := &scheduling.Plan{Waiting: []scheduling.Reason{{Job: "j"}}, QuietSince: submitted.Add(time.Minute)}
	for _, after := range []time.Duration{0, 950 * time.Millisecond} { // the log changes at both times
		is.True(g.admit(uint64(after)+1, nil, submitted.Add(after)))
		g.expectBackoffEnds(waits)
		g.expectStarvation(plan)
	}
	is.True(g.admit(uint64(950*time.Millisecond)+1, nil, submitted.Add(scheduling.UnlimitedLossAfter+50*time.Millisecond)))
}
