package httpapi

import (
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/renewal"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// leaseAnnouncements is how many announcements a lease outlasts, however far
// their interval is stretched.
const leaseAnnouncements = 3

func (s *Server) announceWorker(w http.ResponseWriter, r *http.Request) {
	announcement, err := s.announce(r, peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.tellWorker(announcement))
}

func (s *Server) announceMinion(w http.ResponseWriter, r *http.Request) {
	if _, err := s.announce(r, peerpb.UpstreamKind_UPSTREAM_KIND_MINION); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.tell(&api.AnnounceReply{TryOther: s.control.Fresh() != nil}))
}

func (s *Server) announce(r *http.Request, kind peerpb.UpstreamKind) (*api.Announcement, error) {
	announcement := &api.Announcement{}
	if err := readJSON(r, announcement); err != nil {
		return nil, err
	}
	if announcement.ID == "" || announcement.Address == "" {
		return nil, failure.New(failure.BadRequest, "an announcement names id and address")
	}
	ttl := s.announceEvery() * api.AnnouncementsMissed
	return announcement, s.registry.Merge(announcement.Upstream(kind, ttl))
}

// tellWorker renews leases as far as this instance's state is fresh enough.
func (s *Server) tellWorker(announcement *api.Announcement) *api.AnnounceReply {
	fresh := s.control.Fresh() == nil
	reply := renewal.Answer(s.control.State(), fresh, announcement.Tasks)
	reply.LeaseMs = s.settings.Upstreams.Lease.Milliseconds()
	return s.tell(reply)
}

// tell adds when the upstream announces itself next. One that is to turn to another
// instance does so before its leases end, however many announce here.
func (s *Server) tell(reply *api.AnnounceReply) *api.AnnounceReply {
	next := s.announceEvery()
	if reply.TryOther {
		next = s.settings.Upstreams.AnnounceEvery
	}
	reply.NextMs = next.Milliseconds()
	return reply
}

// announceEvery is the interval that upstreams are told now.
func (s *Server) announceEvery() time.Duration {
	upstreams := s.settings.Upstreams
	return s.registry.AnnounceEvery(upstreams.AnnounceEvery, upstreams.Lease/leaseAnnouncements)
}

// announceGrace is added to windows that look for live instances.
const announceGrace = 2 * time.Second
