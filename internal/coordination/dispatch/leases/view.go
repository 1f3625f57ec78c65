package leases

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// viewOf returns the worker as dispatch sees it. It returns nil for a worker that is
// gone, or that is unresponsive and whose lease has expired. Until the lease expires,
// the runs of an unresponsive worker count as active: none of them could be started
// elsewhere anyway, and a partition shorter than the lease then affects none of them.
//
// Reported ends still count. Otherwise a run that completed just before its worker
// departed, or whose end was known when the worker became unresponsive, would be taken
// for lost and run a second time.
func (s *session) viewOf(worker *peerpb.Upstream) *peerpb.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.manager.log.State()
	if s.over() || (s.unresponsive() && s.leaseOver()) {
		return s.endsView(worker, state)
	}
	if s.view != nil && s.viewSource == worker && !s.viewStale {
		return s.view
	}
	view := proto.CloneOf(worker)
	s.version++
	view.Version = s.version
	view.Leaving = worker.Leaving || s.departed || !s.tracker.HasReport() || s.unconfirmed || s.suspended || !s.life.doubtedAt.IsZero() || !s.life.forgetfulSince.IsZero()
	view.Tasks = append(s.tracker.Tasks(state), s.pastEnds(state)...)
	if s.life.named() {
		view.Incarnation = s.life.incarnation
	}
	s.view, s.viewSource, s.viewStale = view, worker, false
	return view
}

// unannouncedView is endsView for a worker that no longer announces itself.
func (s *session) unannouncedView() *peerpb.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAnnounced == nil {
		return nil
	}
	return s.endsView(s.lastAnnounced, s.manager.log.State())
}

// endsView returns the view of a worker that is lost or gone. It contains only the ends
// that are not committed yet; once all are committed, the view is nil.
func (s *session) endsView(worker *peerpb.Upstream, state *store.State) *peerpb.Upstream {
	ends := append(s.tracker.UncommittedEnds(state), s.pastEnds(state)...)
	if len(ends) == 0 {
		return nil
	}
	view := proto.CloneOf(worker)
	s.version++
	view.Version = s.version
	view.Leaving = true
	view.Tasks = ends
	s.viewStale = true
	return view
}
