package store

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// workflowLog applies commands at increasing log indexes.
type workflowLog struct {
	t     *testing.T
	state *State
}

func newWorkflowLog(t *testing.T) *workflowLog { return &workflowLog{t: t, state: New()} }

func (l *workflowLog) apply(timeMs int64, command *controlpb.Command) *controlpb.Result {
	l.t.Helper()
	command.TimeMs = timeMs
	next, result := l.state.Apply(l.state.Index()+1, command)
	l.state = next
	return result
}

func (l *workflowLog) submit(timeMs int64, w *controlpb.Workflow) *controlpb.Result {
	return l.apply(timeMs, &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: w}}})
}

func (l *workflowLog) cancel(id string) *controlpb.Result {
	return l.apply(0, &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}})
}

// place places a waiting job, reports it running, and returns its epoch.
func (l *workflowLog) place(job string) uint64 {
	l.t.Helper()
	placed, ok := l.state.Job(job)
	if !ok {
		l.t.Fatalf("no job %s", job)
	}
	assignment := &controlpb.Assignment{Job: job, Epoch: placed.Epoch}
	for task := range placed.Tasks {
		assignment.Placements = append(assignment.Placements, &controlpb.Placement{Task: task, Worker: "i-1", Incarnation: 1})
	}
	plan := &controlpb.CommitPlan{Assignments: []*controlpb.Assignment{assignment}}
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_Plan{Plan: plan}})
	l.move(&controlpb.MoveJob{Job: job, Epoch: placed.Epoch + 1, State: controlpb.JobState_JOB_STATE_RUNNING})
	return placed.Epoch + 1
}

func (l *workflowLog) move(move *controlpb.MoveJob) {
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_Move{Move: move}})
}

func (l *workflowLog) finish(job string) {
	l.t.Helper()
	epoch := l.place(job)
	done := &controlpb.FinishTasks{}
	placed, _ := l.state.Job(job)
	for task := range placed.Tasks {
		done.Tasks = append(done.Tasks, &controlpb.FinishedTask{Job: job, Epoch: epoch, Task: task})
	}
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_Finish{Finish: done}})
}

func (l *workflowLog) stateOf(id string) controlpb.WorkflowState {
	w, ok := l.state.Workflow(id)
	if !ok {
		return controlpb.WorkflowState_WORKFLOW_STATE_UNSPECIFIED
	}
	return w.State
}

func (l *workflowLog) waiting() []string {
	var ids []string
	for _, job := range l.state.ActiveJobs() {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			ids = append(ids, job.Id)
		}
	}
	return ids
}

const (
	queued    = controlpb.WorkflowState_WORKFLOW_STATE_QUEUED
	running   = controlpb.WorkflowState_WORKFLOW_STATE_RUNNING
	completed = controlpb.WorkflowState_WORKFLOW_STATE_COMPLETED
	failed    = controlpb.WorkflowState_WORKFLOW_STATE_FAILED
	cancelled = controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED
)

// diamond returns a workflow of a gang of 2, followed by two single tasks in parallel with a
// gang of 3, followed by one task.
func diamond() *controlpb.Workflow {
	return &controlpb.Workflow{Id: "w", Queue: "q", MaxAttempts: 2, SlackThousandths: 2000, TargetLatencyMs: 10, Steps: []*controlpb.Step{
		{Count: 2, Gang: true, RunTimeMs: 100},
		{Count: 2, RunTimeMs: 50, After: []uint32{0}},
		{Count: 3, Gang: true, RunTimeMs: 70, After: []uint32{0}},
		{Count: 1, RunTimeMs: 30, After: []uint32{1, 2}},
	}}
}

func TestStepsBecomeJobsAsTheirPredecessorsEnd(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(1000, diamond())
	is.Equal(l.stateOf("w"), queued)
	is.Equal(l.state.Pending(func(w *controlpb.Workflow) bool { return w.Queue == "q" }), 1)
	is.Equal(l.waiting(), []string{"w.0.0"})
	l.finish("w.0.0")
	is.Equal(l.stateOf("w"), running)
	is.Equal(l.state.Pending(func(w *controlpb.Workflow) bool { return w.Queue == "q" }), 0)
	is.Equal(l.waiting(), []string{"w.0.1.0", "w.0.1.1", "w.0.2"})
	l.finish("w.0.1.0")
	l.finish("w.0.2")
	is.Equal(l.waiting(), []string{"w.0.1.1"})
	l.finish("w.0.1.1")
	is.Equal(l.waiting(), []string{"w.0.3.0"})
	job, _ := l.state.Job("w.0.3.0")
	is.Equal(job.DeadlineMs, int64(1000+2*(100+70+30)+10)) // the critical path times the slack
	l.finish("w.0.3.0")
	is.Equal(l.stateOf("w"), completed)
	is.Equal(len(l.state.Jobs()), 0)
}

