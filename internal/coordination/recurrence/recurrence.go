// Package recurrence determines which occurrences of recurring workflows are due.
package recurrence

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Due returns the workflows that have occurrences due at now and not started. In
// each result, Started is the number of occurrences due so far, those started
// earlier included.
func Due(state *store.State, now time.Time) []*controlpb.DueRepetitions {
	var due []*controlpb.DueRepetitions
	for _, w := range state.OpenWorkflows() {
		if number := occurrencesDue(w, now.UnixMilli()); number > w.RepetitionsStarted {
			due = append(due, &controlpb.DueRepetitions{Workflow: w.Id, Started: number})
		}
	}
	return due
}

// HasPending reports whether any open workflow has occurrences that have not started.
func HasPending(state *store.State) bool {
	for _, w := range state.OpenWorkflows() {
		if w.RepetitionsStarted < w.Repetitions {
			return true
		}
	}
	return false
}

func occurrencesDue(w *controlpb.Workflow, nowMs int64) uint32 {
	switch {
	case w.Repetitions == 0 || nowMs < w.FirstDueMs:
		return 0
	case w.EveryMs == 0:
		return w.Repetitions
	}
	occurrences := (nowMs-w.FirstDueMs)/w.EveryMs + 1
	return uint32(min(occurrences, int64(w.Repetitions)))
}
