package leases

import (
	"maps"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A request that extends a lease may be carried out late, and then by the worker's next incarnation, whose lease it extends
// to the longest that a worker grants. One that the incarnation has answered for which it was meant has been carried out.

// extension is a request that extends a lease.
type extension struct {
	// incarnation is the one that it was meant for, sent when it was sent.
	incarnation int64
	sent        time.Time
	// answered is when an answer arrived that may be another incarnation's; zero for none.
	answered time.Time
}

// extensions are the requests to one worker that extend a lease and that the incarnation for which they were meant is not known
// to have answered. They outlast the sessions
// with the worker in one term.
type extensions struct {
	mu         sync.Mutex
	unanswered map[*extension]struct{}
}

// newest returns when the newest one was sent that was meant for another incarnation; zero for none.
func (e *extensions) newest(incarnation int64) (sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for request := range e.unanswered {
		if request.incarnation != incarnation && request.sent.After(sent) {
			sent = request.sent
		}
	}
	return sent
}

// add adds a request that is sent now, and forgets those that were sent over a period ago.
func (e *extensions) add(request *extension, period time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.unanswered, func(earlier *extension, _ struct{}) bool { return request.sent.Sub(earlier.sent) > period })
	e.unanswered[request] = struct{}{}
}

// settle records the outcome of a request. One that never left is forgotten.
func (e *extensions) settle(request *extension, err error, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch code := failure.From(err).Code; {
	case request == nil:
	case err != nil && isUnsent(code):
		delete(e.unanswered, request)
	case err == nil || !isUnanswered(code):
		request.answered = now
	}
}

// settleReport forgets a request that a report of its incarnation has answered.
func (e *extensions) settleReport(request *extension, incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request != nil && request.incarnation == incarnation {
		delete(e.unanswered, request)
	}
}

// confirm forgets the requests for an incarnation that had been answered when a report of it was requested: it answered
// them itself, since another one would have answered the later request, too.
func (e *extensions) confirm(incarnation int64, requested time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.unanswered, func(request *extension, _ struct{}) bool {
		return request.incarnation == incarnation && !request.answered.IsZero() && !requested.Before(request.answered)
	})
}

// recordExtension records that a request is sent now that extends the lease. The caller must hold the lock.
func (s *session) recordExtension() *extension {
	request := &extension{incarnation: s.life.current(), sent: s.now()}
	s.extensions.add(request, s.manager.lateStartPeriod())
	return request
}

// lateExtensionBound returns until when a lease may last that late requests for other incarnations than the given one have
// extended. The caller must hold the lock.
func (s *session) lateExtensionBound(incarnation int64) time.Time {
	sent := s.inheritedUntil
	if newest := s.extensions.newest(incarnation); newest.After(sent) {
		sent = newest
	}
	return sent.Add(s.manager.lateStartPeriod())
}

// extensionsOf returns the requests to a worker of this term. The caller must hold the lock.
func (m *Manager) extensionsOf(worker string) *extensions {
	known := m.extensions[worker]
	if known == nil {
		known = &extensions{unanswered: map[*extension]struct{}{}}
		m.extensions[worker] = known
	}
	return known
}

// dropExtensions forgets workers without a session whose requests can't act any more. The caller must hold the lock.
func (m *Manager) dropExtensions() {
	if len(m.extensions) <= len(m.sessions) {
		return
	}
	over := m.config.Now().Add(-m.lateStartPeriod())
	maps.DeleteFunc(m.extensions, func(worker string, known *extensions) bool {
		return m.sessions[worker] == nil && known.newest(0).Before(over)
	})
}
