package store

import (
	"cmp"
	"slices"
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Evacuated reports whether an evacuation of the data centre is in force: its upstreams
// get nothing new.
func (s *State) Evacuated(dataCentre string) bool {
	return len(s.evacuations) > 0 && s.Evacuation(dataCentre).GetActive()
}

// Evacuation returns the record of a data centre, or nil if its evacuation was never
// ordered.
func (s *State) Evacuation(dataCentre string) *controlpb.Evacuation {
	if i, found := s.findEvacuation(dataCentre); found {
		return s.evacuations[i]
	}
	return nil
}

// Evacuations lists the records of all data centres whose evacuation was ever ordered,
// sorted by name.
func (s *State) Evacuations() []*controlpb.Evacuation { return s.evacuations }

func (s *State) findEvacuation(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(s.evacuations, dataCentre, func(e *controlpb.Evacuation, name string) int {
		return cmp.Compare(e.DataCentre, name)
	})
}

// setEvacuation starts or ends the evacuation of a data centre. An order for what is in
// force already succeeds, so that a resend is acknowledged again. Two kinds of late
// resends are refused, since obeying them would undo a newer order:
//   - one that was delayed inside the system carries an old number of changes
//     (revision_conflict);
//   - one that arrives late at an instance comes within the resend window after an earlier
//     order of its kind, or after an opposite one that found nothing to change because the
//     first arrival was the late one (stale_sequence). A genuine new order can't be told
//     from it until the window has passed.
func (s *State) setEvacuation(op *controlpb.SetEvacuation) *controlpb.Result {
	if strings.TrimSpace(op.DataCentre) == "" {
		return refusal(0, failure.BadRequest, "no data centre named")
	}
	record := s.Evacuation(op.DataCentre)
	if record == nil {
		record = &controlpb.Evacuation{DataCentre: op.DataCentre}
	}
	if record.Active == op.Evacuate {
		s.confirmEvacuation(record, op)
		return &controlpb.Result{}
	}
	switch {
	case record.Changes != op.ExpectedChanges:
		return refusal(0, failure.Conflict, "the data centre's evacuation has changed since it was read")
	case s.isRecent(newestOrder(record, op.Evacuate), op), s.isRecent(record.ConfirmedMs, op):
		return refusal(0, failure.StaleSequence, "the order may be a late resend of an earlier one")
	}
	next := nextEvacuation(record)
	next.Active = op.Evacuate
	if op.Evacuate {
		next.StartedMs = s.timeMs
	} else {
		next.FinishedMs = s.timeMs
	}
	s.putEvacuation(next)
	return &controlpb.Result{}
}

// confirmEvacuation records a new order for what is in force already. Where the order
// that brought it about is recent, this one is a resend of it and changes nothing.
func (s *State) confirmEvacuation(record *controlpb.Evacuation, op *controlpb.SetEvacuation) {
	if s.isRecent(newestOrder(record, op.Evacuate), op) || s.isRecent(record.ConfirmedMs, op) {
		return
	}
	next := nextEvacuation(record)
	next.ConfirmedMs = s.timeMs
	s.putEvacuation(next)
}

// newestOrder returns when the newest order of a kind was committed, in Unix
// milliseconds; 0 for never.
func newestOrder(record *controlpb.Evacuation, evacuate bool) int64 {
	if evacuate {
		return record.StartedMs
	}
	return record.FinishedMs
}

func (s *State) isRecent(committedMs int64, op *controlpb.SetEvacuation) bool {
	return committedMs != 0 && s.timeMs-committedMs < op.ResendWindowMs
}

func nextEvacuation(record *controlpb.Evacuation) *controlpb.Evacuation {
	return &controlpb.Evacuation{
		DataCentre: record.DataCentre, Active: record.Active, Changes: record.Changes + 1,
		StartedMs: record.StartedMs, FinishedMs: record.FinishedMs, ConfirmedMs: record.ConfirmedMs,
	}
}

func (s *State) putEvacuation(record *controlpb.Evacuation) {
	i, known := s.findEvacuation(record.DataCentre)
	s.evacuations = slices.Clone(s.evacuations)
	if known {
		s.evacuations[i] = record
	} else {
		s.evacuations = slices.Insert(s.evacuations, i, record)
	}
}
