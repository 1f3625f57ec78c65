package httpapi

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/coordination/workflows"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func (s *Server) submitWorkflow(w http.ResponseWriter, r *http.Request, customer string) {
	request := api.WorkflowRequest{}
	if err := readJSON(r, &request); err != nil {
		writeError(w, err)
		return
	}
	if err := s.control.CheckFresh(); err != nil {
		writeError(w, err)
		return
	}
	if !jobKeyPattern.MatchString(request.Key) {
		writeError(w, failure.New(failure.BadRequest, "a key is at most %d letters, digits and '.', '_', ':', '-'", maxKeyLength))
		return
	}
	workflow := request.Decode()
	if err := workflows.Check(workflow); err != nil {
		writeError(w, err)
		return
	}
	key := request.Key
	if key == "" {
		key = ulid.Make().String()
	}
	workflow.Id = customer + ":" + key
	workflow.Customer = customer
	s.proposeWorkflow(w, r, &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: workflow}}})
}

func (s *Server) cancelWorkflow(w http.ResponseWriter, r *http.Request, customer string) {
	workflow, err := s.findWorkflow(r, customer)
	if err != nil {
		writeError(w, err)
		return
	}
	cancel := &controlpb.CancelWorkflow{Id: workflow.Id, Queue: workflow.Queue}
	s.proposeWorkflow(w, r, &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: cancel}})
}

func (s *Server) proposeWorkflow(w http.ResponseWriter, r *http.Request, command *controlpb.Command) {
	result, err := s.propose(r, command)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.describeWorkflow(result.Workflow))
}

func (s *Server) getWorkflow(w http.ResponseWriter, r *http.Request, customer string) {
	workflow, err := s.findWorkflow(r, customer)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.describeWorkflow(workflow))
}

// findWorkflow returns the workflow if it belongs to the customer; a workflow of another
// customer is reported as not found.
func (s *Server) findWorkflow(r *http.Request, customer string) (*controlpb.Workflow, error) {
	workflow, ok := s.control.State().Workflow(mux.Vars(r)["id"])
	if !ok || (customer != allCustomers && workflow.Customer != customer) {
		return nil, failure.New(failure.NotFound, "no such workflow")
	}
	return workflow, nil
}

func (s *Server) describeWorkflow(workflow *controlpb.Workflow) *api.Workflow {
	const prefix = "WORKFLOW_STATE_"
	described := &api.Workflow{
		ID:              workflow.Id,
		Customer:        workflow.Customer,
		State:           strings.ToLower(strings.TrimPrefix(workflow.State.String(), prefix)),
		Repetitions:     workflow.Repetitions,
		RepetitionsDone: workflow.RepetitionsDone,
		SubmittedMs:     workflow.SubmittedMs,
		EndedMs:         workflow.EndedMs,
	}
	for _, job := range s.control.State().WorkflowJobs(workflow.Id) {
		described.Jobs = append(described.Jobs, describe(job))
	}
	return described
}
