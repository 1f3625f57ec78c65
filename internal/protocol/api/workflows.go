package api

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// WorkflowRequest asks for a graph of steps. The same key again gets the same
// workflow.
type WorkflowRequest struct {
	Key string `json:"key"`
	// Specification is handed to every task as it is.
	Specification string `json:"specification,omitempty"`
	Steps         []Step `json:"steps"`
	// Priority 0 goes first.
	Priority uint32 `json:"priority,omitempty"`
	// MaxAttempts is how often a task may fail by itself; 0 means once.
	MaxAttempts uint32 `json:"max_attempts,omitempty"`
	// SlackPercent stretches the longest chain of estimates to the objective, and
	// TargetLatencyMs is added; 100 percent where it is 0.
	SlackPercent    uint32 `json:"slack_percent,omitempty"`
	TargetLatencyMs int64  `json:"target_latency_ms,omitempty"`
	// Repetitions make the steps run that many times, the first at FirstDueMs after
	// 1970 and then every EveryMs.
	FirstDueMs  int64  `json:"first_due_ms,omitempty"`
	EveryMs     int64  `json:"every_ms,omitempty"`
	Repetitions uint32 `json:"repetitions,omitempty"`
}

// Step is a number of alike tasks.
type Step struct {
	Count        uint32 `json:"count"`
	CoresMilli   uint32 `json:"cores_milli,omitempty"`
	MemoryMB     uint64 `json:"memory_mb,omitempty"`
	Accelerators uint32 `json:"accelerators,omitempty"`
	RunTimeMs    int64  `json:"run_time_ms,omitempty"`
	// After numbers the earlier steps whose tasks must all have ended well.
	After          []uint32 `json:"after,omitempty"`
	Gang           bool     `json:"gang,omitempty"`
	TightlyCoupled bool     `json:"tightly_coupled,omitempty"`
	Checkpointable bool     `json:"checkpointable,omitempty"`
	Requirement    string   `json:"requirement,omitempty"`
	DataRack       string   `json:"data_rack,omitempty"`
	SpreadLimit    uint32   `json:"spread_limit,omitempty"`
}

// Workflow is a workflow as callers see it.
type Workflow struct {
	ID          string `json:"id"`
	Customer    string `json:"customer"`
	State       string `json:"state"`
	Repetitions uint32 `json:"repetitions,omitempty"`
	// RepetitionsDone counts those that are whole.
	RepetitionsDone uint32 `json:"repetitions_done,omitempty"`
	SubmittedMs     int64  `json:"submitted_ms"`
	EndedMs         int64  `json:"ended_ms,omitempty"`
	// Jobs are those that its steps have become and that are kept.
	Jobs []Job `json:"jobs,omitempty"`
}

// States of a workflow, as Workflow.State names them.
const (
	WorkflowQueued    = "queued"
	WorkflowRunning   = "running"
	WorkflowCompleted = "completed"
	WorkflowFailed    = "failed"
	WorkflowCancelled = "cancelled"
)

// Ended tells whether the workflow will change no more.
func (w *Workflow) Ended() bool {
	return w.State == WorkflowCompleted || w.State == WorkflowFailed || w.State == WorkflowCancelled
}

// Decode turns the request into the workflow that the log carries.
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
