package store

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const place = "queue/h/p/"

// sendQueue applies a document that sends the queue at place to a service, or has no queue if it is empty.
func (l *workflowLog) sendQueue(version uint64, name, service string) {
	replace := &controlpb.ReplaceDeclarations{Document: &controlpb.Document{Version: version}}
	if service != "" {
		replace.Items = append(replace.Items, &controlpb.Item{Key: place, Body: &controlpb.Item_Queue{Queue: &controlpb.Queue{
			Name: name, Host: "h", PathPrefix: "/p/", Service: service,
		}}})
	}
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_Replace{Replace: replace}})
}

// services returns the service of each job of a workflow, in their order, and last that of the workflow.
func (l *workflowLog) services(id string) []string {
	var services []string
	for _, job := range l.state.WorkflowJobs(id) {
		services = append(services, job.Service)
	}
	w, _ := l.state.Workflow(id)
	return append(services, w.Service)
}

// twoTasks is a workflow of two tasks and one that follows, three times.
func twoTasks(id, place, queue, service string) *controlpb.Workflow {
	return &controlpb.Workflow{
		Id: id, Place: place, Queue: queue, Service: service, MaxAttempts: 3,
		Steps: []*controlpb.Step{{Count: 2}, {Count: 1, After: []uint32{0}}},
	}
}

// Guards against accepted work that is never run: its queue has been sent to another service, and the
// former one has lost its last worker.
func TestWorkFollowsItsQueueToAnotherService(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.sendQueue(1, "q", "a")
	l.submit(0, twoTasks("w", place, "q", "a"))
	is.Equal(l.services("w"), []string{"a", "a", "a"})

	epoch := l.place("w.0.0.0")
	l.sendQueue(2, "renamed", "b")
	is.Equal(l.services("w"), []string{"b", "b", "b"})
	running, _ := l.state.Job("w.0.0.0")
	is.Equal(running.State, controlpb.JobState_JOB_STATE_RUNNING) // what runs goes on
	is.Equal(running.Epoch, epoch)

	l.sendQueue(3, "q", "a") // and back
	is.Equal(l.services("w"), []string{"a", "a", "a"})
	l.sendQueue(4, "q", "") // a queue that is removed leaves its work where it is
	is.Equal(l.services("w"), []string{"a", "a", "a"})
	l.sendQueue(5, "q", "c")
	is.Equal(l.services("w"), []string{"c", "c", "c"})
}

// The same for steps and repetitions that begin after the change, and for what a restart restores.
func TestLaterStepsFollowTheQueue(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.sendQueue(1, "q", "a")
	repeated := twoTasks("r", place, "q", "a")
	repeated.Repetitions, repeated.EveryMs = 2, 1000
	l.submit(0, twoTasks("w", place, "q", "a"))
	l.submit(0, repeated)
	l.sendQueue(2, "q", "b")
	l.state = Restore(l.state.Snapshot())
	l.finish("w.0.0.0")
	l.finish("w.0.0.1")
	step, _ := l.state.Job("w.0.1.0")
	is.Equal(step.Service, "b")
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_StartRepetitions{StartRepetitions: &controlpb.StartRepetitions{Due: []*controlpb.DueRepetitions{{Workflow: "r", Started: 1}}}}})
	is.Equal(l.services("r"), []string{"b", "b", "b"})
}

// A submission is let in by one document and committed after the next.
func TestSubmissionCommittedAfterADocumentGetsItsService(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.sendQueue(1, "q", "a")
	l.sendQueue(2, "q", "b")
	l.submit(0, twoTasks("w", place, "q", "a"))
	is.Equal(l.services("w"), []string{"b", "b", "b"})
	l.submit(0, twoTasks("elsewhere", "queue/h/other/", "q", "a"))
	is.Equal(l.services("elsewhere"), []string{"a", "a", "a"})
}

// Work of an earlier version of the program has no place and is known by the name of its queue.
func TestWorkWithoutAPlaceFollowsTheNameOfItsQueue(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.submit(0, twoTasks("w", "", "q", "a"))
	l.sendQueue(1, "q", "b")
	is.Equal(l.services("w"), []string{"b", "b", "b"})
	l.sendQueue(2, "p", "c")
	is.Equal(l.services("w"), []string{"b", "b", "b"})
}

// A job that has ended, and one that is cancelled, keep what they had.
func TestEndedWorkKeepsItsService(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.sendQueue(1, "q", "a")
	l.submit(0, twoTasks("w", place, "q", "a"))
	l.finish("w.0.0.0")
	l.submit(0, twoTasks("cancelled", place, "q", "a"))
	l.cancel("cancelled")
	l.sendQueue(2, "q", "b")
	done, known := l.state.Job("w.0.0.0")
	is.True(!known || done.Service == "a")
	w, _ := l.state.Workflow("cancelled")
	is.Equal(w.Service, "a")
}
