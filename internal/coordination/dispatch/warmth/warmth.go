// Package warmth remembers the room that urgent work has just left, so that it is kept
// for a moment for the urgent work to come.
package warmth

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// keepWarm is how long room that urgent work has left is kept for the next. Without
// it half of the work that was preempted had run for less than a second: it was put
// where urgent work had just ended, and had to make room for the next a moment later.
// Mean worth of 24 busy days of two deployments: 0.414 with 1 s, 0.447 with 2 s,
// 0.467 with 3.5 s, 0.472 with 6 s; stopped runs fall from 652 a day to 335.
const keepWarm = 5 * time.Second

// Warmth remembers when urgent work last left each worker. It is soft: a new
// leader begins without. The zero Warmth remembers nothing.
type Warmth struct {
	// held counts the workers' urgent tasks in the newest look.
	held map[string]int
	left map[string]time.Time
}

// Look compares with the look before, and lists the workers that are warm.
func (w *Warmth) Look(active []*controlpb.Job, now time.Time) map[string]bool {
	held := map[string]int{}
	for _, job := range active {
		if !job.Urgent || job.Workflow == "" {
			continue
		}
		for _, placement := range job.Placements {
			held[placement.Worker]++
		}
	}
	if w.left == nil {
		w.left = map[string]time.Time{}
	}
	for worker, before := range w.held {
		if held[worker] < before {
			w.left[worker] = now
		}
	}
	w.held = held
	warm := map[string]bool{}
	for worker, at := range w.left {
		if now.Sub(at) >= keepWarm {
			delete(w.left, worker)
			continue
		}
		warm[worker] = true
	}
	return warm
}
