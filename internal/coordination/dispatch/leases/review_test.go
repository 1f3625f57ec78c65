package leases

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Guards against more failed runs than a job has attempts (BUDGET): the end "failed" of a run that was given up is
// acknowledged although no state counts it.
func TestFailedEndOfARunThatWasGivenUpIsCountedBeforeItIsAcknowledged(t *testing.T) {
	bounded := func(j *controlpb.Job) { j.MaxAttempts = 3 }
	cases := map[string]*store.State{
		"waiting again":         stateWith(controlpb.JobState_JOB_STATE_WAITING, 1, bounded),
		"a later run is placed": stateWith(controlpb.JobState_JOB_STATE_RUNNING, 2, bounded),
	}
	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(lease, startTime)
			tracker.ApplyReport(&Report{Clock: 1, Ends: []End{{Number: 1, Task: "w.0.0.0", Run: 1, Outcome: Failed}}}, startTime)
			is.Equal(tracker.AcknowledgeCommitted(state), uint64(0))
		})
	}
}
