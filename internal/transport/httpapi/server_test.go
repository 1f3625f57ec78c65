package httpapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/operators"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/state/store"
)

// fakeLog applies commands at once, like a log with a single voter.
type fakeLog struct {
	state   *store.State
	changed chan struct{}
	stale   error
}

func (l *fakeLog) State() *store.State      { return l.state }
func (l *fakeLog) CheckFresh() error        { return l.stale }
func (l *fakeLog) Changed() <-chan struct{} { return l.changed }
func (l *fakeLog) Leader() string           { return "i1" }
func (l *fakeLog) IsLeader() bool           { return true }

func (l *fakeLog) Propose(_ context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	state, result := l.state.Apply(l.state.Index()+1, command)
	l.state = state
	return result, nil
}

type emptyExplainer struct{}

func (emptyExplainer) Interference(context.Context) (*peerpb.Interference, error) {
	return &peerpb.Interference{Enabled: true, Pairs: []*peerpb.InterferencePair{{
		Victim: "maps/2", Aggressor: "batch", Slowdown: 1.5, Interferes: true, Workers: 7, Cpu: 0.6, CpuWithout: -1, SinceMs: 1, LastSeenMs: 1,
	}}}, nil
}

func (emptyExplainer) Explain(context.Context, string) (*peerpb.Explanation, error) {
	return &peerpb.Explanation{}, nil
}

const testDeclarations = `[customer crews]
[customer planners]
[class survey]
accelerators = 4
run_time = 1m
`

func newServer(t *testing.T) (*Server, *fakeLog) {
	is := is.New(t)
	items, err := declaration.Parse("f", []byte(testDeclarations))
	is.NoErr(err)
	l := &fakeLog{state: store.New(), changed: make(chan struct{})}
	_, err = l.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{Set: items}}})
	is.NoErr(err)
	hash := func(token string) []byte {
		sum := sha256.Sum256([]byte(token))
		return sum[:]
	}
	s := &settings.Settings{
		Customers: map[string][]byte{"crews": hash("crews-secret"), "planners": hash("planners-secret")},
		Operators: map[string][]byte{"ops": hash("ops-secret")},
		Upstreams: settings.Upstreams{AnnounceEvery: time.Second, Lease: 10 * time.Second, Token: hash("upstream-secret")},
		Requests:  settings.Requests{MaxBodyBytes: 4096},
	}
	registry := membership.NewRegistry(membership.Config{Now: time.Now})
	evacuations := operators.NewEvacuations(operators.EvacuationConfig{DataCentres: []string{"north"}, Now: time.Now}, l, registry, logrus.New())
	return New(s, l, registry, nil, emptyExplainer{}, nil, evacuations), l
}

