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

// world fakes what a router stands on: a log, a registry, minions, peers.
type world struct {
	state *store.State
	stale atomic.Bool
	live  atomic.Pointer[[]*peerpb.Upstream]
	serve func(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error)
}

func (w *world) State() *store.State { return w.state }

func (w *world) Fresh() error {
	if w.stale.Load() {
		return failure.New(failure.StaleState, "not confirmed")
	}
	return nil
}

func (w *world) Live(peerpb.UpstreamKind) []*peerpb.Upstream { return *w.live.Load() }

func (w *world) Instances(time.Duration) []*peerpb.InstanceState { return nil }

func (w *world) Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error) {
	return w.serve(ctx, address, call)
}

func (w *world) Ask(context.Context, string, admission.Ask) (admission.Reply, error) {
	return admission.Reply{}, failure.New(failure.Unreachable, "no peer")
}

// routed runs a test beside a router with one minion of one slot.
func routed(t *testing.T, test func(is *is.I, w *world, r *Router)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
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

func TestLeavingMinionGetsNothingNew(t *testing.T) {
	// A minion says that it leaves while requests wait for its slot. The one it
	// has ends well; the others are refused as not run, at once.
	routed(t, func(is *is.I, w *world, r *Router) {
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

func TestDeadlineAtTheMinionIsUnknownInTheQueueNotRun(t *testing.T) {
	// Two callers run out of time: one whose request is at the minion, which may
	// have run it, and one whose request still waits, which surely has not run.
	routed(t, func(is *is.I, w *world, r *Router) {
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

func TestStaleStateRefusesWhatWaits(t *testing.T) {
	// The control state goes stale while a request waits: rules may have changed,
	// so it is refused as not run though its deadline is far.
	routed(t, func(is *is.I, w *world, r *Router) {
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
		is.True(time.Since(begin) <= 2*refreshEvery)
		time.Sleep(2 * time.Second)
	})
}
