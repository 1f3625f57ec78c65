// Package renewal decides what an instance answers to a worker's announcement:
// which leases are renewed, which tasks are to stop, which ends are noted. Any
// instance may answer, so the leases of many workers do not meet at the leader.
package renewal

import (
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Answer sorts the reported tasks into the lists of an answer. An instance whose
// state is not fresh renews nothing: it would keep a gang alive that has been
// stopped since, and gang.StopWait counts on its not doing so. What it holds of
// stops stays true however old it is, because an epoch that has ended never
// comes back, so those it passes on. The worker is asked to turn to another instance:
// it would lose its tasks here although nothing is wrong with it.
func Answer(state *store.State, fresh bool, tasks []api.TaskReport) *api.AnnounceReply {
	reply := &api.AnnounceReply{TryOther: !fresh}
	for _, task := range tasks {
		ref := api.TaskRef{Job: task.Job, Task: task.Task, Epoch: task.Epoch}
		live := task.Phase == api.PhaseReserved || task.Phase == api.PhaseRunning
		verdict := judge(state, ref)
		switch {
		case live && verdict == wanted && fresh:
			reply.Renew = append(reply.Renew, ref)
		case live && (verdict == stopping || verdict == over):
			reply.Stop = append(reply.Stop, ref)
		case !live && verdict == over:
			reply.Forget = append(reply.Forget, ref)
		}
	}
	return reply
}

// verdict is what the control state says of one run of a task.
type verdict int

const (
	// unknown is a run that the state has not reached yet: a command may be faster
	// than the log. Forgetting its end would lose the work.
	unknown verdict = iota
	wanted
	// stopping is a run whose stop is committed and not yet acknowledged by all;
	// its report is the acknowledgement.
	stopping
	over
)

func judge(state *store.State, ref api.TaskRef) verdict {
	job, ok := state.Job(ref.Job)
	if !ok || job.Epoch < ref.Epoch {
		return unknown
	}
	if job.Epoch > ref.Epoch {
		return over
	}
	switch job.State {
	case controlpb.JobState_JOB_STATE_STARTING, controlpb.JobState_JOB_STATE_RUNNING:
		return wanted
	case controlpb.JobState_JOB_STATE_STOPPING:
		return stopping
	}
	return over
}
