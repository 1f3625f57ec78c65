package main

import (
	"net/http"
	"time"
)

// drain lets the minion leave as planned: it reports that it drains, goes on serving for
// drainMs after the confirmation and for a while longer, deregisters and ends. Without a
// confirmation of that it ends unconfirmedIn later all the same.
func (m *minion) drain(s *system, longer time.Duration) {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.cluster.record.add("%s drains", m.id)
	await(10*time.Second, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.confirm.IsZero()
	})
	time.Sleep(drainMs*time.Millisecond + longer)
	m.cluster.record.add("%s sends its deregistration", m.id)
	path := "/pinewinch/instances/" + m.id + "/deregister"
	m.mu.Lock()
	home := m.home
	m.deregistered = true
	m.mu.Unlock()
	for _, address := range append([]string{home}, m.control()...) {
		status, answer := s.call(http.MethodPost, address, path, "", "", "")
		if m.isDeaf() {
			s.record.add("%s: POST %s at %s: the answer, %d, does not reach it", m.id, path, address, status)
			break
		}
		s.record.add("%s: POST %s at %s answered %d %s", m.id, path, address, status, answer)
		if status/100 == 2 {
			m.end("deregistered, confirmed")
			return
		}
	}
	time.Sleep(unconfirmedIn)
	m.end("deregistered, not confirmed")
}
