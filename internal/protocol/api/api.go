// Package api defines the paths, headers and JSON messages of the HTTP interfaces
// for callers, operators, workers and minions. Paths are versioned.
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
	PathDataCentres  = "/v1/data-centres"
	PathEvacuation   = "/v1/data-centres/{id}/evacuation"
	PathState        = "/debug/state"
	PathVars         = "/debug/vars"
	PathHealthy      = "/healthz"
	PathReady        = "/readyz"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code         failure.Code   `json:"code"`
	Message      string         `json:"message"`
	NotRun       failure.NotRun `json:"not_run"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
	Revision     uint64         `json:"revision,omitempty"`
}

// SubmitRequest submits one job of a declared work class. Key is an idempotency
// key: a repeated request with the same key returns the same job.
type SubmitRequest struct {
	Key       string `json:"key"`
	WorkClass string `json:"class"`
}

// Job is the representation of a job for callers.
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

// Values of Job.State.
const (
	JobWaiting   = "waiting"
	JobCompleted = "completed"
	JobCancelled = "cancelled"
	JobParked    = "parked"
)

// Ended reports whether the job is in a final state.
func (j *Job) Ended() bool {
	return j.State == JobCompleted || j.State == JobCancelled || j.State == JobParked
}

// Declarations holds the accepted declarations, in protobuf's JSON format, and their
// revision.
type Declarations struct {
	Revision uint64 `json:"revision"`
	Items    []byte `json:"items"`
}

// ApplyRequest changes the declarations if they are at the expected revision. Client
// and Sequence make it idempotent: a resent request returns the first result.
type ApplyRequest struct {
	Client           string   `json:"client"`
	Sequence         uint64   `json:"sequence"`
	ExpectedRevision uint64   `json:"expected_revision"`
	Set              [][]byte `json:"set,omitempty"`
	Remove           []string `json:"remove,omitempty"`
	// AllowInfeasible accepts classes that no known worker can run, for workers that
	// have not joined yet.
	AllowInfeasible bool `json:"allow_infeasible,omitempty"`
}

// ApplyReply is the revision and the log index of the accepted change.
type ApplyReply struct {
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

// Instance is the state of one instance as another instance observes it.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Applied    uint64 `json:"applied"`
	Revision   uint64 `json:"revision"`
	Ready      bool   `json:"ready"`
	Replica    bool   `json:"replica"`
	// LogRole is its role in the control log: leader, voter, learner or empty.
	LogRole string `json:"log_role,omitempty"`
	Leader  bool   `json:"leader"`
}

// ChangeMembers changes the membership of the control log: Add is an instance whose
// replica becomes a voter, Remove one whose replica is removed; both replace a replica.
type ChangeMembers struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// Explanation is the reason why a job is waiting, from the scheduler's latest pass; empty
// if the job is not waiting. For the id of a workflow, or of a job that was removed with its
// workflow, Job holds the workflow's state and the failure that ended it.
type Explanation struct {
	Job    Job    `json:"job"`
	Reason string `json:"reason,omitempty"`
	Wanted uint32 `json:"wanted_accelerators,omitempty"`
	Free   uint32 `json:"free_accelerators,omitempty"`
	// Crashes are the workers that crashed while they ran it, oldest first.
	Crashes []string `json:"crashes,omitempty"`
}
