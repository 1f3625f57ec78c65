package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"pinewinch.example/pinewinch/internal/coordination/report"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// statusTimeout limits how long a status request with ?after=INDEX waits for a newer
// state.
const statusTimeout = 20 * time.Second

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ string) {
	if err := s.awaitIndex(r); err != nil {
		writeError(w, err)
		return
	}
	state := s.control.State()
	status := report.Summarize(state, s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER))
	status.Revision = state.Revision()
	status.Index = state.Index()
	status.Leader = s.control.Leader()
	status.Fresh = s.control.CheckFresh() == nil
	status.EvacuatedDataCentres = s.evacuated()
	status.Minions = len(s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION))
	writeJSON(w, status)
}

// awaitIndex implements long polling: it waits until the state is newer than the index
// that the caller has.
func (s *Server) awaitIndex(r *http.Request) error {
	text := r.URL.Query().Get("after")
	if text == "" {
		return nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return failure.New(failure.BadRequest, "after is a log index, not %q", text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	for {
		changed := s.control.Changed()
		if s.control.State().Index() > after || s.stopping.Load() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) members(w http.ResponseWriter, _ *http.Request, _ string) {
	members := []api.Instance{}
	for _, instance := range s.registry.Instances(s.settings.Control.FreshnessBound + announceGrace) {
		members = append(members, api.Instance{
			Name:       instance.Name,
			DataCentre: instance.DataCentre,
			Applied:    instance.Applied,
			Revision:   instance.Revision,
			Ready:      instance.Ready,
			Replica:    instance.Replica,
			LogRole:    instance.LogRole,
			Leader:     instance.Name == s.control.Leader(),
		})
	}
	writeJSON(w, members)
}

// Voters changes the replicas that keep the log.
type Voters interface {
	ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error
}

func (s *Server) changeMembers(w http.ResponseWriter, r *http.Request, _ string) {
	change := api.ChangeMembers{}
	if err := readJSON(r, &change); err != nil {
		writeError(w, err)
		return
	}
	if change.Add == "" && change.Remove == "" {
		writeError(w, failure.New(failure.BadRequest, "name a replica to add, to remove, or both"))
		return
	}
	if err := s.voters.ChangeMembers(r.Context(), &peerpb.ChangeMembers{Add: change.Add, Remove: change.Remove}); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, change)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, _ string) {
	drain := &controlpb.SetDrain{Upstream: mux.Vars(r)["id"], Drained: r.Method == http.MethodPost}
	if _, err := s.propose(r, &controlpb.Command{Op: &controlpb.Command_Drain{Drain: drain}}); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// stateDump is the state of this process for troubleshooting. It contains no tokens and
// no request bodies.
type stateDump struct {
	Instance  string                  `json:"instance"`
	Leader    string                  `json:"leader"`
	Index     uint64                  `json:"index"`
	Revision  uint64                  `json:"revision"`
	Fresh     bool                    `json:"fresh"`
	Jobs      []api.Job               `json:"jobs"`
	Workers   []*peerpb.Upstream      `json:"workers"`
	Minions   []*peerpb.Upstream      `json:"minions"`
	Instances []*peerpb.InstanceState `json:"instances"`
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request, _ string) {
	state := s.control.State()
	dump := stateDump{
		Instance:  s.settings.Instance.Name,
		Leader:    s.control.Leader(),
		Index:     state.Index(),
		Revision:  state.Revision(),
		Fresh:     s.control.CheckFresh() == nil,
		Workers:   s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER),
		Minions:   s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION),
		Instances: s.registry.Instances(s.settings.Control.FreshnessBound + announceGrace),
	}
	for _, job := range state.Jobs() {
		dump.Jobs = append(dump.Jobs, describe(job))
	}
	writeJSON(w, dump)
}
