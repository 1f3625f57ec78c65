package store_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against a state that an older version can't leave. An older version ignores the late end of run 1 (it stays
// WAITING there, where this one completes the job) and refuses COMPLETED for a job that is STOPPING, so that a command
// which an older version also applies must not ask for either.
func TestLateEndOfAKnownCommandIsAppliedAsByOlderVersions(t *testing.T) {
	is, m := is.New(t), newStateMachine()
	m.place("j", "w1")
	m.to("j", 1, running)
	m.to("j", 1, stopping)
	m.to("j", 1, waiting)
	m.batch(&controlpb.BatchMove{Finished: []*controlpb.FinishedTask{{Job: "j", Epoch: 1}}})
	is.Equal(m.job("j").State, waiting) // what 7a9e91a has after the same commands
}
