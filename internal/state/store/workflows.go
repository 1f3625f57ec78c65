package store

import (
	"cmp"
	"strconv"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// endedWorkflowRetention is how long, in milliseconds, an ended workflow can be looked
// up: callers ask for a result well after it is available, and a resend of the submission
// must find it.
const endedWorkflowRetention = 10 * 60 * 1000

// Workflow looks up a workflow by its id.
func (s *State) Workflow(id string) (*controlpb.Workflow, bool) { return s.workflows.Get([]byte(id)) }

// OpenWorkflows lists the workflows that have not ended, by id.
func (s *State) OpenWorkflows() []*controlpb.Workflow { return list(s.openWorkflows) }

// Pending counts the workflows that have not started any task, of those that counts accepts.
func (s *State) Pending(counts func(*controlpb.Workflow) bool) int {
	pending := 0
	walk(s.openWorkflows, func(_ string, w *controlpb.Workflow) {
		if counts(w) && w.State == controlpb.WorkflowState_WORKFLOW_STATE_QUEUED {
			pending++
		}
	})
	return pending
}

// WorkflowEnded reports whether the state is final.
func WorkflowEnded(state controlpb.WorkflowState) bool {
	switch state {
	case controlpb.WorkflowState_WORKFLOW_STATE_COMPLETED,
		controlpb.WorkflowState_WORKFLOW_STATE_FAILED,
		controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED:
		return true
	}
	return false
}

// submitWorkflow accepts a workflow once: a second submission with the same id returns
// the existing one, if the caller is its owner.
func (s *State) submitWorkflow(op *controlpb.SubmitWorkflow) *controlpb.Result {
	caller, keyed := s.customerWithKey(op.Key)
	if known, ok := s.Workflow(op.Workflow.Id); ok {
		if known.Queue != op.Workflow.Queue {
			return refusal(0, failure.Conflict, "the id is in use in another queue")
		}
		if keyed && known.Customer != "" && known.Customer != caller.Name {
			return refusal(0, failure.Conflict, "the id is in use")
		}
		return &controlpb.Result{Workflow: known}
	}
	w := proto.CloneOf(op.Workflow)
	if keyed && w.Customer != "" {
		w.Customer = caller.Name
	}
	if service, declared := s.serviceOf(w); declared {
		// The caller was let in by a document that another one may have replaced since.
		w.Service = service
	}
	w.State = controlpb.WorkflowState_WORKFLOW_STATE_QUEUED
	w.SubmittedMs = s.timeMs
	if w.Repetitions == 0 {
		s.startRepetition(w)
	}
	s.putWorkflow(w)
	return &controlpb.Result{Workflow: w}
}

func (s *State) cancelWorkflow(op *controlpb.CancelWorkflow) *controlpb.Result {
	w, ok := s.Workflow(op.Id)
	if !ok || w.Queue != op.Queue {
		return refusal(0, failure.NotFound, "no such workflow")
	}
	if WorkflowEnded(w.State) {
		return &controlpb.Result{Workflow: w}
	}
	w = proto.CloneOf(w)
	s.endWorkflow(w, controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED)
	return &controlpb.Result{Workflow: w}
}

// startRepetitions starts repetitions up to the number that is due. Those that another
// leader has started are skipped.
func (s *State) startRepetitions(op *controlpb.StartRepetitions) *controlpb.Result {
	for _, due := range op.Due {
		w, ok := s.Workflow(due.Workflow)
		if !ok || WorkflowEnded(w.State) {
			continue
		}
		w = proto.CloneOf(w)
		for w.RepetitionsStarted < min(due.Started, w.Repetitions) {
			s.startRepetition(w)
		}
		s.putWorkflow(w)
	}
	return &controlpb.Result{}
}

func (s *State) startRepetition(w *controlpb.Workflow) {
	progress := &controlpb.RepetitionProgress{
		Number:  w.RepetitionsStarted,
		Done:    make([]uint32, len(w.Steps)),
		Started: make([]bool, len(w.Steps)),
	}
	w.RepetitionsStarted++
	w.Progress = append(w.Progress, progress)
	s.startReadySteps(w, progress)
}

// startReadySteps creates the jobs of each step whose predecessors are done.
func (s *State) startReadySteps(w *controlpb.Workflow, progress *controlpb.RepetitionProgress) {
	for number, step := range w.Steps {
		if progress.Started[number] || !ready(w, progress, step) {
			continue
		}
		progress.Started[number] = true
		s.startStep(w, progress, uint32(number))
	}
}

func ready(w *controlpb.Workflow, progress *controlpb.RepetitionProgress, step *controlpb.Step) bool {
	for _, earlier := range step.After {
		if progress.Done[earlier] < w.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// startStep creates one job for a gang step, and one job per task for any other step.
func (s *State) startStep(w *controlpb.Workflow, progress *controlpb.RepetitionProgress, number uint32) {
	step := w.Steps[number]
	job := s.stepJob(w, progress.Number, number)
	if step.Gang {
		job.Id = stepName(w.Id, progress.Number, number)
		job.Tasks = step.Count
		job.EndsTogether = w.SharedEnds
		s.putJob(job)
		return
	}
	for index := range step.Count {
		task := proto.CloneOf(job)
		task.Id = stepName(w.Id, progress.Number, number) + "." + strconv.Itoa(int(index))
		task.FirstTask = index
		task.Tasks = 1
		s.putJob(task)
	}
}

func stepName(workflow string, repetition, step uint32) string {
	return workflow + "." + strconv.Itoa(int(repetition)) + "." + strconv.Itoa(int(step))
}

// TaskName returns the name of a task of a workflow job: ID.REPETITION.STEP.INDEX.
func TaskName(job *controlpb.Job, task uint32) string {
	return stepName(job.Workflow, job.Repetition, job.Step) + "." + strconv.Itoa(int(job.FirstTask+task))
}

// stepJob returns a job with the fields that all jobs of a step share.
func (s *State) stepJob(w *controlpb.Workflow, repetition, number uint32) *controlpb.Job {
	step := w.Steps[number]
	return &controlpb.Job{
		Customer:       w.Customer,
		WorkClass:      workClass(w),
		Accelerators:   step.Accelerators,
		CoresMilli:     step.CoresMilli,
		MemoryMb:       step.MemoryMb,
		RunTimeMs:      step.RunTimeMs,
		DeadlineMs:     targetCompletion(w, repetition, s.timeMs),
		Priority:       w.Priority,
		Urgent:         w.Priority == 0,
		Idempotent:     true,
		Checkpointable: step.Checkpointable,
		SubmittedMs:    s.timeMs,
		State:          controlpb.JobState_JOB_STATE_WAITING,
		Workflow:       w.Id,
		Repetition:     repetition,
		Step:           number,
		Requirement:    step.Requirement,
		DataRack:       step.DataRack,
		SpreadLimit:    step.SpreadLimit,
		Service:        w.Service,
		MaxAttempts:    w.MaxAttempts,
		TightlyCoupled: step.TightlyCoupled,
	}
}

// workClass returns the class under which run times and interference of a workflow's jobs are learnt:
// the place of its queue, since a document may exchange the names of two queues.
func workClass(w *controlpb.Workflow) string { return cmp.Or(w.Place, w.Queue) }

// targetCompletion returns the time, in Unix milliseconds, by which a repetition should be
// complete: the critical path of the estimated run times multiplied by the queue's slack,
// plus its target latency.
func targetCompletion(w *controlpb.Workflow, repetition uint32, nowMs int64) int64 {
	from := w.SubmittedMs
	if w.Repetitions > 0 {
		from = w.FirstDueMs + int64(repetition)*w.EveryMs
	}
	if from == 0 {
		from = nowMs
	}
	return from + criticalPath(w)*int64(w.SlackThousandths)/1000 + w.TargetLatencyMs
}

func criticalPath(w *controlpb.Workflow) int64 {
	chains := make([]int64, len(w.Steps))
	longest := int64(0)
	for number, step := range w.Steps {
		for _, earlier := range step.After {
			chains[number] = max(chains[number], chains[earlier])
		}
		chains[number] += step.RunTimeMs
		longest = max(longest, chains[number])
	}
	return longest
}

// workflowJobStarted marks the job's workflow as running.
func (s *State) workflowJobStarted(job *controlpb.Job) {
	w, ok := s.Workflow(job.Workflow)
	if !ok || w.State != controlpb.WorkflowState_WORKFLOW_STATE_QUEUED {
		return
	}
	w = proto.CloneOf(w)
	w.State = controlpb.WorkflowState_WORKFLOW_STATE_RUNNING
	s.putWorkflow(w)
}

// workflowJobEnded advances the workflow of a job that has ended. Jobs of an ended
// workflow are removed as they end, because nothing refers to them.
func (s *State) workflowJobEnded(job *controlpb.Job) {
	w, ok := s.Workflow(job.Workflow)
	if !ok || WorkflowEnded(w.State) {
		s.jobs, _, _ = s.jobs.Delete([]byte(job.Id))
		return
	}
	w = proto.CloneOf(w)
	switch job.State {
	case controlpb.JobState_JOB_STATE_COMPLETED:
		s.workflowJobCompleted(w, job)
	case controlpb.JobState_JOB_STATE_PARKED:
		if failures := job.Failures; len(failures) > 0 {
			w.Failure = failures[len(failures)-1]
		}
		s.endWorkflow(w, controlpb.WorkflowState_WORKFLOW_STATE_FAILED)
	}
}

func (s *State) workflowJobCompleted(w *controlpb.Workflow, job *controlpb.Job) {
	for at, progress := range w.Progress {
		if progress.Number != job.Repetition {
			continue
		}
		progress.Done[job.Step] += job.Tasks
		if !allDone(w, progress) {
			s.startReadySteps(w, progress)
			break
		}
		w.Progress = append(w.Progress[:at:at], w.Progress[at+1:]...)
		w.RepetitionsDone++
		break
	}
	if w.RepetitionsDone >= max(w.Repetitions, 1) {
		s.endWorkflow(w, controlpb.WorkflowState_WORKFLOW_STATE_COMPLETED)
		return
	}
	s.putWorkflow(w)
}

func allDone(w *controlpb.Workflow, progress *controlpb.RepetitionProgress) bool {
	for number, step := range w.Steps {
		if progress.Done[number] < step.Count {
			return false
		}
	}
	return true
}

// endWorkflow ends a workflow and stops its open jobs. Fields needed only while it runs
// are cleared: an ended workflow is retained for minutes so that its state can be queried,
// and is part of the snapshot sent to every instance that starts without state.
func (s *State) endWorkflow(w *controlpb.Workflow, state controlpb.WorkflowState) {
	w.State = state
	w.EndedMs = s.timeMs
	w.Specification, w.Steps, w.Progress = "", nil, nil
	s.putWorkflow(w)
	for _, job := range s.WorkflowJobs(w.Id) {
		if state == controlpb.WorkflowState_WORKFLOW_STATE_FAILED {
			s.clearJobFailures(job)
		}
		if Ended(job.State) {
			s.jobs, _, _ = s.jobs.Delete([]byte(job.Id))
			continue
		}
		job = proto.CloneOf(job)
		s.stop(job, controlpb.JobState_JOB_STATE_CANCELLED)
		s.putJob(job)
	}
}

// WorkflowJobs lists the retained jobs of a workflow.
func (s *State) WorkflowJobs(workflow string) []*controlpb.Job {
	var jobs []*controlpb.Job
	s.jobs.Root().WalkPrefix([]byte(workflow+"."), func(_ []byte, job *controlpb.Job) bool {
		// The id of another workflow may begin with this workflow's id and a dot.
		if job.Workflow == workflow {
			jobs = append(jobs, job)
		}
		return false
	})
	return jobs
}

func (s *State) putWorkflow(w *controlpb.Workflow) {
	key := []byte(w.Id)
	s.workflows, _, _ = s.workflows.Insert(key, w)
	if WorkflowEnded(w.State) {
		s.openWorkflows, _, _ = s.openWorkflows.Delete(key)
		return
	}
	s.openWorkflows, _, _ = s.openWorkflows.Insert(key, w)
}

func (s *State) restoreWorkflows(workflows []*controlpb.Workflow) {
	for _, w := range workflows {
		s.putWorkflow(w)
	}
}

// workflowExpired reports whether the workflow has ended and is past its retention.
func (s *State) workflowExpired(w *controlpb.Workflow) bool {
	return WorkflowEnded(w.State) && w.EndedMs < s.timeMs-endedWorkflowRetention
}
