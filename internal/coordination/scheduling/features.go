package scheduling

import "time"

// Features are the optional parts of a pass that a deployment's settings switch on, and
// the costs of stops and restarts that they declare. The zero value switches all off.
type Features struct {
	// ExpectedEnd places, orders and preempts units by when they are expected to end.
	ExpectedEnd bool
	// BoundedPreemption limits how often a workflow is stopped, and chooses victims by
	// workflow.
	BoundedPreemption bool
	// AttemptPlacement chooses the workers of a second attempt with more care.
	AttemptPlacement bool
	// Interference keeps tasks apart that slow each other down.
	Interference bool
	// CheckpointInterval is the span of work between two checkpoints, RestoreTime the time
	// of a start from one, StopTime the longest time that a stop takes; 0 if not known.
	CheckpointInterval, RestoreTime, StopTime time.Duration
}
