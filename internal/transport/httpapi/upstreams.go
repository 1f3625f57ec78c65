package httpapi

import (
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/renewal"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// announcementsPerLease is the least number of announcement intervals in a lease; it
// limits how far the interval is stretched under load.
const announcementsPerLease = 3

func (s *Server) announceWorker(w http.ResponseWriter, r *http.Request) {
	announcement, err := s.announce(r, peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.renewLeases(announcement))
}

func (s *Server) announceMinion(w http.ResponseWriter, r *http.Request) {
	if _, err := s.announce(r, peerpb.UpstreamKind_UPSTREAM_KIND_MINION); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.setNextAnnouncement(&api.AnnounceReply{TryOther: s.control.CheckFresh() != nil}))
}

func (s *Server) announce(r *http.Request, kind peerpb.UpstreamKind) (*api.Announcement, error) {
	announcement := &api.Announcement{}
	if err := readJSON(r, announcement); err != nil {
		return nil, err
	}
	if announcement.ID == "" || announcement.Address == "" {
		return nil, failure.New(failure.BadRequest, "an announcement names id and address")
	}
	ttl := s.announceInterval() * api.MaxMissedAnnouncements
	return announcement, s.registry.Merge(announcement.Upstream(kind, ttl))
}

// renewLeases returns the reply to a worker's announcement. Leases are renewed only if
// this instance's state is fresh.
func (s *Server) renewLeases(announcement *api.Announcement) *api.AnnounceReply {
	fresh := s.control.CheckFresh() == nil
	reply := renewal.Answer(s.control.State(), fresh, announcement.Tasks)
	reply.LeaseMs = s.settings.Upstreams.Lease.Milliseconds()
	return s.setNextAnnouncement(reply)
}

// setNextAnnouncement sets when the upstream announces itself next. One that is to try
// another instance gets the configured interval, not the stretched one, so that it does
// so before its leases expire.
func (s *Server) setNextAnnouncement(reply *api.AnnounceReply) *api.AnnounceReply {
	next := s.announceInterval()
	if reply.TryOther {
		next = s.settings.Upstreams.AnnounceEvery
	}
	reply.NextMs = next.Milliseconds()
	return reply
}

// announceInterval returns the interval of announcements that upstreams are given now. It
// is stretched when many announce here.
func (s *Server) announceInterval() time.Duration {
	upstreams := s.settings.Upstreams
	return s.registry.AnnounceEvery(upstreams.AnnounceEvery, upstreams.Lease/announcementsPerLease)
}

// announceGrace is added to the windows in which live workers and instances must have
// announced themselves.
const announceGrace = 2 * time.Second
