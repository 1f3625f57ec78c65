package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// fakes implements the dependencies of a router: control state, registry,
// minion client and lenders.
type fakes struct {
	state *store.State
	stale atomic.Bool
	live  atomic.Pointer[[]*peerpb.Upstream]
	serve func(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error)
}

func (w *fakes) State() *store.State { return w.state }

func (w *fakes) CheckFresh() error {
	if w.stale.Load() {
		return failure.New(failure.StaleState, "not confirmed")
	}
	return nil
}

func (w *fakes) Live(peerpb.UpstreamKind) []*peerpb.Upstream { return *w.live.Load() }

func (w *fakes) Instances(time.Duration) []*peerpb.InstanceState { return nil }

func (w *fakes) Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error) {
	return w.serve(ctx, address, call)
}

func (w *fakes) Borrow(context.Context, string, admission.BorrowRequest) (admission.BorrowReply, error) {
	return admission.BorrowReply{}, failure.New(failure.Unreachable, "peer unreachable")
}

// withRouter runs a test against a running router with one minion of one slot.
func withRouter(t *testing.T, test func(is *is.I, w *fakes, r *Router)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakes{}
		members := &controlpb.CreditMembers{Epoch: 1, Members: []string{"a"}}
		w.state, _ = store.New().Apply(1, &controlpb.Command{Op: &controlpb.Command_CreditMembers{CreditMembers: members}})
		w.live.Store(&[]*peerpb.Upstream{{Id: "m", Address: "m", Services: []string{"s"}, Slots: 1}})
		w.serve = func(ctx context.Context, _ string, _ *api.ServeCall) (*api.Answer, error) {
			time.Sleep(time.Second)
			return &api.Answer{Status: 200}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		r := New(Config{Instance: "a", QueueLength: 10, FreshnessBound: 3 * time.Second, Now: time.Now}, w, w, w, w)
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		time.Sleep(4 * time.Second) // a restarted member waits one freshness bound
		test(is.New(t), w, r)
		cancel()
		<-done
	})
}

func send(r *Router, within time.Duration, idempotent bool) (*api.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return r.Send(ctx, &Request{Customer: "c", Service: "s"}, idempotent)
}

func TestLeavingMinionGetsNoNewRequests(t *testing.T) {
	// A minion announces that it is leaving while a request waits for its slot.
	// The request it is running completes; the queued one is refused immediately
	// as not run.
	withRouter(t, func(is *is.I, w *fakes, r *Router) {
		begin := time.Now()
		first, second := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := send(r, time.Minute, false)
			first <- err
		}()
		time.Sleep(10 * time.Millisecond)
		go func() {
			_, err := send(r, time.Minute, false)
			second <- err
		}()
		synctest.Wait()
		w.live.Store(&[]*peerpb.Upstream{{Id: "m", Address: "m", Services: []string{"s"}, Slots: 1, Leaving: true}})
		err := <-second
		is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
		is.True(failure.From(err).RetryAfter > 0)
		is.True(time.Since(begin) < time.Second) // its deadline is a minute away
		is.NoErr(<-first)
	})
}

func TestDeadlineOutcomeDependsOnDispatch(t *testing.T) {
	// Two requests reach their deadlines. One was sent to the minion and may have
	// run, so its outcome is unknown; the other is still queued and is reported as
	// not run.
	withRouter(t, func(is *is.I, w *fakes, r *Router) {
		w.serve = func(ctx context.Context, _ string, _ *api.ServeCall) (*api.Answer, error) {
			<-ctx.Done()
			return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "cut")
		}
		atMinion, waiting := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := send(r, 2*time.Second, false)
			atMinion <- err
		}()
		time.Sleep(10 * time.Millisecond)
		go func() {
			_, err := send(r, time.Second, false)
			waiting <- err
		}()
		is.Equal(failure.From(<-waiting).NotRun, failure.NotRunTrue)
		is.Equal(failure.From(<-atMinion).NotRun, failure.NotRunUnknown)
	})
}

func TestStaleStateRefusesQueuedRequests(t *testing.T) {
	// The control state becomes stale while a request is queued. The configuration
	// may have changed, so the request is refused as not run long before its
	// deadline.
	withRouter(t, func(is *is.I, w *fakes, r *Router) {
		go func() { _, _ = send(r, time.Minute, false) }()
		time.Sleep(10 * time.Millisecond)
		waiting := make(chan error, 1)
		go func() {
			_, err := send(r, time.Minute, false)
			waiting <- err
		}()
		synctest.Wait()
		w.stale.Store(true)
		begin := time.Now()
		err := <-waiting
		is.True(failure.Is(err, failure.StaleState))
		is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
		is.True(time.Since(begin) <= 2*refreshInterval)
		time.Sleep(2 * time.Second)
	})
}

// No request goes to a minion in an evacuated data centre.
func TestEvacuatedMinionIsNotInTheView(t *testing.T) {
	is, w := is.New(t), &fakes{}
	w.state, _ = store.New().Apply(1, &controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{DataCentre: "east", Evacuate: true}}})
	w.live.Store(&[]*peerpb.Upstream{{Id: "m1", DataCentre: "east"}, {Id: "m2", DataCentre: "west"}})
	view := New(Config{Instance: "a", Now: time.Now}, w, w, w, w).readView()
	is.Equal(len(view.Minions), 1)
	is.Equal(view.Minions[0].ID, "m2")
}
