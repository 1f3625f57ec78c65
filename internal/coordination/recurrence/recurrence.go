// Package recurrence decides which occurrences of recurring workflows are due.
package recurrence

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Due lists the workflows with occurrences that are due at now and not started,
// with the number that is due in all.
func Due(state *store.State, now time.Time) []*controlpb.DueRepetitions {
	var due []*controlpb.DueRepetitions
	for _, w := range state.OpenWorkflows() {
		if number := dueBy(w, now.UnixMilli()); number > w.RepetitionsStarted {
			due = append(due, &controlpb.DueRepetitions{Workflow: w.Id, Started: number})
		}
	}
	return due
}

// Awaited tells whether an occurrence is still to come due.
func Awaited(state *store.State) bool {
	for _, w := range state.OpenWorkflows() {
		if w.RepetitionsStarted < w.Repetitions {
			return true
		}
	}
	return false
}

func dueBy(w *controlpb.Workflow, nowMs int64) uint32 {
	switch {
	case w.Repetitions == 0 || nowMs < w.FirstDueMs:
		return 0
	case w.EveryMs == 0:
		return w.Repetitions
	}
	passed := (nowMs-w.FirstDueMs)/w.EveryMs + 1
	return uint32(min(passed, int64(w.Repetitions)))
}
