package httpapi

import (
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// announcementsMissed is how many announcements may be lost before an upstream
// counts as gone.
const announcementsMissed = 3

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
	writeJSON(w, &api.AnnounceReply{NextMs: s.settings.Upstreams.AnnounceEvery.Milliseconds()})
}

func (s *Server) announce(r *http.Request, kind peerpb.UpstreamKind) (*api.Announcement, error) {
	announcement := &api.Announcement{}
	if err := readJSON(r, announcement); err != nil {
		return nil, err
	}
	if announcement.ID == "" || announcement.Address == "" {
		return nil, failure.New(failure.BadRequest, "an announcement names id and address")
	}
	ttl := s.settings.Upstreams.AnnounceEvery * announcementsMissed
	s.registry.Merge(announcement.Upstream(kind, ttl))
	return announcement, nil
}

// tellWorker renews the leases of the tasks that the control state wants on
// this worker. Any instance may do that, so leases do not meet at the leader; an
// instance whose state is not fresh renews nothing, or it would keep alive a
// gang that has been stopped since.
func (s *Server) tellWorker(announcement *api.Announcement) *api.AnnounceReply {
	reply := &api.AnnounceReply{
		NextMs:  s.settings.Upstreams.AnnounceEvery.Milliseconds(),
		LeaseMs: s.settings.Upstreams.Lease.Milliseconds(),
	}
	if s.control.Fresh() != nil {
		return reply
	}
	state := s.control.State()
	for _, task := range announcement.Tasks {
		ref := api.TaskRef{Job: task.Job, Task: task.Task, Epoch: task.Epoch}
		sortTask(reply, state, task, ref)
	}
	return reply
}

func sortTask(reply *api.AnnounceReply, state *store.State, task api.TaskReport, ref api.TaskRef) {
	ended := task.Phase != api.PhaseReserved && task.Phase != api.PhaseRunning
	wanted := taskWanted(state, ref)
	switch {
	case wanted && !ended:
		reply.Renew = append(reply.Renew, ref)
	case ended && !wanted:
		reply.Forget = append(reply.Forget, ref)
	case !ended && taskStale(state, ref):
		reply.Stop = append(reply.Stop, ref)
	}
}

func taskWanted(state *store.State, ref api.TaskRef) bool {
	job, ok := state.Job(ref.Job)
	return ok && job.Epoch == ref.Epoch && len(job.Placements) > 0 && !store.Ended(job.State)
}

// taskStale tells a run that the state has left behind from one that it has
// not reached yet: a command may be faster than the log.
func taskStale(state *store.State, ref api.TaskRef) bool {
	job, ok := state.Job(ref.Job)
	if !ok {
		return false
	}
	return job.Epoch > ref.Epoch || (job.Epoch == ref.Epoch && store.Ended(job.State))
}

// announceGrace is added to windows that look for live instances.
const announceGrace = 2 * time.Second
