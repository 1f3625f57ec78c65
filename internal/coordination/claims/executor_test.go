package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/routing"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func expectFailure(is *is.I, err error, code failure.Code, notRun failure.NotRun) {
	is.Helper()
	f := failure.From(err)
	is.Equal(f.Code, code)
	is.Equal(f.NotRun, notRun)
}

var errLost = failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the leader failed")

// A caller sends a request to one instance and, after no response, resends it to
// another while the first still waits for the minion. The request runs once and
// all calls get the same answer. The answer is visible only to its customer, and
// once the instance that holds it has failed, the outcome is answer_gone.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		var group sync.WaitGroup
		for _, instance := range []string{"i1", "i2", "i1", "i2"} {
			group.Go(func() {
				text, err := c.do(t.Context(), instance, "order-7", "ash")
				is.NoErr(err)
				is.Equal(text, "cut crews/order-7")
			})
		}
		group.Wait()
		is.Equal(c.minion.runs, 1)
		_, err := c.do(t.Context(), "i2", "order-7", "oak")
		expectFailure(is, err, failure.KeyReused, failure.NotRunUnknown)
		_, err = c.executors["i2"].Answer(t.Context(), "planners", "order-7")
		expectFailure(is, err, failure.NotFound, failure.NotRunUnknown)
		answer, err := c.executors["i2"].Answer(t.Context(), "crews", "order-7")
		is.NoErr(err)
		is.Equal(string(answer.Body), "cut crews/order-7")
		c.dead["i1"], c.dead["i2"] = true, true
		claim, _ := c.log.State().Claim("crews", "order-7")
		other := map[string]string{"i1": "i2", "i2": "i1"}[claim.Instance]
		_, err = c.executors[other].Answer(t.Context(), "crews", "order-7")
		expectFailure(is, err, failure.AnswerGone, failure.NotRunFalse)
	})
}

// The leader fails after committing a claim and before returning the result. The
// request must not be sent. With a generated key the caller gets "not run"; with a
// key of its own it may have sent the request earlier, and gets "unknown". The
// committed claim must not block a resend.
func TestClaimWithLostResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		c.log.setErrors(nil, errLost)
		_, err := c.do(t.Context(), "i1", "", "ash")
		expectFailure(is, err, failure.OutcomeUnknown, failure.NotRunTrue)
		_, err = c.do(t.Context(), "i1", "order-7", "ash")
		expectFailure(is, err, failure.OutcomeUnknown, failure.NotRunUnknown)
		is.Equal(c.minion.runs, 0)
		c.log.setErrors(nil, nil)
		time.Sleep(2 * settleRetryInterval)
		text, err := c.do(t.Context(), "i2", "order-7", "ash")
		is.NoErr(err)
		is.Equal(text, "cut crews/order-7")
		is.Equal(c.minion.runs, 1)
	})
}

// The leader fails after committing a claim, and its successor responds 1 s later.
// The repeated proposal finds the claim as the request's own; the request runs
// once.
func TestClaimSurvivesLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		c.log.setErrors(nil, errLost)
		time.AfterFunc(time.Second, func() { c.log.setErrors(nil, nil) })
		_, err := c.do(t.Context(), "i1", "order-7", "ash")
		is.NoErr(err)
		is.Equal(c.minion.runs, 1)
	})
}

// A partitioned instance, or one without a leader, refuses a request. With a
// generated key the refusal says "not run". With the caller's own key it says
// "unknown", because another instance may have run the request earlier.
func TestRefusalBeforeTheClaimIsRead(t *testing.T) {
	cases := []struct {
		name   string
		key    string
		notRun failure.NotRun
	}{
		{"generated key", "", failure.NotRunTrue},
		{"caller's key", "order-7", failure.NotRunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster()
			cluster.log.fresh = failure.New(failure.StaleState, "cut off")
			_, err := cluster.do(t.Context(), "i1", c.key, "ash")
			expectFailure(is, err, failure.StaleState, c.notRun)
			cluster.log.fresh = nil
			cluster.log.setErrors(failure.New(failure.NoLeader, "no leader"), nil)
			_, err = cluster.do(t.Context(), "i1", c.key, "ash")
			expectFailure(is, err, failure.NoLeader, c.notRun)
			is.Equal(cluster.minion.runs, 0)
		})
	}
}

// A caller disconnects. If no minion has received the request, it does not run and
// a later call may run it. Otherwise the caller gets "unknown" at its deadline,
// and the late answer is recorded under the request's key, where the next call
// finds it.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		serve := c.minion.serve
		c.minion.serve = func(ctx context.Context, _ *routing.Request) (*api.Answer, error) {
			<-ctx.Done()
			return nil, failure.Wrap(failure.DeadlinePassed, ctx.Err(), "still queued")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.do(ctx, "i1", "order-7", "ash")
		expectFailure(is, err, failure.DeadlinePassed, failure.NotRunTrue)

		c.minion.serve = serve
		ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = c.do(ctx, "i1", "order-7", "ash")
		expectFailure(is, err, failure.OutcomeUnknown, failure.NotRunUnknown)
		is.Equal(time.Since(start), 20*time.Millisecond) // without delay after the deadline
		text, err := c.do(t.Context(), "i2", "order-7", "ash")
		is.NoErr(err)
		is.Equal(text, "cut crews/order-7")
		is.Equal(c.minion.runs, 1)
	})
}

