package overload

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// unit is one job of the pass: a whole gang, or a single task.
type unit struct {
	workflow *workflow
	step     *step
	job      *controlpb.Job
	run      time.Duration
	// done is the work saved by checkpoints, slowdown the factor by which the current run
	// is slower than its workers, for its place.
	done     time.Duration
	slowdown float64
	began    time.Duration
	// failAt holds, for each of the first runs, the share of its time after which it
	// fails; 0 for a run that completes.
	failAt []float64
	runs   int
	// observed is the last epoch whose progress was used to estimate worker speeds.
	observed uint64
}

// drawnOutcomes is how many runs of a unit have their outcome drawn together with the day,
// so that a day does not depend on the scheduler's decisions. Later runs complete.
const drawnOutcomes = 6

// Failing runs fail between these shares of their run time.
const earliestFailure, latestFailure = 0.05, 0.95

func (g *generator) unit(w *workflow, s *step, shape *controlpb.Job, tasks int, run time.Duration, index int) *unit {
	job := proto.CloneOf(shape)
	job.Id = fmt.Sprintf("%s.0.%d.%d", w.id, shape.Step, index)
	job.Tasks = uint32(tasks)
	job.FirstTask = uint32(index)
	u := &unit{workflow: w, step: s, job: job, run: run}
	for range drawnOutcomes {
		at := 0.0
		if g.random.Float64() < w.queue.FailedRunShare {
			at = earliestFailure + (latestFailure-earliestFailure)*g.random.Float64()
		}
		u.failAt = append(u.failAt, at)
	}
	return u
}

// accelerators is the number of accelerators that the unit uses.
func (u *unit) accelerators() float64 { return float64(u.job.Tasks * u.job.Accelerators) }
