package scheduling

import (
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// allows tells whether the worker is one that the job may run on at all.
func (n *node) allows(a *ask) bool {
	job := a.job
	if n.warm && a.yieldsWarmRoom() {
		return false
	}
	if a.rack != "" && n.rack.name != a.rack {
		return false
	}
	if job.Service != "" && !slices.Contains(n.worker.Services, job.Service) {
		return false
	}
	if job.Requirement != "" && !slices.Contains(n.worker.Labels, job.Requirement) {
		return false
	}
	return !a.failedOn(n.worker.ID)
}

// yieldsWarmRoom tells work that leaves the room that urgent work has left to the next.
func (a *ask) yieldsWarmRoom() bool { return a.job.Workflow != "" && !a.job.Urgent && !a.wide }

// failedOn tells a worker on which the job failed by itself. A worker that fails
// everything looks free at once, and would use up all attempts of a job that
// came back to it. Jobs without bounded attempts are left to quarantine.
func (a *ask) failedOn(worker string) bool {
	if a.job.MaxAttempts == 0 {
		return false
	}
	return slices.ContainsFunc(a.job.Failures, func(f *controlpb.TaskFailure) bool {
		return f.Worker == worker && !failure.Code(f.Code).Infrastructure()
	})
}

// stepKey names a step of one occurrence of a workflow.
type stepKey struct {
	workflow   string
	repetition uint32
	step       uint32
}

func keyOf(job *controlpb.Job) stepKey { return stepKey{job.Workflow, job.Repetition, job.Step} }

// spreadLeft is how many more tasks of the job's step the node may hold.
func (n *node) spreadLeft(job *controlpb.Job) int64 {
	if job.SpreadLimit == 0 {
		return math.MaxInt64
	}
	return max(int64(job.SpreadLimit)-n.spread[keyOf(job)], 0)
}

func (n *node) countSpread(job *controlpb.Job, tasks int64) {
	if job == nil || job.SpreadLimit == 0 {
		return
	}
	if n.spread == nil {
		n.spread = map[stepKey]int64{}
	}
	n.changes.add(n)
	n.spread[keyOf(job)] += tasks
}
