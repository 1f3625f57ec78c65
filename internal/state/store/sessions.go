package store

import (
	"encoding/binary"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A session lets a client resend a command whose response was lost: the command is
// applied once and the resend gets the first result. A client may have several commands
// in flight, which arrive in any order, so a session keeps the results of its newest
// sequence numbers and not only the last one.
const (
	// sessionRetention is how long a session is kept after its newest command.
	sessionRetention = time.Hour
	// sessionMinRetention is how long a session is kept even when the table is full: longer
	// than any client keeps resending. Evicting one sooner would let a resend run a
	// second time.
	sessionMinRetention = 5 * time.Minute
	// maxSessions and maxSessionResults limit the memory of all sessions.
	maxSessions       = 8192
	maxSessionResults = 32
)

// storedResult returns the result of a command that was applied before. A sequence
// number older than those kept is refused, because it is unknown whether it was applied.
func (s *State) storedResult(index uint64, command *controlpb.Command) (*controlpb.Result, bool) {
	if command.Client == "" {
		return nil, false
	}
	session, seen := s.sessions.Get([]byte(command.Client))
	if !seen {
		return s.admitSession(index)
	}
	for _, kept := range session.Results {
		if kept.Sequence == command.Sequence {
			return kept.Result, true
		}
	}
	if command.Sequence <= session.Floor {
		return refusal(index, failure.StaleSequence, "the sequence is older than the results kept"), true
	}
	return nil, false
}

// admitSession refuses a new client while the table is full and every session may still
// get a resend.
func (s *State) admitSession(index uint64) (*controlpb.Result, bool) {
	if s.sessions.Len() < maxSessions {
		return nil, false
	}
	_, oldest, _ := s.sessionAges.Root().Minimum()
	session, _ := s.sessions.Get([]byte(oldest))
	if session.TimeMs < s.timeMs-sessionMinRetention.Milliseconds() {
		return nil, false
	}
	return refusal(index, failure.Overloaded, "too many client sessions"), true
}

// storeResult stores the result in the client's session.
func (s *State) storeResult(command *controlpb.Command, result *controlpb.Result) {
	if command.Client == "" {
		return
	}
	next := &controlpb.Session{Client: command.Client, TimeMs: s.timeMs, Index: s.index}
	if earlier, seen := s.sessions.Get([]byte(command.Client)); seen {
		next.Floor = earlier.Floor
		next.Results = append(next.Results, earlier.Results...)
		s.sessionAges, _, _ = s.sessionAges.Delete(ageKey(earlier.Index))
	}
	next.Results = append(next.Results, &controlpb.SessionResult{Sequence: command.Sequence, Result: result})
	if len(next.Results) > maxSessionResults {
		dropLowest(next)
	}
	s.sessions, _, _ = s.sessions.Insert([]byte(command.Client), next)
	s.sessionAges, _, _ = s.sessionAges.Insert(ageKey(next.Index), command.Client)
	if s.sessions.Len() > maxSessions {
		s.dropOldestSession()
	}
}

// dropLowest removes the result with the lowest sequence number.
func dropLowest(session *controlpb.Session) {
	lowest := 0
	for i, kept := range session.Results {
		if kept.Sequence < session.Results[lowest].Sequence {
			lowest = i
		}
	}
	session.Floor = session.Results[lowest].Sequence
	session.Results = append(session.Results[:lowest:lowest], session.Results[lowest+1:]...)
}

// expireSessions removes sessions past their retention, oldest first.
func (s *State) expireSessions() {
	for range maxExpiredPerApply {
		_, client, ok := s.sessionAges.Root().Minimum()
		if !ok {
			return
		}
		session, _ := s.sessions.Get([]byte(client))
		if session.TimeMs >= s.timeMs-sessionRetention.Milliseconds() {
			return
		}
		s.dropOldestSession()
	}
}

func (s *State) dropOldestSession() {
	key, client, _ := s.sessionAges.Root().Minimum()
	s.sessionAges, _, _ = s.sessionAges.Delete(key)
	s.sessions, _, _ = s.sessions.Delete([]byte(client))
}

// fillSessionAges builds the index of sessions by their newest command.
func fillSessionAges(sessions []*controlpb.Session) *table[string] {
	txn := iradix.New[string]().Txn()
	for _, session := range sessions {
		txn.Insert(ageKey(session.Index), session.Client)
	}
	return txn.Commit()
}

// ageKey encodes a log index so that keys sort by it.
func ageKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
