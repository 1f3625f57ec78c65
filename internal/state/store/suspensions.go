package store

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// LeaseSuspensions returns the leases that no leader renews until a newer list leaves them out. Its
// index changes with each list; it is 0 if there is none. The leader of a term may rely on it: a list
// that the leader before neither decided on nor kept to is dropped at the start of the term, since that leader may be
// of a version that renews leases all the same.
func (s *State) LeaseSuspensions() *controlpb.LeaseSuspensions { return s.suspensions }

// EnterTerm returns the state before an entry of a term. The first entry of a term is that of its
// leader.
func (s *State) EnterTerm(term uint64) *State {
	if term == s.suspensions.GetLogTerm() {
		return s
	}
	next := *s
	next.suspensions = proto.CloneOf(s.suspensions)
	if next.suspensions.DecidedIn != next.suspensions.LogTerm {
		next.suspensions = &controlpb.LeaseSuspensions{}
	}
	next.suspensions.LogTerm = term
	return &next
}

// keepSuspensions records that the leader of the current term keeps to the list. A leader that is lost before it has
// decided on a list leaves it to the next one.
func (s *State) keepSuspensions() {
	s.suspensions = proto.CloneOf(s.suspensions)
	s.suspensions.DecidedIn = s.suspensions.LogTerm
}

// suspendLeases replaces the list, decided in a term. A lease that stays listed keeps the index from which on it is, unless
// the leader didn't know the list here: it may have renewed the lease since.
func (s *State) suspendLeases(list *controlpb.LeaseSuspensions, term uint64) {
	if list == nil || term == 0 {
		return
	}
	since := map[string]*controlpb.LeaseSuspension{}
	if list.Continues == s.suspensions.Index {
		for _, earlier := range s.suspensions.Suspended {
			since[earlier.Worker] = earlier
		}
	}
	next := &controlpb.LeaseSuspensions{DecidedIn: term, LogTerm: s.suspensions.LogTerm, Index: s.index}
	for _, suspended := range list.Suspended {
		suspended = proto.CloneOf(suspended)
		suspended.Since = s.index
		if earlier := since[suspended.Worker]; earlier.GetIncarnation() == suspended.Incarnation && earlier != nil {
			suspended.Since = earlier.Since
		}
		next.Suspended = append(next.Suspended, suspended)
	}
	s.suspensions = next
	s.placed.complete = s.placed.complete || list.CompletesPlacedWorkers
}

// snapshotSuspensions returns the list as a snapshot holds it; nil if no entry had a term.
func (s *State) snapshotSuspensions() *controlpb.LeaseSuspensions {
	if s.suspensions.LogTerm == 0 {
		return nil
	}
	list := proto.CloneOf(s.suspensions)
	list.SnapshotIndex = s.index
	return list
}

// restoreSuspensions takes the list from a snapshot, unless a version has written that which doesn't
// know it.
func (s *State) restoreSuspensions(snapshot *controlpb.Snapshot) {
	if list := snapshot.Suspensions; list != nil && list.SnapshotIndex == snapshot.Index {
		s.suspensions = proto.CloneOf(list)
		s.suspensions.SnapshotIndex = 0
	}
}
