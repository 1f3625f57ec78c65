package httpapi

import (
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
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
// this worker. Any instance may do that, so leases do not meet at the leader. An
// instance whose state is not fresh renews nothing: it would keep a gang alive
// that has been stopped since. What it holds of stops stays true however old it
// is, because an epoch that has ended never comes back, so those it passes on.
func (s *Server) tellWorker(announcement *api.Announcement) *api.AnnounceReply {
	reply := &api.AnnounceReply{
		NextMs:  s.settings.Upstreams.AnnounceEvery.Milliseconds(),
		LeaseMs: s.settings.Upstreams.Lease.Milliseconds(),
	}
	fresh := s.control.Fresh() == nil
	state := s.control.State()
	for _, task := range announcement.Tasks {
		sortTask(reply, state, fresh, task)
	}
	return reply
}

func sortTask(reply *api.AnnounceReply, state *store.State, fresh bool, task api.TaskReport) {
	ref := api.TaskRef{Job: task.Job, Task: task.Task, Epoch: task.Epoch}
	live := task.Phase == api.PhaseReserved || task.Phase == api.PhaseRunning
	verdict := judge(state, ref)
	switch {
	case live && verdict == runWanted && fresh:
		reply.Renew = append(reply.Renew, ref)
	case live && (verdict == runStopping || verdict == runOver):
		reply.Stop = append(reply.Stop, ref)
	case !live && verdict == runOver:
		reply.Forget = append(reply.Forget, ref)
	}
}

// runVerdict is what the control state says of one run of a task.
type runVerdict int

const (
	// runUnknown is a run that the state has not reached yet: a command may be
	// faster than the log. Forgetting its end would lose the work.
	runUnknown runVerdict = iota
	runWanted
	// runStopping is a run whose stop is committed and not yet acknowledged by
	// all; its report is the acknowledgement.
	runStopping
	runOver
)

func judge(state *store.State, ref api.TaskRef) runVerdict {
	job, ok := state.Job(ref.Job)
	if !ok || job.Epoch < ref.Epoch {
		return runUnknown
	}
	if job.Epoch > ref.Epoch {
		return runOver
	}
	switch job.State {
	case controlpb.JobState_JOB_STATE_STARTING, controlpb.JobState_JOB_STATE_RUNNING:
		return runWanted
	case controlpb.JobState_JOB_STATE_STOPPING:
		return runStopping
	}
	return runOver
}

// announceGrace is added to windows that look for live instances.
const announceGrace = 2 * time.Second
