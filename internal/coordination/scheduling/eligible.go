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
	if !n.isolationAdmits(req) {
		return false
	}
	if n.warm && req.avoidsWarmNodes() {
		return false
	}
	if req.rack != "" && n.rack.name != req.rack {
		return false
	}
	return runsOn(job, n.worker) && (req.retriesAnywhere || !hasFailedOn(job, n.worker.ID))
}

// isolationAdmits reports whether the node may take the job as far as nodes are kept for suspected
// jobs. A suspected job doesn't join work that has passed the isolation of its node in this pass.
func (n *node) isolationAdmits(req *request) bool {
	switch n.worker.OnlyFor {
	case "":
		return !req.restricted
	case req.job.Id:
		return !n.isolationPassed
	}
	return req.passesIsolation && !req.restricted
}

// hasTriedAll reports whether the workers on which the job has not failed can't hold it, even when they
// are empty. It would otherwise wait for ever for them, with attempts left.
func (c *cluster) hasTriedAll(job *controlpb.Job) bool {
	if job.MaxAttempts == 0 || len(job.Failures) == 0 {
		return false
	}
	failed := false
	held := map[string]int64{}
	for _, n := range c.nodes {
		switch {
		case n.worker.Unavailable || !runsOn(job, n.worker):
		case hasFailedOn(job, n.worker.ID):
			failed = true
		default:
			domain := domainOf(job.Adjacency, n.worker)
			if held[domain] += tasksWhenEmpty(job, n.worker); held[domain] >= int64(max(job.Tasks, 1)) {
				return false
			}
		}
	}
	return failed
}

// tasksWhenEmpty returns how many tasks of the job the worker holds when it is empty.
func tasksWhenEmpty(job *controlpb.Job, worker *Worker) int64 {
	tasks := workerSize(worker).tasks(taskSize(job))
	if job.SpreadLimit > 0 {
		return min(tasks, int64(job.SpreadLimit))
	}
	return tasks
}

// runsOn reports whether the worker runs the job's service and has the label it requires.
func runsOn(job *controlpb.Job, worker *Worker) bool {
	if job.Service != "" && !slices.Contains(worker.Services, job.Service) {
		return false
	}
	return job.Requirement == "" || slices.Contains(worker.Labels, job.Requirement)
}

// Suits reports whether an available worker could run a task of the job if it were empty.
func Suits(job *controlpb.Job, worker *Worker) bool {
	return !worker.Unavailable && runsOn(job, worker) && !hasFailedOn(job, worker.ID) && workerSize(worker).tasks(taskSize(job)) > 0
}

// FirstThatHold returns the first of the workers, in their order, that hold all tasks of the
// job when they are empty and are as near to each other as it requires.
func FirstThatHold(job *controlpb.Job, workers []Worker) (ids []string, found bool) {
	tried := map[string]bool{}
	for i := range workers {
		domain := domainOf(job.Adjacency, &workers[i])
		if tried[domain] {
			continue
		}
		tried[domain] = true
		if ids, found := holdInDomain(job, workers, domain); found {
			return ids, true
		}
	}
	return nil, false
}

func holdInDomain(job *controlpb.Job, workers []Worker, domain string) (ids []string, found bool) {
	left := int64(max(job.Tasks, 1))
	for i := range workers {
		if domainOf(job.Adjacency, &workers[i]) != domain {
			continue
		}
		ids = append(ids, workers[i].ID)
		if left -= tasksWhenEmpty(job, &workers[i]); left <= 0 {
			return ids, true
		}
	}
	return nil, false
}

// domainOf names the domain within which the tasks of a job have to be placed.
func domainOf(adjacency controlpb.Adjacency, worker *Worker) string {
	switch adjacency {
	case controlpb.Adjacency_ADJACENCY_WORKER:
		return worker.ID
	case controlpb.Adjacency_ADJACENCY_RACK:
		return worker.DataCentre + "/" + worker.Rack
	case controlpb.Adjacency_ADJACENCY_DATA_CENTRE:
		return worker.DataCentre
	}
	return ""
}

// avoidsWarmNodes reports whether the work may not use free capacity that is kept for
// urgent work.
func (req *request) avoidsWarmNodes() bool {
	return req.job.Workflow != "" && !req.job.Urgent && !req.unrestricted
}

// hasFailedOn reports whether the job failed on the worker for a reason of its own. A
// worker on which everything fails quickly looks free again at once, and would use up
// all attempts of a job that returned to it. Jobs without a limit on attempts rely on
// the quarantine of workers instead.
func hasFailedOn(job *controlpb.Job, worker string) bool {
	if job.MaxAttempts == 0 {
		return false
	}
	return slices.ContainsFunc(job.Failures, func(f *controlpb.TaskFailure) bool {
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
