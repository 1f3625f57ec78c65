// Package api holds the JSON messages of the HTTP interfaces: callers,
// operators, workers and minions. Paths are versioned.
package api

import (
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Paths that an instance serves to callers and operators.
const (
	PathRequests     = "/v1/requests/{service}"
	PathAnswer       = "/v1/answers/{key}"
	PathJobs         = "/v1/jobs"
	PathJob          = "/v1/jobs/{id}"
	PathWorkflows    = "/v1/workflows"
	PathWorkflow     = "/v1/workflows/{id}"
	PathDeclarations = "/v1/declarations"
	PathStatus       = "/v1/status"
	PathExplain      = "/v1/explain/{id}"
	PathMembers      = "/v1/members"
	PathDrain        = "/v1/upstreams/{id}/drain"
	PathState        = "/debug/state"
	PathVars         = "/debug/vars"
	PathHealthy      = "/healthz"
	PathReady        = "/readyz"
)

// ErrorBody is the body of every answer that is an error.
type ErrorBody struct {
	Code         failure.Code   `json:"code"`
	Message      string         `json:"message"`
	NotRun       failure.NotRun `json:"not_run"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
	Revision     uint64         `json:"revision,omitempty"`
}

// SubmitRequest asks for one job of a declared class. The same key again gets
// the same job.
type SubmitRequest struct {
	Key       string `json:"key"`
	WorkClass string `json:"class"`
}

// Job is a job as callers see it.
type Job struct {
	ID          string   `json:"id"`
	Customer    string   `json:"customer"`
	WorkClass   string   `json:"class"`
	Entry       string   `json:"entry,omitempty"`
	State       string   `json:"state"`
	Tasks       uint32   `json:"tasks"`
	Attempts    uint32   `json:"attempts"`
	Workers     []string `json:"workers,omitempty"`
	SubmittedMs int64    `json:"submitted_ms"`
	StartedMs   int64    `json:"started_ms,omitempty"`
	EndedMs     int64    `json:"ended_ms,omitempty"`
	Failures    []string `json:"failures,omitempty"`
}

// States of a job, as Job.State names them.
const (
	JobWaiting   = "waiting"
	JobCompleted = "completed"
	JobCancelled = "cancelled"
	JobParked    = "parked"
)

// Ended tells whether the job will not run again.
func (j *Job) Ended() bool {
	return j.State == JobCompleted || j.State == JobCancelled || j.State == JobParked
}

// Declarations is the accepted declarations and their revision; items are in
// protobuf's JSON form.
type Declarations struct {
	Revision uint64 `json:"revision"`
	Items    []byte `json:"items"`
}

// ApplyRequest changes the declarations from an expected revision. Client and
// Sequence make a resend get the first answer.
type ApplyRequest struct {
	Client           string   `json:"client"`
	Sequence         uint64   `json:"sequence"`
	ExpectedRevision uint64   `json:"expected_revision"`
	Set              [][]byte `json:"set,omitempty"`
	Remove           []string `json:"remove,omitempty"`
	// AllowInfeasible accepts classes that no known worker could run, for
	// workers that are still to come.
	AllowInfeasible bool `json:"allow_infeasible,omitempty"`
}

// ApplyReply says what was accepted.
type ApplyReply struct {
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

// Instance is one instance of the system as another sees it.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Applied    uint64 `json:"applied"`
	Revision   uint64 `json:"revision"`
	Ready      bool   `json:"ready"`
	Replica    bool   `json:"replica"`
	// LogRole is its part in the control log: leader, voter, learner or empty.
	LogRole string `json:"log_role,omitempty"`
	Leader  bool   `json:"leader"`
}

// ChangeMembers changes who keeps the log: an instance whose replica becomes a
// voter, one whose replica leaves, or both to replace a replica.
type ChangeMembers struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// Explanation says why a job waits: the scheduler's own reason of its newest
// pass, empty if the job does not wait.
type Explanation struct {
	Job    Job    `json:"job"`
	Reason string `json:"reason,omitempty"`
	Wanted uint32 `json:"wanted_accelerators,omitempty"`
	Free   uint32 `json:"free_accelerators,omitempty"`
}
