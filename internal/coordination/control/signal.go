package control

import "sync"

// Signal tells everyone who waits for it that something has changed. The zero value
// is ready for use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next gives a channel that is closed by the next Raise. Who takes it before reading
// what may change misses no change.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Raise wakes everyone who waits.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
	}
	s.next = nil
}
