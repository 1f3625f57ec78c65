package api

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// WorkflowRequest submits a workflow, a graph of steps. Key is an idempotency key: a
// repeated request with the same key returns the same workflow.
type WorkflowRequest struct {
	Key string `json:"key"`
	// Specification is passed unchanged to every task.
	Specification string `json:"specification,omitempty"`
	Steps         []Step `json:"steps"`
	// Priority 0 takes precedence over higher numbers.
	Priority uint32 `json:"priority,omitempty"`
	// MaxAttempts is the number of attempts of a task, counting only failures of the
	// task itself; 0 means 1.
	MaxAttempts uint32 `json:"max_attempts,omitempty"`
	// The latency objective is the estimated run time of the critical path multiplied
	// by SlackPercent/100, plus TargetLatencyMs. SlackPercent 0 means 100.
	SlackPercent    uint32 `json:"slack_percent,omitempty"`
	TargetLatencyMs int64  `json:"target_latency_ms,omitempty"`
	// Repetitions is how many times the steps run: first at FirstDueMs, in milliseconds
	// since 1970 (Unix epoch), and then every EveryMs.
	FirstDueMs  int64  `json:"first_due_ms,omitempty"`
	EveryMs     int64  `json:"every_ms,omitempty"`
	Repetitions uint32 `json:"repetitions,omitempty"`
}

// Step is a number of identical tasks.
type Step struct {
	Count        uint32 `json:"count"`
	CoresMilli   uint32 `json:"cores_milli,omitempty"`
	MemoryMB     uint64 `json:"memory_mb,omitempty"`
	Accelerators uint32 `json:"accelerators,omitempty"`
	RunTimeMs    int64  `json:"run_time_ms,omitempty"`
	// After holds the numbers of the earlier steps whose tasks must all have succeeded.
	After          []uint32 `json:"after,omitempty"`
	Gang           bool     `json:"gang,omitempty"`
	TightlyCoupled bool     `json:"tightly_coupled,omitempty"`
	Checkpointable bool     `json:"checkpointable,omitempty"`
	Requirement    string   `json:"requirement,omitempty"`
	DataRack       string   `json:"data_rack,omitempty"`
	SpreadLimit    uint32   `json:"spread_limit,omitempty"`
}

// Workflow is the representation of a workflow for callers.
type Workflow struct {
	ID          string `json:"id"`
	Customer    string `json:"customer"`
	State       string `json:"state"`
	Repetitions uint32 `json:"repetitions,omitempty"`
	// RepetitionsDone counts the completed repetitions.
	RepetitionsDone uint32 `json:"repetitions_done,omitempty"`
	SubmittedMs     int64  `json:"submitted_ms"`
	EndedMs         int64  `json:"ended_ms,omitempty"`
	// Jobs holds the jobs created from its steps that are still retained.
	Jobs []Job `json:"jobs,omitempty"`
}

// Values of Workflow.State.
const (
	WorkflowQueued    = "queued"
	WorkflowRunning   = "running"
	WorkflowCompleted = "completed"
	WorkflowFailed    = "failed"
	WorkflowCancelled = "cancelled"
)

// Ended reports whether the workflow is in a final state.
func (w *Workflow) Ended() bool {
	return w.State == WorkflowCompleted || w.State == WorkflowFailed || w.State == WorkflowCancelled
}

// Decode converts the request to the workflow message of the control log and applies
// the defaults.
func (r *WorkflowRequest) Decode() *controlpb.Workflow {
	w := &controlpb.Workflow{
		Specification:    r.Specification,
		Priority:         r.Priority,
		MaxAttempts:      max(r.MaxAttempts, 1),
		SlackThousandths: 10 * r.SlackPercent,
		TargetLatencyMs:  r.TargetLatencyMs,
		FirstDueMs:       r.FirstDueMs,
		EveryMs:          r.EveryMs,
		Repetitions:      r.Repetitions,
	}
	if w.SlackThousandths == 0 {
		w.SlackThousandths = 1000
	}
	for _, step := range r.Steps {
		w.Steps = append(w.Steps, &controlpb.Step{
			Count:          step.Count,
			CoresMilli:     step.CoresMilli,
			MemoryMb:       step.MemoryMB,
			Accelerators:   step.Accelerators,
			RunTimeMs:      step.RunTimeMs,
			After:          step.After,
			Gang:           step.Gang,
			TightlyCoupled: step.TightlyCoupled,
			Checkpointable: step.Checkpointable,
			Requirement:    step.Requirement,
			DataRack:       step.DataRack,
			SpreadLimit:    step.SpreadLimit,
		})
	}
	return w
}
