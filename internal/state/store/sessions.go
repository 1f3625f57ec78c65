package store

import (
	"encoding/binary"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A session lets a client resend a command whose answer was lost: the command
// runs once and the resend gets the first result. A client may have several
// commands on their way, which arrive in any order, so a session keeps the
// results of its newest sequences and not of the last alone.
const (
	// sessionLife is how long a session is kept after its newest command.
	sessionLife = time.Hour
	// sessionMinLife is how long it is kept even where room is wanted: longer
	// than any client goes on resending. To forget one sooner would let a resend
	// run a second time.
	sessionMinLife = 5 * time.Minute
	// maxSessions and maxSessionResults bound the memory.
	maxSessions       = 8192
	maxSessionResults = 32
)

// resent finds the result of a command that was applied before. A sequence
// older than those kept is refused: whether it ran is no longer known.
func (s *State) resent(index uint64, command *controlpb.Command) (*controlpb.Result, bool) {
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

// admitSession refuses a new client while every kept session may still see a
// resend.
func (s *State) admitSession(index uint64) (*controlpb.Result, bool) {
	if s.sessions.Len() < maxSessions {
		return nil, false
	}
	_, oldest, _ := s.sessionAges.Root().Minimum()
	session, _ := s.sessions.Get([]byte(oldest))
	if session.TimeMs < s.timeMs-sessionMinLife.Milliseconds() {
		return nil, false
	}
	return refusal(index, failure.Overloaded, "too many client sessions"), true
}

// remember keeps the result for a resend.
func (s *State) remember(command *controlpb.Command, result *controlpb.Result) {
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

// dropLowest forgets the result with the lowest sequence.
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

// expireSessions drops those past their life, oldest first.
func (s *State) expireSessions() {
	for range maxExpiredPerApply {
		_, client, ok := s.sessionAges.Root().Minimum()
		if !ok {
			return
		}
		session, _ := s.sessions.Get([]byte(client))
		if session.TimeMs >= s.timeMs-sessionLife.Milliseconds() {
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

// fillSessionAges orders restored sessions by their newest command.
func fillSessionAges(sessions []*controlpb.Session) *table[string] {
	txn := iradix.New[string]().Txn()
	for _, session := range sessions {
		txn.Insert(ageKey(session.Index), session.Client)
	}
	return txn.Commit()
}

// ageKey sorts by log index.
func ageKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
