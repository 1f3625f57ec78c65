package scheduling

import (
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// isEligible reports whether the job may run on the node at all, however much of it is
// free.
func (n *node) isEligible(req *request) bool {
	job := req.job
	if n.warm && req.avoidsWarmNodes() {
		return false
	}
	if req.rack != "" && n.rack.name != req.rack {
		return false
	}
	if job.Service != "" && !slices.Contains(n.worker.Services, job.Service) {
		return false
	}
	if job.Requirement != "" && !slices.Contains(n.worker.Labels, job.Requirement) {
		return false
	}
	return !req.failedOn(n.worker.ID)
}

// avoidsWarmNodes reports whether the work may not use free capacity that is kept for
// urgent work.
func (req *request) avoidsWarmNodes() bool {
	return req.job.Workflow != "" && !req.job.Urgent && !req.unrestricted
}

// failedOn reports whether the job failed on the worker for a reason of its own. A
// worker on which everything fails quickly looks free again at once, and would use up
// all attempts of a job that returned to it. Jobs without a limit on attempts rely on
// the quarantine of workers instead.
func (req *request) failedOn(worker string) bool {
	if req.job.MaxAttempts == 0 {
		return false
	}
	return slices.ContainsFunc(req.job.Failures, func(f *controlpb.TaskFailure) bool {
		return f.Worker == worker && !failure.Code(f.Code).Infrastructure()
	})
}

// stepKey identifies a step of one occurrence of a workflow.
type stepKey struct {
	workflow   string
	repetition uint32
	step       uint32
}

func stepKeyOf(job *controlpb.Job) stepKey { return stepKey{job.Workflow, job.Repetition, job.Step} }

// spreadLimitLeft returns how many more tasks of the job's step the node may hold.
func (n *node) spreadLimitLeft(job *controlpb.Job) int64 {
	if job.SpreadLimit == 0 {
		return math.MaxInt64
	}
	return max(int64(job.SpreadLimit)-n.stepTasks[stepKeyOf(job)], 0)
}

func (n *node) countStepTasks(job *controlpb.Job, tasks int64) {
	if job == nil || job.SpreadLimit == 0 {
		return
	}
	if n.stepTasks == nil {
		n.stepTasks = map[stepKey]int64{}
	}
	n.changes.add(n)
	n.stepTasks[stepKeyOf(job)] += tasks
}