// send sends one request and decodes the body of an error.
func send(t *testing.T, handler http.Handler, method, path, token string, body []byte) (*httptest.ResponseRecorder, api.ErrorBody) {
	request := httptest.NewRequest(method, path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	refusal := api.ErrorBody{}
	if recorder.Code >= http.StatusBadRequest {
		is.New(t).NoErr(json.Unmarshal(recorder.Body.Bytes(), &refusal))
	}
	return recorder, refusal
}

// Requests with a wrong token, an unknown path or an invalid body get an error body with a
// code, and a job of another customer is reported as not found.
func TestRefusals(t *testing.T) {
	server, _ := newServer(t)
	handler := server.Handler()
	submit := []byte(`{"class":"survey","key":"k1"}`)
	recorder, _ := send(t, handler, http.MethodPost, "/v1/jobs", "crews-secret", submit)
	is.New(t).Equal(recorder.Code, http.StatusOK)
	announcement := []byte(`{"id":"w1","address":"127.0.0.1:1"}`)
	large := []byte(`{"key":"` + strings.Repeat("x", 8192) + `"}`)
	tests := map[string]struct {
		method, path, token string
		body                []byte
		want                failure.Code
	}{
		"no token":                   {"POST", "/v1/jobs", "", submit, failure.Unauthorized},
		"operator submits":           {"POST", "/v1/jobs", "ops-secret", submit, failure.Unauthorized},
		"customer reads status":      {"GET", "/v1/status", "crews-secret", nil, failure.Unauthorized},
		"customer reads state":       {"GET", "/debug/state", "crews-secret", nil, failure.Unauthorized},
		"customer reads vars":        {"GET", "/debug/vars", "crews-secret", nil, failure.Unauthorized},
		"customer applies":           {"POST", "/v1/declarations", "crews-secret", []byte("{}"), failure.Unauthorized},
		"own job":                    {"GET", "/v1/jobs/crews:k1", "crews-secret", nil, ""},
		"operator sees job":          {"GET", "/v1/jobs/crews:k1", "ops-secret", nil, ""},
		"another's job":              {"GET", "/v1/jobs/crews:k1", "planners-secret", nil, failure.NotFound},
		"another's job explained":    {"GET", "/v1/explain/crews:k1", "planners-secret", nil, failure.NotFound},
		"another's job cancelled":    {"DELETE", "/v1/jobs/crews:k1", "planners-secret", nil, failure.NotFound},
		"announce, token":            {"POST", "/v1/workers/announce", "upstream-secret", announcement, ""},
		"announce, no token":         {"POST", "/v1/workers/announce", "", announcement, failure.Unauthorized},
		"announce, customer's token": {"POST", "/v1/minions/announce", "crews-secret", announcement, failure.Unauthorized},
		"unknown path":               {"GET", "/v2/jobs", "ops-secret", nil, failure.NotFound},
		"unknown method":             {"PATCH", "/v1/jobs", "crews-secret", nil, failure.WrongMethod},
		"body too large":             {"POST", "/v1/jobs", "crews-secret", large, failure.TooLarge},
		"not JSON":                   {"POST", "/v1/jobs", "crews-secret", []byte("{"), failure.BadRequest},
		"key not fit for a path":     {"POST", "/v1/jobs", "crews-secret", []byte(`{"class":"survey","key":"a/b"}`), failure.BadRequest},
		"unknown class":              {"POST", "/v1/jobs", "crews-secret", []byte(`{"class":"none"}`), failure.NotFound},
		"customer changes members":   {"POST", "/v1/members", "crews-secret", []byte(`{"add":"i4"}`), failure.Unauthorized},
		"no member named":            {"POST", "/v1/members", "ops-secret", []byte(`{}`), failure.BadRequest},
		"bad index":                  {"GET", "/v1/status?after=x", "ops-secret", nil, failure.BadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder, refusal := send(t, handler, test.method, test.path, test.token, test.body)
			is.Equal(refusal.Code, test.want)
			if test.want != "" {
				is.Equal(refusal.NotRun, failure.NotRunTrue)
				is.Equal(recorder.Code, failure.New(test.want, "").HTTPStatus())
			}
		})
	}
	recorder, _ = send(t, handler, http.MethodGet, "/v1/jobs", "planners-secret", nil)
	is.New(t).Equal(strings.TrimSpace(recorder.Body.String()), "[]")
}

// An operator calls the API directly. An invalid change is rejected as a whole; a resend
// of an accepted change gets its first result, although the same change without its
// client and sequence is a conflict by then.
func TestApply(t *testing.T) {
	server, l := newServer(t)
	handler := server.Handler()
	apply := func(t *testing.T, request api.ApplyRequest, items ...*controlpb.Item) (api.ApplyReply, api.ErrorBody) {
		is := is.New(t)
		for _, item := range items {
			text, err := protojson.Marshal(item)
			is.NoErr(err)
			request.Set = append(request.Set, text)
		}
		body, err := json.Marshal(request)
		is.NoErr(err)
		recorder, refusal := send(t, handler, http.MethodPost, "/v1/declarations", "ops-secret", body)
		reply := api.ApplyReply{}
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &reply))
		return reply, refusal
	}
	entry := func(class string) *controlpb.Item {
		return &controlpb.Item{Key: "entry/e", Body: &controlpb.Item_Entry{Entry: &controlpb.Entry{Name: "e", Customer: "crews", WorkClass: class}}}
	}
	is := is.New(t)
	_, refusal := apply(t, api.ApplyRequest{ExpectedRevision: 1}, entry("survey"), &controlpb.Item{Key: "customer/x"})
	is.Equal(refusal.Code, failure.BadDeclaration)
	is.True(strings.Contains(refusal.Message, "[customer/x]"))
	_, refusal = apply(t, api.ApplyRequest{ExpectedRevision: 1}, entry("none"))
	is.Equal(refusal.Code, failure.BadDeclaration)
	is.Equal(l.state.Revision(), uint64(1))

	first := api.ApplyRequest{Client: "c", Sequence: 1, ExpectedRevision: 1}
	reply, _ := apply(t, first, entry("survey"))
	is.Equal(reply.Revision, uint64(2))
	again, _ := apply(t, first, entry("survey"))
	is.Equal(again, reply)
	_, refusal = apply(t, api.ApplyRequest{ExpectedRevision: 1}, entry("survey"))
	is.Equal(refusal.Code, failure.Conflict)
	is.Equal(refusal.Revision, uint64(2))
}

