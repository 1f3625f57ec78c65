// Package keepwarm tracks the workers that urgent work has just left. Their free capacity
// is kept for a few seconds for the next urgent work; such workers are called warm.
package keepwarm

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// keepWarm is how long capacity that urgent work has left is kept for the next. Without
// it, half of the preempted work had run for less than a second: it was placed where
// urgent work had just ended and was preempted by the next urgent work moments later.
// Mean value of 24 busy days of two deployments: 0.414 with 1 s, 0.447 with 2 s,
// 0.467 with 3.5 s, 0.472 with 6 s; stopped runs drop from 652 a day to 335.
const keepWarm = 5 * time.Second

// Tracker records when urgent work last left each worker. It is soft state, which a new
// leader doesn't take over. Its zero value is ready to use.
type Tracker struct {
	// urgentTasks counts the urgent tasks of each worker at the last Update.
	urgentTasks map[string]int
	vacated     map[string]time.Time
}

// Update records the workers that have lost urgent tasks since the previous call, and
// returns the set of warm workers.
func (t *Tracker) Update(active []*controlpb.Job, now time.Time) map[string]bool {
	urgentTasks := map[string]int{}
	for _, job := range active {
		if !job.Urgent || job.Workflow == "" {
			continue
		}
		for _, placement := range job.Placements {
			urgentTasks[placement.Worker]++
		}
	}
	if t.vacated == nil {
		t.vacated = map[string]time.Time{}
	}
	for worker, before := range t.urgentTasks {
		if urgentTasks[worker] < before {
			t.vacated[worker] = now
		}
	}
	t.urgentTasks = urgentTasks
	warm := map[string]bool{}
	for worker, at := range t.vacated {
		if now.Sub(at) >= keepWarm {
			delete(t.vacated, worker)
			continue
		}
		warm[worker] = true
	}
	return warm
}