// An instance fails while it holds a pending claim. A resend waits until the
// claim's pending time has ended and then gets "unknown"; it never runs.
func TestInstanceDiesWithPendingClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		claim := &controlpb.Claim{Customer: "crews", Key: "order-7", Service: "cut-order", Instance: "i1", Id: "dead", Attempt: 1}
		request := &routing.Request{Customer: "crews", Key: "order-7", Service: "cut-order", Body: []byte("ash")}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		claim.BodyHash = c.executors["i1"].newClaim(ctx, request).BodyHash
		claim.PendingUntilMs = time.Now().Add(3 * time.Second).UnixMilli()
		c.log.apply(&controlpb.Command{Op: &controlpb.Command_Claims{Claims: &controlpb.ClaimRequests{Claims: []*controlpb.Claim{claim}}}})
		start := time.Now()
		_, err := c.do(t.Context(), "i2", "order-7", "ash")
		expectFailure(is, err, failure.OutcomeUnknown, failure.NotRunUnknown)
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal(c.minion.runs, 0)
	})
}

// A resend gets the outcome of the first call, or runs the request if the first
// call certainly did not.
func TestOutcomeIsTheSameForResends(t *testing.T) {
	cases := []struct {
		name   string
		answer *api.Answer
		err    error
		code   failure.Code
		notRun failure.NotRun
		runs   int
	}{
		{"truncated answer", nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, nil, "cut"), failure.TruncatedAnswer, failure.NotRunFalse, 0},
		{"truncated stream", &api.Answer{Status: 200, Streamed: true, TruncationErr: errLost}, nil, failure.TruncatedAnswer, failure.NotRunFalse, 0},
		{"complete stream", &api.Answer{Status: 200, Streamed: true}, nil, failure.AnswerGone, failure.NotRunFalse, 0},
		{"connection lost", nil, errLost, failure.OutcomeUnknown, failure.NotRunUnknown, 0},
		{"refused before it ran", nil, failure.New(failure.Overloaded, "full"), "", "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cluster := newCluster()
				defer cluster.stop()
				serve := cluster.minion.serve
				cluster.minion.serve = func(context.Context, *routing.Request) (*api.Answer, error) { return c.answer, c.err }
				_, _ = cluster.do(t.Context(), "i1", "order-7", "ash")
				cluster.minion.serve = serve
				_, err := cluster.do(t.Context(), "i2", "order-7", "ash")
				if c.runs == 0 {
					expectFailure(is, err, c.code, c.notRun)
				} else {
					is.NoErr(err)
				}
				is.Equal(cluster.minion.runs, c.runs)
			})
		})
	}
}

// The grace period of a stop ends. The request that is queued for a minion fails
// as not run, the one at a minion gets an unknown outcome, both immediately. Their
// outcomes are still recorded in the log.
func TestStopCancelsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		c.minion.serve = func(ctx context.Context, request *routing.Request) (*api.Answer, error) {
			if request.Key == "at-minion" {
				return c.minion.run(request, 2*time.Second)
			}
			<-ctx.Done()
			return nil, failure.Wrap(failure.DeadlinePassed, ctx.Err(), "still queued")
		}
		var group sync.WaitGroup
		var atMinion, queued error
		group.Go(func() { _, atMinion = c.do(t.Context(), "i1", "at-minion", "ash") })
		group.Go(func() { _, queued = c.do(t.Context(), "i1", "queued", "ash") })
		time.Sleep(time.Second)
		start := time.Now()
		c.executors["i1"].CancelRequests()
		group.Wait()
		is.Equal(time.Since(start), time.Duration(0))
		expectFailure(is, atMinion, failure.OutcomeUnknown, failure.NotRunUnknown)
		expectFailure(is, queued, failure.NotReady, failure.NotRunTrue)
		c.executors["i1"].Stop(t.Context())
		for key, outcome := range map[string]controlpb.ClaimOutcome{
			"at-minion": controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED,
			"queued":    controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
		} {
			claim, _ := c.log.State().Claim("crews", key)
			is.Equal(claim.Outcome, outcome)
		}
	})
}

// Claims that arrive while others are being proposed share one log command: 200
// requests take fewer than 20 commands.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer c.stop()
		before := c.log.State().Index()
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				_, err := c.do(t.Context(), "i1", fmt.Sprint("order-", i), "ash")
				is.NoErr(err)
			})
		}
		group.Wait()
		c.executors["i1"].Stop(t.Context())
		is.Equal(c.minion.runs, 200)
		is.True(c.log.State().Index()-before < 20)
	})
}

// One customer fills the answer cache; the only answer of another is not evicted.
func TestLargestCustomerIsEvictedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	cache := NewAnswerCache(time.Minute, 10<<10)
	cache.put("planners", &cachedAnswer{key: "only", answer: &api.Answer{}}, now)
	for i := range 50 {
		cache.put("crews", &cachedAnswer{key: fmt.Sprint(i), answer: &api.Answer{Body: make([]byte, 1<<10)}}, now)
	}
	is.True(cache.bytes <= 10<<10)
	is.True(cache.get("planners", "only", now) != nil)
	is.True(cache.get("crews", "0", now) == nil)
	is.True(cache.get("crews", "49", now) != nil)
	is.True(cache.get("crews", "49", now.Add(time.Minute)) == nil)
}
