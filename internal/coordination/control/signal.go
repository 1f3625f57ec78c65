package control

import "sync"

// Signal notifies all waiting goroutines of a change. The zero value is ready to use.
// It is safe for concurrent use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that is closed by the next Raise. A caller that obtains the
// channel before it reads the state in question misses no change.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Raise wakes all goroutines that wait for the signal.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
	}
	s.next = nil
}
