package store

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// moveWorkToItsService gives the work of each queue that a document has sent to another service the
// service of now. What runs goes on where it is; all that starts later starts at the new one. The
// former service may have no worker any more, and work that waited for it would never run.
func (s *State) moveWorkToItsService() {
	var moved []*controlpb.Workflow
	walk(s.openWorkflows, func(_ string, w *controlpb.Workflow) {
		if service, declared := s.serviceOf(w); declared && service != w.Service {
			moved = append(moved, w)
		}
	})
	for _, w := range moved {
		service, _ := s.serviceOf(w)
		w = proto.CloneOf(w)
		w.Service = service
		s.putWorkflow(w)
		s.moveJobsTo(w.Id, service)
	}
}

func (s *State) moveJobsTo(workflow, service string) {
	for _, job := range s.WorkflowJobs(workflow) {
		if Ended(job.State) {
			continue
		}
		job = proto.CloneOf(job)
		job.Service = service
		s.putJob(job)
	}
}

// serviceOf returns the service that runs a workflow's work, if its queue is declared. A workflow of an
// earlier version of the program has no place and is known by the name of its queue.
func (s *State) serviceOf(w *controlpb.Workflow) (service string, declared bool) {
	if w.Place != "" {
		item, ok := s.items.Get([]byte(w.Place))
		return item.GetQueue().GetService(), ok
	}
	for _, queue := range s.Queues() {
		if queue.Name == w.Queue {
			return queue.Service, true
		}
	}
	return "", false
}
