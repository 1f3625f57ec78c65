package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// slowMinions answers after a fixed time unless the call is cancelled first.
type slowMinions struct{ takes time.Duration }

func (m slowMinions) Serve(ctx context.Context, _ string, _ *api.ServeCall) (*api.Answer, error) {
	select {
	case <-ctx.Done():
		return nil, failure.Ran(failure.DeadlinePassed, failure.NotRunUnknown, ctx.Err(), "cancelled")
	case <-time.After(m.takes):
		return &api.Answer{Status: 200}, nil
	}
}

func (d *dispatcher) arrive(ctx context.Context) *waiter {
	w := &waiter{ctx: ctx, request: &Request{}, done: make(chan delivery, 1)}
	request := &admission.Request{Service: "report", Deadline: d.now().Add(time.Minute), Owner: w}
	d.handle(func(p *admission.Policy, now time.Time) []admission.Action { return p.Arrive(now, request) })
	return w
}

// Eight callers cancel at once while their requests run on the only minion.
// Each attempt ends before its caller's goroutine reports the cancellation. The
// minion must not be ejected as an outlier for this, or a burst of cancellations
// would make every minion unavailable for seconds.
func TestCancellationsAreNotMinionFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(Config{Instance: "a", QueueLength: 100, Now: time.Now}, slowMinions{10 * time.Millisecond}, nil)
		d.handle(func(p *admission.Policy, now time.Time) []admission.Action {
			minion := admission.Minion{ID: "m", Slots: 8, Services: []string{"report"}}
			return p.SetView(now, admission.View{Epoch: 1, Members: []string{"a"}, Minions: []admission.Minion{minion}})
		})
		is.NoErr((<-d.arrive(t.Context()).done).err)
		ctx, cancel := context.WithCancel(t.Context())
		for range 8 {
			d.arrive(ctx)
		}
		time.Sleep(time.Millisecond)
		cancel()
		synctest.Wait()
		start := time.Now()
		is.NoErr((<-d.arrive(t.Context()).done).err)
		is.Equal(time.Since(start), 10*time.Millisecond)
	})
}