// The response to a submission is lost and the caller resends it, possibly seconds later.
// It must remain one workflow, and the same id in another queue must not replace it.
func TestResentSubmissionStaysOneWorkflow(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, diamond())
	l.finish("w.0.0")
	again := l.submit(0, diamond())
	is.Equal(again.Code, "")
	is.Equal(again.Workflow.State, running)
	is.Equal(len(l.waiting()), 3)
	other := diamond()
	other.Queue = "other"
	is.Equal(l.submit(0, other).Code, string(failure.Conflict))
}

// A task fails as often as its queue allows, where a run whose lease was lost doesn't
// count. The workflow then fails, and its other tasks are stopped.
func TestWorkflowFailsWithTheLastAttemptOfATask(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	w := &controlpb.Workflow{Id: "w", Queue: "q", MaxAttempts: 2, Steps: []*controlpb.Step{{Count: 2}}}
	l.submit(0, w)
	sibling := l.place("w.0.0.1")
	fail := func(code failure.Code, then controlpb.JobState) {
		epoch := l.place("w.0.0.0")
		failure := &controlpb.TaskFailure{Worker: "i-1", Code: string(code)}
		l.move(&controlpb.MoveJob{Job: "w.0.0.0", Epoch: epoch, State: controlpb.JobState_JOB_STATE_STOPPING, Failure: failure})
		l.move(&controlpb.MoveJob{Job: "w.0.0.0", Epoch: epoch, State: then})
	}
	fail(failure.TaskFailed, controlpb.JobState_JOB_STATE_WAITING)
	fail(failure.LeaseLost, controlpb.JobState_JOB_STATE_WAITING)
	job, _ := l.state.Job("w.0.0.0")
	is.Equal(job.OwnFailures, uint32(1))
	fail(failure.TaskFailed, controlpb.JobState_JOB_STATE_PARKED)
	is.Equal(l.stateOf("w"), failed)
	rest, _ := l.state.Job("w.0.0.1")
	is.Equal(rest.State, controlpb.JobState_JOB_STATE_STOPPING)
	l.move(&controlpb.MoveJob{Job: "w.0.0.1", Epoch: sibling, State: controlpb.JobState_JOB_STATE_CANCELLED})
	is.Equal(len(l.state.Jobs()), 0)
}

// A few workflows that can never succeed must not put healthy workers in quarantine. Their
// tasks fail on many workers, and if only the failures of the task that used up its attempts
// were cleared, those of its sibling tasks would still count against the workers.
func TestFailedWorkflowQuarantinesNoWorkers(t *testing.T) {
	is := is.New(t)
	l := newWorkflowLog(t)
	l.submit(0, &controlpb.Workflow{Id: "w", Queue: "q", MaxAttempts: 2, Steps: []*controlpb.Step{{Count: 4}}})
	fail := func(job string) {
		failed := &controlpb.TaskFailure{Worker: "i-1", Code: string(failure.TaskFailed)}
		epoch := l.place(job)
		l.move(&controlpb.MoveJob{Job: job, Epoch: epoch, State: controlpb.JobState_JOB_STATE_STOPPING, Failure: failed})
		l.move(&controlpb.MoveJob{Job: job, Epoch: epoch, State: controlpb.JobState_JOB_STATE_WAITING})
	}
	for _, job := range []string{"w.0.0.0", "w.0.0.1", "w.0.0.2"} {
		fail(job)
	}
	is.Equal(l.state.Health("i-1").GetConsecutive(), uint32(3))
	parked, _ := l.state.Job("w.0.0.0")
	l.move(&controlpb.MoveJob{Job: parked.Id, Epoch: parked.Epoch, State: controlpb.JobState_JOB_STATE_PARKED})
	is.Equal(l.stateOf("w"), controlpb.WorkflowState_WORKFLOW_STATE_FAILED)
	is.Equal(l.state.Health("i-1"), nil)
}

// A failure is reported twice for one run, for example by a member of a gang and again with
// its stop. It counts as one failed attempt.
func TestOneRunFailsOnce(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, &controlpb.Workflow{Id: "w", Queue: "q", MaxAttempts: 3, Steps: []*controlpb.Step{{Count: 1}}})
	epoch := l.place("w.0.0.0")
	own := &controlpb.TaskFailure{Worker: "i-1", Code: string(failure.TaskFailed)}
	l.move(&controlpb.MoveJob{Job: "w.0.0.0", Epoch: epoch, State: controlpb.JobState_JOB_STATE_STOPPING, Failure: own})
	l.move(&controlpb.MoveJob{Job: "w.0.0.0", Epoch: epoch, State: controlpb.JobState_JOB_STATE_WAITING, Failure: own, Checkpoint: "c1"})
	job, _ := l.state.Job("w.0.0.0")
	is.Equal(job.OwnFailures, uint32(1))
	is.Equal(job.Checkpoint, "c1")
}

