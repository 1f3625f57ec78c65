package overload

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// unit is one job as the pass sees it.
type unit struct {
	workflow *workflow
	step     *step
	job      *controlpb.Job
	run      time.Duration
	// done is the work that a checkpoint keeps, speed that of the run.
	done  time.Duration
	speed float64
	began time.Duration
	// fails holds, for each run to come, the share after which it fails; 0 for one that
	// ends well.
	fails []float64
	runs  int
	// observed is the epoch whose progress was read.
	observed uint64
}

// failDraws is how many runs of a unit have their fate drawn with the day: so a day is
// the same whatever the decisions. Runs after these end well.
const failDraws = 6

// Runs that fail do so between these shares of their time.
const earliestFailure, latestFailure = 0.05, 0.95

func (m *maker) unit(w *workflow, s *step, shape *controlpb.Job, tasks int, run time.Duration, index int) *unit {
	job := proto.CloneOf(shape)
	job.Id = fmt.Sprintf("%s.0.%d.%d", w.id, shape.Step, index)
	job.Tasks = uint32(tasks)
	job.FirstTask = uint32(index)
	u := &unit{workflow: w, step: s, job: job, run: run}
	for range failDraws {
		at := 0.0
		if m.random.Float64() < w.queue.FailedRuns {
			at = earliestFailure + (latestFailure-earliestFailure)*m.random.Float64()
		}
		u.fails = append(u.fails, at)
	}
	return u
}

// worked is the work done since the run began.
func (u *unit) worked(now time.Duration) time.Duration {
	if u.speed == 0 {
		return 0
	}
	return time.Duration(float64(max(now-u.began, 0)) * u.speed)
}

// width is the accelerators that the unit holds.
func (u *unit) width() float64 { return float64(u.job.Tasks * u.job.Accelerators) }

// speedOn is that of the slowest member, less what distance costs.
func (d *Day) speedOn(u *unit, placements []*controlpb.Placement) float64 {
	racks := map[string]bool{}
	for _, placement := range placements {
		racks[d.rackOf[placement.Worker]] = true
	}
	away := u.job.DataRack != "" && (len(racks) > 1 || !racks[u.job.DataRack])
	if away || (u.job.TightlyCoupled && len(racks) > 1) {
		return d.slowest(placements) / d.RemoteFactor
	}
	return d.slowest(placements)
}

func (d *Day) slowest(placements []*controlpb.Placement) float64 {
	slowest := math.Inf(1)
	for _, placement := range placements {
		slowest = min(slowest, d.speeds[placement.Worker])
	}
	return slowest
}
