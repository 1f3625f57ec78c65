package workflows

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// MaxSteps limits the steps of a workflow.
const MaxSteps = 64

// Limits of one workflow, which is stored in a single log entry and for which the
// state holds a job per task. maxSpecification is in bytes.
const (
	maxSpecification = 4000
	maxTasks         = 10000
	maxRepetitions   = 10000
	// Limits of one task, far above any worker's capacity. They keep sums far from overflow.
	maxCoresMilli   = 16384 * 1000
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1024
)

// Check validates a workflow before it is proposed. It fails with bad_request.
func Check(w *controlpb.Workflow) error {
	switch {
	case len(w.Specification) > maxSpecification:
		return badRequest("the specification is larger than %d bytes", maxSpecification)
	case len(w.Steps) == 0:
		return badRequest("the workflow has no steps")
	case len(w.Steps) > MaxSteps:
		return badRequest("the workflow has more than %d steps", MaxSteps)
	case w.Repetitions > maxRepetitions:
		return badRequest("the workflow has more than %d repetitions", maxRepetitions)
	case w.Repetitions > 0 && (w.FirstDueMs <= 0 || w.EveryMs < 0):
		return badRequest("repetitions need a first due time and a non-negative interval")
	}
	tasks := uint32(0)
	for number, step := range w.Steps {
		if err := checkStep(number, step); err != nil {
			return err
		}
		if tasks += min(step.Count, maxTasks); tasks > maxTasks {
			return badRequest("the workflow has more than %d tasks", maxTasks)
		}
	}
	return nil
}

func checkStep(number int, step *controlpb.Step) error {
	if step.Count == 0 {
		return badRequest("step %d has no tasks", number)
	}
	if step.CoresMilli > maxCoresMilli || step.MemoryMb > maxMemoryMB || step.Accelerators > maxAccelerators {
		return badRequest("a task of step %d asks for more than a worker can have", number)
	}
	for _, earlier := range step.After {
		if int(earlier) >= number {
			return badRequest("step %d waits for step %d, which does not precede it", number, earlier)
		}
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return failure.New(failure.BadRequest, format, args...)
}