// An instance is partitioned from the others. It must refuse to return its declarations,
// which may no longer be in force.
func TestStaleDeclarationsAreRefused(t *testing.T) {
	is := is.New(t)
	server, l := newServer(t)
	recorder, _ := send(t, server.Handler(), http.MethodGet, "/v1/declarations", "ops-secret", nil)
	is.Equal(recorder.Code, http.StatusOK)
	l.stale = failure.New(failure.StaleState, "cut off")
	_, refusal := send(t, server.Handler(), http.MethodGet, "/v1/declarations", "ops-secret", nil)
	is.Equal(refusal.Code, failure.StaleState)
}

// The timeout of a service exceeds the general write deadline of the server. The answer
// must still reach the caller, or completed work would appear lost.
func TestLongRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	server, l := newServer(t)
	slow := &controlpb.Item{Key: "service/slow", Body: &controlpb.Item_Service{Service: &controlpb.Service{Name: "slow", TimeoutMs: 60_000}}}
	_, err := l.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{ExpectedRevision: 1, Set: []*controlpb.Item{slow}}}})
	is.NoErr(err)
	writeTimeout := 100 * time.Millisecond
	routes := mux.NewRouter()
	routes.HandleFunc(api.PathRequests, server.requireCustomer(server.extendWriteDeadline(func(w http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(3 * writeTimeout)
		_, _ = w.Write([]byte("done"))
	})))
	httpServer := httptest.NewUnstartedServer(routes)
	httpServer.Config.WriteTimeout = writeTimeout
	httpServer.Start()
	defer httpServer.Close()
	request, err := http.NewRequest(http.MethodPost, httpServer.URL+"/v1/requests/slow", nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer crews-secret")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "done")
}

// A job crashes its workers and is given up with its workflow, which removes it. Its caller
// must still learn why, and from which workers.
func TestExplainJobThatWasGivenUp(t *testing.T) {
	is := is.New(t)
	server, l := newServer(t)
	propose := func(command *controlpb.Command) {
		_, err := l.Propose(t.Context(), command)
		is.NoErr(err)
	}
	propose(&controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: &controlpb.Workflow{
		Id: "f", Customer: "crews", Queue: "q", Steps: []*controlpb.Step{{Count: 1}},
	}}}})
	propose(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: &controlpb.CommitPlan{Assignments: []*controlpb.Assignment{
		{Job: "f.0.0.0", Placements: []*controlpb.Placement{{Worker: "w1", Incarnation: 1}}},
	}}}})
	move := &controlpb.MoveJob{Job: "f.0.0.0", Epoch: 1, State: controlpb.JobState_JOB_STATE_STOPPING}
	propose(&controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: &controlpb.BatchMove{
		Crashes: []*controlpb.WorkerCrash{{Worker: "w1", Incarnation: 1, LatestMs: 1000}}, Moves: []*controlpb.MoveJob{move},
	}}})
	move = &controlpb.MoveJob{Job: "f.0.0.0", Epoch: 1, State: controlpb.JobState_JOB_STATE_PARKED, Failure: &controlpb.TaskFailure{
		Code: string(failure.CrashesWorkers), Detail: "w1 crashed",
	}}
	propose(&controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: &controlpb.BatchMove{Moves: []*controlpb.MoveJob{move}}}})
	for _, id := range []string{"f", "f.0.0.0"} {
		recorder, _ := send(t, server.Handler(), http.MethodGet, "/v1/explain/"+id, "crews-secret", nil)
		explanation := api.Explanation{}
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &explanation))
		is.Equal(explanation.Job.State, "failed")
		is.Equal(explanation.Job.Failures, []string{"crashes_workers: w1 crashed"})
		is.Equal(explanation.Crashes, []string{"f.0.0.0: w1 crashed by 00:00:01.000, run 1, after 0 ms, alone"})
	}
	_, refusal := send(t, server.Handler(), http.MethodGet, "/v1/explain/f", "planners-secret", nil)
	is.Equal(refusal.Code, failure.NotFound)
}
