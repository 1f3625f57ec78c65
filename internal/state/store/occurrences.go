package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// maxChanges bounds how many changes of one entry are remembered within a
// period; going back to one of them does not make its work due again.
const maxChanges = 16

// Occurrence gives what an entry's work was last due for; nil for never.
func (s *State) Occurrence(entry string) *controlpb.Occurrence {
	occurrence, _ := s.occurrences.Get([]byte(entry))
	return occurrence
}

// WasDue tells whether the entry's work has been due for that period and
// change, or for a later period: a leader whose clock runs behind the last one's
// must not make work of a period that has passed.
func (s *State) WasDue(entry string, period int64, change string) bool {
	last := s.Occurrence(entry)
	if last == nil || last.Period < period {
		return false
	}
	return last.Period > period || slices.Contains(last.Changes, change)
}

// recordOccurrence notes that the job's work is due now, and fails if it was.
func (s *State) recordOccurrence(job *controlpb.Job) bool {
	if s.WasDue(job.Entry, job.Period, job.Change) {
		return false
	}
	next := &controlpb.Occurrence{Entry: job.Entry, Period: job.Period}
	if last := s.Occurrence(job.Entry); last != nil && last.Period == job.Period {
		next = proto.CloneOf(last)
	}
	next.TimeMs = s.timeMs
	next.Changes = append(next.Changes, job.Change)
	if excess := len(next.Changes) - maxChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	s.occurrences, _, _ = s.occurrences.Insert([]byte(job.Entry), next)
	return true
}

// oldOccurrence tells what can be forgotten: the entry was removed, and long
// ago its work was last due. One that stays declared is never forgotten.
func (s *State) oldOccurrence(occurrence *controlpb.Occurrence) bool {
	if _, declared := s.items.Get([]byte(declaration.EntryKey(occurrence.Entry))); declared {
		return false
	}
	return occurrence.TimeMs < s.timeMs-occurrenceLife.Milliseconds()
}
