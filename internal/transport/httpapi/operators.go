package httpapi

import (
	"net/http"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

func (s *Server) getDeclarations(w http.ResponseWriter, _ *http.Request, _ string) {
	state := s.control.State()
	items, err := protojson.Marshal(&controlpb.Snapshot{Items: state.Items()})
	if err != nil {
		writeError(w, failure.Wrap(failure.Internal, err, "encode declarations"))
		return
	}
	writeJSON(w, api.Declarations{Revision: state.Revision(), Items: items})
}

func (s *Server) applyDeclarations(w http.ResponseWriter, r *http.Request, operator string) {
	apply := api.ApplyRequest{}
	if err := readJSON(r, &apply); err != nil {
		writeError(w, err)
		return
	}
	op := &controlpb.ApplyItems{ExpectedRevision: apply.ExpectedRevision, Remove: apply.Remove}
	for _, text := range apply.Set {
		item := &controlpb.Item{}
		if err := protojson.Unmarshal(text, item); err != nil {
			writeError(w, failure.Wrap(failure.BadDeclaration, err, "item does not decode"))
			return
		}
		op.Set = append(op.Set, item)
	}
	command := &controlpb.Command{Op: &controlpb.Command_Apply{Apply: op}}
	if apply.Client != "" {
		command.Client = operator + "/" + apply.Client
		command.Sequence = apply.Sequence
	}
	result, err := s.propose(r, command)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, api.ApplyReply{Revision: result.Revision, Index: result.Index})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	state := s.control.State()
	status := api.Status{
		Revision: state.Revision(),
		Leader:   s.control.Leader(),
		Jobs:     map[string]int{},
		Minions:  len(s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION)),
	}
	s.countJobs(&status, state.Jobs())
	for _, worker := range s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER) {
		status.Workers++
		status.Accelerators += int(worker.Accelerators)
	}
	status.Idle = status.Accelerators - status.Used
	writeJSON(w, status)
}

func (s *Server) countJobs(status *api.Status, jobs []*controlpb.Job) {
	var total, lost int64
	completed := 0
	for _, job := range jobs {
		status.Jobs[stateName(job.State)]++
		lost += job.LostMs
		for _, placement := range job.Placements {
			status.Used += len(placement.Accelerators)
		}
		if job.State == controlpb.JobState_JOB_STATE_COMPLETED {
			total += job.EndedMs - job.SubmittedMs
			completed++
		}
	}
	status.LostSeconds = float64(lost) / msPerSecond
	if completed > 0 {
		status.MeanSeconds = float64(total) / float64(completed) / msPerSecond
	}
}

const msPerSecond = 1000

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

func (s *Server) drain(w http.ResponseWriter, r *http.Request, _ string) {
	drain := &controlpb.SetDrain{Upstream: mux.Vars(r)["id"], Drained: r.Method == http.MethodPost}
	if _, err := s.propose(r, &controlpb.Command{Op: &controlpb.Command_Drain{Drain: drain}}); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// stateDump is what this process knows, for a person in trouble. Tokens and
// bodies of requests are left out.
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
		Fresh:     s.control.Fresh() == nil,
		Workers:   s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER),
		Minions:   s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_MINION),
		Instances: s.registry.Instances(s.settings.Control.FreshnessBound + announceGrace),
	}
	for _, job := range state.Jobs() {
		dump.Jobs = append(dump.Jobs, describe(job))
	}
	writeJSON(w, dump)
}
