package workflows

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Bounds of one workflow: the log carries it in one entry and a state holds a
// job for each task.
const (
	maxSpecification = 4000
	maxSteps         = 64
	maxTasks         = 10000
	maxRepetitions   = 10000
)

// Check refuses a workflow that can't be run as it is meant; nothing is stored.
func Check(w *controlpb.Workflow) error {
	switch {
	case len(w.Specification) > maxSpecification:
		return bad("the specification has over %d bytes", maxSpecification)
	case len(w.Steps) == 0:
		return bad("there is no step")
	case len(w.Steps) > maxSteps:
		return bad("there are over %d steps", maxSteps)
	case w.Repetitions > maxRepetitions:
		return bad("over %d repetitions", maxRepetitions)
	case w.Repetitions > 0 && (w.FirstDueMs <= 0 || w.EveryMs < 0):
		return bad("repetitions without a time")
	}
	tasks := uint32(0)
	for number, step := range w.Steps {
		if err := checkStep(number, step); err != nil {
			return err
		}
		if tasks += min(step.Count, maxTasks); tasks > maxTasks {
			return bad("over %d tasks", maxTasks)
		}
	}
	return nil
}

func checkStep(number int, step *controlpb.Step) error {
	if step.Count == 0 {
		return bad("step %d has no task", number)
	}
	for _, earlier := range step.After {
		if int(earlier) >= number {
			return bad("step %d waits for step %d, which is not before it", number, earlier)
		}
	}
	return nil
}

func bad(format string, args ...any) error { return failure.New(failure.BadRequest, format, args...) }
