package claims

import (
	"context"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// commitDelay is the time that fakeLog takes to commit a command.
const commitDelay = 2 * time.Millisecond

// fakeLog is an in-memory replicated log shared by several executors.
type fakeLog struct {
	mu      sync.Mutex
	state   *store.State
	changed chan struct{}
	fresh   error
	// errBeforeCommit, if set, fails a command that is then not committed;
	// errAfterCommit fails it after the commit.
	errBeforeCommit, errAfterCommit error
}

func newFakeLog() *fakeLog {
	l := &fakeLog{state: store.New(), changed: make(chan struct{})}
	l.apply(&controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{Set: []*controlpb.Item{
		serviceItem("cut-order", false), serviceItem("report", true),
	}}}})
	return l
}

func serviceItem(name string, idempotent bool) *controlpb.Item {
	service := &controlpb.Service{Name: name, Idempotent: idempotent, TimeoutMs: 10_000}
	return &controlpb.Item{Key: "service/" + name, Body: &controlpb.Item_Service{Service: service}}
}

func (l *fakeLog) apply(command *controlpb.Command) *controlpb.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	command.TimeMs = time.Now().UnixMilli()
	var result *controlpb.Result
	l.state, result = l.state.Apply(l.state.Index()+1, command)
	close(l.changed)
	l.changed = make(chan struct{})
	return result
}

func (l *fakeLog) State() *store.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) CheckFresh() error { return l.fresh }

func (l *fakeLog) Propose(_ context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	time.Sleep(commitDelay)
	l.mu.Lock()
	refuse, lose := l.errBeforeCommit, l.errAfterCommit
	l.mu.Unlock()
	if refuse != nil {
		return nil, refuse
	}
	result := l.apply(command)
	if lose != nil {
		return nil, lose
	}
	return result, nil
}

func (l *fakeLog) setErrors(refuse, lose error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errBeforeCommit, l.errAfterCommit = refuse, lose
}

// fakeMinion counts runs; serve determines the result of each.
type fakeMinion struct {
	mu    sync.Mutex
	runs  int
	serve func(ctx context.Context, request *routing.Request) (*api.Answer, error)
}

func (m *fakeMinion) Send(ctx context.Context, request *routing.Request, _ bool) (*api.Answer, error) {
	return m.serve(ctx, request)
}

// run simulates a dispatched request that takes duration to run, also if the
// caller's context ends earlier.
func (m *fakeMinion) run(request *routing.Request, duration time.Duration) (*api.Answer, error) {
	if request.Call.OnDispatch != nil {
		request.Call.OnDispatch(true)
	}
	m.mu.Lock()
	m.runs++
	m.mu.Unlock()
	time.Sleep(duration)
	return &api.Answer{Status: 200, Body: []byte("cut " + request.Call.ID)}, nil
}

// cluster is a pair of executors, i1 and i2, that share one log and one minion.
type cluster struct {
	log       *fakeLog
	minion    *fakeMinion
	executors map[string]*Executor
	dead      map[string]bool
}

func newCluster() *cluster {
	c := &cluster{log: newFakeLog(), minion: &fakeMinion{}, executors: map[string]*Executor{}, dead: map[string]bool{}}
	c.minion.serve = func(_ context.Context, request *routing.Request) (*api.Answer, error) {
		return c.minion.run(request, 50*time.Millisecond)
	}
	for _, name := range []string{"i1", "i2"} {
		config := Config{Instance: name, AnswerTTL: time.Minute, MaxAnswerBytes: 1 << 20, Now: time.Now}
		c.executors[name] = New(config, c.log, c.minion, c)
	}
	return c
}

// Call implements Peers.
func (c *cluster) Call(_ context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	if c.dead[to] {
		return nil, failure.New(failure.Unreachable, "%s is unreachable", to)
	}
	return c.executors[to].ServeFetch(call.GetFetch())
}

func (c *cluster) do(ctx context.Context, instance, key, body string) (string, error) {
	request := &routing.Request{Customer: "crews", Service: "cut-order", Key: key, Body: []byte(body)}
	answer, err := c.executors[instance].Do(ctx, request)
	if err != nil {
		return "", err
	}
	return string(answer.Body), nil
}

// stop waits for the background work of all executors.
func (c *cluster) stop() {
	for _, executor := range c.executors {
		executor.Stop(context.Background())
	}
}
