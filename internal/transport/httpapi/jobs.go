package httpapi

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/inventory"
	"pinewinch.example/pinewinch/internal/coordination/report"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// jobKeyPattern limits keys to characters that are safe in URL paths and tables: a job ID
// ends in its key.
var jobKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{0,128}$`)

// Explainer returns why jobs wait, from whichever instance made the newest pass.
type Explainer interface {
	// Explain returns an explanation without a code if no pass left the job waiting.
	Explain(ctx context.Context, job string) (*peerpb.Explanation, error)
	// Interference returns the pairs of classes that the leader has observed.
	Interference(ctx context.Context) (*peerpb.Interference, error)
}

func describe(job *controlpb.Job) api.Job {
	described := api.Job{
		ID:          job.Id,
		Customer:    job.Customer,
		WorkClass:   job.WorkClass,
		Entry:       job.Entry,
		State:       report.StateName(job.State),
		Tasks:       job.Tasks,
		Attempts:    job.Attempts,
		SubmittedMs: job.SubmittedMs,
		StartedMs:   job.StartedMs,
		EndedMs:     job.EndedMs,
	}
	for _, placement := range job.Placements {
		described.Workers = append(described.Workers, placement.Worker)
	}
	for _, f := range job.Failures {
		described.Failures = append(described.Failures, describeFailure(f))
	}
	return described
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, customer string) {
	submit := api.SubmitRequest{}
	if err := readJSON(r, &submit); err != nil {
		writeError(w, err)
		return
	}
	if err := s.control.CheckFresh(); err != nil {
		writeError(w, err)
		return
	}
	class, ok := s.control.State().WorkClass(submit.WorkClass)
	if !ok {
		writeError(w, failure.New(failure.NotFound, "no class of work %q", submit.WorkClass))
		return
	}
	if err := s.checkSubmit(class); err != nil {
		writeError(w, err)
		return
	}
	if !jobKeyPattern.MatchString(submit.Key) {
		writeError(w, failure.New(failure.BadRequest, "a key is at most %d letters, digits and '.', '_', ':', '-'", maxKeyLength))
		return
	}
	key := submit.Key
	if key == "" {
		key = ulid.Make().String()
	}
	job := inventory.NewJob(customer+":"+key, customer, class, time.Now())
	s.proposeJob(w, r, &controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}})
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, customer string) {
	cancel := &controlpb.CancelJob{Id: mux.Vars(r)["id"], Customer: customer}
	s.proposeJob(w, r, &controlpb.Command{Op: &controlpb.Command_Cancel{Cancel: cancel}})
}

func (s *Server) proposeJob(w http.ResponseWriter, r *http.Request, command *controlpb.Command) {
	result, err := s.propose(r, command)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, describe(result.Job))
}

// propose commits a command, turns a rejection by the state into a failure, and waits
// until this instance has applied an accepted one.
func (s *Server) propose(r *http.Request, command *controlpb.Command) (*controlpb.Result, error) {
	result, err := s.control.Propose(r.Context(), command)
	if err != nil {
		return nil, err
	}
	if result.Code != "" {
		f := failure.New(failure.Code(result.Code), "%s", result.Detail)
		f.Revision = result.Revision
		if f.Code == failure.StaleSequence {
			// The result is no longer kept; the command may have run.
			f.NotRun = failure.NotRunUnknown
		}
		return nil, f
	}
	s.awaitApplied(r.Context(), result.Index)
	return result, nil
}

// applyTimeout limits the wait until this instance applies an accepted command.
const applyTimeout = time.Second

// awaitApplied waits until this instance has applied the log up to the index, so that
// callers read their own writes: a job that was just submitted could otherwise be unknown
// at the same instance. The command is accepted even if the wait times out.
func (s *Server) awaitApplied(ctx context.Context, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	_ = control.AwaitIndex(ctx, s.control, index)
}

func (s *Server) listJobs(w http.ResponseWriter, _ *http.Request, customer string) {
	jobs := []api.Job{}
	for _, job := range s.control.State().Jobs() {
		if customer == allCustomers || job.Customer == customer {
			jobs = append(jobs, describe(job))
		}
	}
	writeJSON(w, jobs)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request, customer string) {
	job, err := s.findJob(r, customer)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, describe(job))
}

// findJob returns the job if it belongs to the customer; a job of another customer is
// reported as not found.
func (s *Server) findJob(r *http.Request, customer string) (*controlpb.Job, error) {
	job, ok := s.control.State().Job(mux.Vars(r)["id"])
	if !ok || (customer != allCustomers && job.Customer != customer) {
		return nil, failure.New(failure.NotFound, "no such job")
	}
	return job, nil
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, customer string) {
	assessed := crashes.Assess(s.control.State().Crashes())
	job, err := s.findJob(r, customer)
	if failure.Is(err, failure.NotFound) {
		s.explainWorkflow(w, r, customer, assessed)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	explanation := api.Explanation{Job: describe(job), Crashes: assessed.Describe(job.Id)}
	if job.State != controlpb.JobState_JOB_STATE_WAITING {
		writeJSON(w, explanation)
		return
	}
	reason, err := s.explainer.Explain(r.Context(), job.Id)
	if err != nil {
		writeError(w, err)
		return
	}
	explanation.Reason = reason.Code
	explanation.Wanted = reason.Wanted
	explanation.Free = reason.Free
	writeJSON(w, explanation)
}

// explainWorkflow answers for the workflow that the id names, or that a removed job with the
// id belonged to.
func (s *Server) explainWorkflow(w http.ResponseWriter, r *http.Request, customer string, assessed *crashes.Assessment) {
	id, _, _ := strings.Cut(mux.Vars(r)["id"], ".")
	workflow, ok := s.control.State().Workflow(id)
	if !ok || (customer != allCustomers && workflow.Customer != customer) {
		writeError(w, failure.New(failure.NotFound, "no such job"))
		return
	}
	explanation := api.Explanation{Crashes: assessed.DescribeWorkflow(id), Job: api.Job{
		ID: id, Customer: workflow.Customer, WorkClass: workflow.Queue, SubmittedMs: workflow.SubmittedMs, EndedMs: workflow.EndedMs,
		State: strings.ToLower(strings.TrimPrefix(workflow.State.String(), "WORKFLOW_STATE_")),
	}}
	if f := workflow.Failure; f != nil {
		explanation.Job.Failures = []string{describeFailure(f)}
	}
	writeJSON(w, explanation)
}

// describeFailure names the worker first if the failure is one of a worker.
func describeFailure(f *controlpb.TaskFailure) string {
	described := f.Code + ": " + f.Detail
	if f.Worker == "" {
		return described
	}
	return f.Worker + ": " + described
}
