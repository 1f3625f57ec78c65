package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// maxChanges limits the changes of one entry that are kept within a period. Reverting an
// entry to one of them doesn't make its work due again.
const maxChanges = 16

// Occurrence returns the period and changes for which work of the entry was last due,
// or nil if it never was.
func (s *State) Occurrence(entry string) *controlpb.Occurrence {
	occurrence, _ := s.occurrences.Get([]byte(entry))
	return occurrence
}

// WasDue reports whether work of the entry has been due for the given period and change,
// or for a later period: a leader whose clock is behind its predecessor's must not create
// work for a past period.
func (s *State) WasDue(entry string, period int64, change string) bool {
	last := s.Occurrence(entry)
	if last == nil || last.Period < period {
		return false
	}
	return last.Period > period || slices.Contains(last.Changes, change)
}

// recordOccurrence records that the job's work is due and returns false if it was due
// before.
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

// occurrenceExpired reports whether the entry is no longer declared and its last
// occurrence is past its retention. Occurrences of declared entries never expire.
func (s *State) occurrenceExpired(occurrence *controlpb.Occurrence) bool {
	if _, declared := s.items.Get([]byte(declaration.EntryKey(occurrence.Entry))); declared {
		return false
	}
	return occurrence.TimeMs < s.timeMs-occurrenceRetention.Milliseconds()
}