// A workflow with waiting tasks, running tasks and steps that aren't ready is cancelled.
// None of it starts afterwards, and a repeated cancellation is acknowledged.
func TestCancelledWorkflowStartsNothing(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, diamond())
	l.finish("w.0.0")
	epoch := l.place("w.0.1.0")
	is.Equal(l.cancel("w").Code, "")
	is.Equal(l.cancel("w").Code, "")
	is.Equal(l.stateOf("w"), cancelled)
	is.Equal(len(l.waiting()), 0)
	l.move(&controlpb.MoveJob{Job: "w.0.1.0", Epoch: epoch, State: controlpb.JobState_JOB_STATE_WAITING})
	is.Equal(len(l.waiting()), 0)
	is.Equal(len(l.state.Jobs()), 0)
	is.Equal(l.cancel("none").Code, string(failure.NotFound))
}

// Two leaders start due repetitions, the second one from an older state. Each repetition
// starts once, and the workflow completes with the last one.
func TestOccurrencesStartOnce(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, &controlpb.Workflow{Id: "w", Queue: "q", FirstDueMs: 1000, EveryMs: 500, Repetitions: 3, Steps: []*controlpb.Step{{Count: 1}}})
	is.Equal(len(l.waiting()), 0)
	start := func(number uint32) {
		due := []*controlpb.DueRepetitions{{Workflow: "w", Started: number}}
		l.apply(0, &controlpb.Command{Op: &controlpb.Command_StartRepetitions{StartRepetitions: &controlpb.StartRepetitions{Due: due}}})
	}
	start(2)
	start(1)
	is.Equal(l.waiting(), []string{"w.0.0.0", "w.1.0.0"})
	l.finish("w.1.0.0")
	l.finish("w.0.0.0")
	is.Equal(l.stateOf("w"), running)
	start(9)
	is.Equal(l.waiting(), []string{"w.2.0.0"})
	l.finish("w.2.0.0")
	is.Equal(l.stateOf("w"), completed)
}

// A replica restores a snapshot in the middle of a workflow. The same commands must lead to
// the same state as on the other replicas.
func TestSnapshotInTheMiddleOfAWorkflow(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, diamond())
	l.finish("w.0.0")
	restored := &workflowLog{t: t, state: Restore(l.state.Snapshot())}
	for _, log := range []*workflowLog{l, restored} {
		log.finish("w.0.1.0")
		log.finish("w.0.2")
		log.finish("w.0.1.1")
	}
	is.True(proto.Equal(l.state.Snapshot(), restored.state.Snapshot()))
	is.Equal(restored.waiting(), []string{"w.0.3.0"})
}

func document(version uint64, content string, queues ...string) *controlpb.Command {
	replace := &controlpb.ReplaceDeclarations{Document: &controlpb.Document{Version: version, Content: []byte(content)}}
	for _, queue := range queues {
		replace.Items = append(replace.Items, &controlpb.Item{
			Key:  "queue/" + queue,
			Body: &controlpb.Item_Queue{Queue: &controlpb.Queue{Name: queue}},
		})
	}
	return &controlpb.Command{Op: &controlpb.Command_Replace{Replace: replace}}
}

// Documents arrive late, repeatedly, and with other content under a version already in use.
// All are acknowledged; only a higher version changes the state.
func TestOnlyAHigherVersionReplacesTheDeclarations(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.apply(0, document(7, "seven", "a", "b"))
	is.Equal(len(l.state.Queues()), 2)
	for _, late := range []*controlpb.Command{document(7, "other", "c"), document(5, "five", "c")} {
		is.Equal(l.apply(0, late).Code, "")
		is.Equal(string(l.state.Document().Content), "seven")
		is.Equal(len(l.state.Queues()), 2)
	}
	before := l.state.Revision()
	l.apply(0, document(9, "nine", "b"))
	is.Equal(l.state.Revision(), before+1)
	is.Equal(len(l.state.Queues()), 1)
}

// Ended workflows are retained for minutes and are part of the snapshot that an instance
// starting without state gets, possibly over a slow link. Specifications may have 4,000
// bytes each.
func TestEndedWorkflowIsSmall(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	w := &controlpb.Workflow{Id: "w", Queue: "q", Specification: string(make([]byte, 4000)), Steps: []*controlpb.Step{{Count: 1}}}
	l.submit(0, w)
	is.True(proto.Size(l.state.Snapshot()) > 4000)
	l.cancel("w")
	is.Equal(l.stateOf("w"), controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED)
	is.True(proto.Size(l.state.Snapshot()) < 200)
	is.Equal(l.submit(0, w).Workflow.State, controlpb.WorkflowState_WORKFLOW_STATE_CANCELLED)
}

// Two queues exchange names, and the run times of the one are taken for the other's.
func TestClassesOfQueuesThatExchangeNames(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	classOf := func(id, queue, place string) string {
		w := diamond()
		w.Id, w.Queue, w.Place = id, queue, place
		l.submit(1000, w)
		job, _ := l.state.Job(id + ".0.0")
		return job.WorkClass
	}
	before, renamed := classOf("w1", "a", "queue/h/p/"), classOf("w2", "b", "queue/h/p/")
	is.Equal(before, renamed)
	is.True(before != classOf("w3", "a", "queue/h/q/"))
	is.Equal(classOf("w4", "a", ""), "a") // of an earlier version
}
