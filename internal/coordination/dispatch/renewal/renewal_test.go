package renewal_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/renewal"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// stateOf returns a control state with job j at epoch 2 in the given state.
func stateOf(job controlpb.JobState) *store.State {
	return store.Restore(&controlpb.Snapshot{Jobs: []*controlpb.Job{{Id: "j", Epoch: 2, State: job}}})
}

func TestAnswers(t *testing.T) {
	const (
		running   = controlpb.JobState_JOB_STATE_RUNNING
		stopping  = controlpb.JobState_JOB_STATE_STOPPING
		waiting   = controlpb.JobState_JOB_STATE_WAITING
		completed = controlpb.JobState_JOB_STATE_COMPLETED
	)
	cases := []struct {
		name  string
		job   controlpb.JobState
		epoch uint64
		phase string
		stale bool
		want  string
	}{
		{"runs in the current epoch", running, 2, api.PhaseRunning, false, "renew"},
		{"runs, and the control state is stale", running, 2, api.PhaseRunning, true, ""},
		{"is being stopped", stopping, 2, api.PhaseRunning, false, "stop"},
		{"is being stopped, and the control state is stale", stopping, 2, api.PhaseRunning, true, "stop"},
		{"has stopped, other members not yet", stopping, 2, api.PhaseStopped, false, ""},
		{"runs in an epoch that has ended", running, 1, api.PhaseRunning, false, "stop"},
		{"runs for a job that waits", waiting, 2, api.PhaseRunning, false, "stop"},
		{"runs in an epoch not yet in the control state", waiting, 3, api.PhaseRunning, false, ""},
		{"ended in an epoch not yet in the control state", waiting, 3, api.PhaseCompleted, false, ""},
		{"ended, not recorded yet", running, 2, api.PhaseCompleted, false, ""},
		{"ended and recorded", completed, 2, api.PhaseCompleted, false, "forget"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reply := renewal.Answer(stateOf(c.job), !c.stale, []api.TaskReport{{Job: "j", Epoch: c.epoch, Phase: c.phase}})
			got := map[string]int{"renew": len(reply.Renew), "stop": len(reply.Stop), "forget": len(reply.Forget)}
			is.Equal(reply.TryOther, c.stale)
			for list, count := range got {
				is.Equal(count == 1, list == c.want)
			}
		})
	}
}
