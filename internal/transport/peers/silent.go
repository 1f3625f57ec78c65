package peers

import (
	"container/list"
	"expvar"
	"net"
	"sync"
)

// maxSilent is the number of accepted connections on which no call has begun yet. An instance dials to
// call, so one more means that somebody holds connections open; the oldest is closed for it. Together
// with those of the instances they stay within the descriptors reserved for them.
const maxSilent = 128

var silentClosed = expvar.NewInt("peer_silent_closed")

// silentConns are the accepted connections on which no call has begun yet, the oldest first.
type silentConns struct {
	mu    sync.Mutex
	conns list.List
}

// add adds a connection, and closes the oldest one if there are too many. The returned function removes it;
// it may be called more than once.
func (s *silentConns) add(conn net.Conn) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.conns.PushBack(conn)
	if s.conns.Len() > maxSilent {
		oldest := s.conns.Front()
		s.conns.Remove(oldest)
		silentClosed.Add(1)
		// A failure to close leaves nothing to do.
		_ = oldest.Value.(net.Conn).Close()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns.Remove(at)
	}
}
