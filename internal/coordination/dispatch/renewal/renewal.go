// Package renewal decides how an instance answers a worker's announcement: which leases it
// renews, which tasks it stops and which ended tasks the worker may forget. Any instance
// may answer, so that lease renewals are not concentrated on the leader.
package renewal

import (
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Answer sorts the reported tasks into the lists of a reply. An instance whose state is not
// fresh renews no lease: it could keep a gang alive that has been stopped since, and
// gang.StopWait assumes that this doesn't happen. It does pass on stops, which are valid
// at any age, because an epoch that has ended never becomes active again. It also asks the
// worker to try another instance, as the worker, though healthy, would lose its tasks here.
func Answer(state *store.State, fresh bool, tasks []api.TaskReport) *api.AnnounceReply {
	reply := &api.AnnounceReply{TryOther: !fresh}
	for _, task := range tasks {
		ref := api.TaskRef{Job: task.Job, Task: task.Task, Epoch: task.Epoch}
		live := task.Phase == api.PhaseReserved || task.Phase == api.PhaseRunning
		run := classify(state, ref)
		switch {
		case live && run == active && fresh:
			reply.Renew = append(reply.Renew, ref)
		case live && (run == stopping || run == ended):
			reply.Stop = append(reply.Stop, ref)
		case !live && run == ended:
			reply.Forget = append(reply.Forget, ref)
		}
	}
	return reply
}

// runState is the state of one run of a task according to the control state.
type runState int

const (
	// unknown is a run that this instance's state does not contain yet: a command may
	// arrive at the worker before the log entry arrives here. If the worker forgot the end
	// of such a run, its work would be lost.
	unknown runState = iota
	active
	// stopping is a run whose stop is committed but not yet acknowledged by all members;
	// the worker's report of the stopped task is its acknowledgement.
	stopping
	ended
)

func classify(state *store.State, ref api.TaskRef) runState {
	job, ok := state.Job(ref.Job)
	if !ok || job.Epoch < ref.Epoch {
		return unknown
	}
	if job.Epoch > ref.Epoch {
		return ended
	}
	switch job.State {
	case controlpb.JobState_JOB_STATE_STARTING, controlpb.JobState_JOB_STATE_RUNNING:
		return active
	case controlpb.JobState_JOB_STATE_STOPPING:
		return stopping
	}
	return ended
}
