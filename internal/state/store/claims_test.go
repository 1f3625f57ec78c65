package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const testStart = 1_800_000_000_000

// claimModel models several instances that send requests with one key. Commands are
// delayed, reordered and duplicated for as long as a proposal can be in flight.
type claimModel struct {
	state    *State
	views    []*State
	now      int64
	key      string
	messages []claimMessage
	callers  []*modelCaller
	runs     int
}

type claimMessage struct {
	command *controlpb.Command
	sentMs  int64
	caller  int
}

type modelCaller struct {
	claim *controlpb.Claim
	phase string
}

func (m *claimModel) apply(command *controlpb.Command) *controlpb.Result {
	command = proto.CloneOf(command)
	command.TimeMs = m.now
	var result *controlpb.Result
	m.state, result = m.state.Apply(m.state.Index()+1, command)
	m.views = append(m.views, m.state)
	return result
}

func (m *claimModel) call(t *rapid.T) {
	recent := m.views[max(0, len(m.views)-3):]
	view := rapid.SampledFrom(recent).Draw(t, "view")
	existing, _ := view.Claim("crews", m.key)
	if existing != nil && existing.Outcome != controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
		return
	}
	claim := &controlpb.Claim{
		Customer: "crews", Key: m.key, Id: fmt.Sprint("call-", len(m.callers)),
		Attempt: existing.GetAttempt() + 1, PendingUntilMs: m.now + 20_000,
	}
	m.callers = append(m.callers, &modelCaller{claim: claim, phase: "asked"})
	command := &controlpb.Command{Op: &controlpb.Command_Claims{Claims: &controlpb.ClaimRequests{Claims: []*controlpb.Claim{claim}}}}
	m.messages = append(m.messages, claimMessage{command, m.now, len(m.callers) - 1})
}

func (m *claimModel) deliver(t *rapid.T) {
	recent := m.messages[max(0, len(m.messages)-6):]
	message := rapid.SampledFrom(recent).Draw(t, "message")
	if m.now-message.sentMs > (30 * time.Minute).Milliseconds() {
		return
	}
	result := m.apply(message.command)
	caller := m.callers[message.caller]
	if message.command.GetClaims() == nil || caller.phase != "asked" {
		return
	}
	caller.phase = "lost"
	if result.Claims[0].Claim.GetId() == caller.claim.Id && result.Claims[0].Claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING {
		caller.phase = "won"
	}
}

func (m *claimModel) settle(t *rapid.T) {
	number := rapid.IntRange(max(0, len(m.callers)-3), len(m.callers)-1).Draw(t, "caller")
	caller := m.callers[number]
	settle := &controlpb.SettleClaim{Customer: "crews", Key: m.key, Attempt: caller.claim.Attempt, Id: caller.claim.Id}
	settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	switch caller.phase {
	case "asked":
		settle.Abandoned = caller.claim
	case "won":
		if rapid.Bool().Draw(t, "runs") {
			m.runs++
			settle.Outcome = controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED
		}
	default:
		return
	}
	caller.phase = "over"
	command := &controlpb.Command{Op: &controlpb.Command_Settles{Settles: &controlpb.SettleClaims{Settles: []*controlpb.SettleClaim{settle}}}}
	m.messages = append(m.messages, claimMessage{command, m.now, number})
}

// Callers resend one key at several instances, each with its own stale view of the log.
// Claims and outcomes are delayed, reordered and duplicated, claimants pause and resume,
// claims expire. In any order the request runs at most once: each attempt is accepted
// once, and only after the previous one certainly did not run.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{state: New(), now: testStart, key: "order-7"}
		if rapid.Bool().Draw(t, "timed") {
			m.key = ulid.MustNew(testStart, nil).String()
		}
		m.views = []*State{m.state}
		m.call(t)
		steps := []func(*rapid.T){m.call, m.deliver, m.deliver, m.settle, m.settle, m.wait, m.restart}
		for range 120 {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			if m.runs > 1 {
				t.Fatalf("the key ran %d times", m.runs)
			}
		}
	})
}

func (m *claimModel) wait(t *rapid.T) {
	m.now += rapid.SampledFrom([]int64{10, 30, 100, 30_000, 2 * 3_600_000}).Draw(t, "ms")
	m.apply(&controlpb.Command{})
	m.state.expireClaims(1)
}

func (m *claimModel) restart(*rapid.T) { m.state = Restore(m.state.Snapshot()) }

func claimOf(key string, attempt uint64, id string) *controlpb.Claim {
	return &controlpb.Claim{Customer: "crews", Key: key, Attempt: attempt, Id: id, PendingUntilMs: testStart + 1000}
}

func settleOf(claim *controlpb.Claim, outcome controlpb.ClaimOutcome) *controlpb.SettleClaim {
	return &controlpb.SettleClaim{Customer: claim.Customer, Key: claim.Key, Attempt: claim.Attempt, Id: claim.Id, Outcome: outcome}
}

func stateAt(ms int64) *State {
	state, _ := New().Apply(1, &controlpb.Command{TimeMs: ms})
	return state
}

// An instance acquires a claim and fails. Once it must have given up, a resend gets an
// unknown outcome but not the right to run: the instance may only be paused and send the
// request later.
func TestClaimOfDeadInstanceBecomesUnknown(t *testing.T) {
	is := is.New(t)
	state := stateAt(testStart)
	is.Equal(state.acquireClaim(claimOf("order-7", 1, "first")).Claim.Id, "first")
	state.timeMs = testStart + 1001
	claim := state.acquireClaim(claimOf("order-7", 1, "second")).Claim
	is.Equal(claim.Id, "first")
	is.Equal(claim.Outcome, controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN)
	is.Equal(state.acquireClaim(claimOf("order-7", 2, "third")).Claim.Id, "first")
	// The instance was only paused and answers late: the outcome becomes known.
	state.settleClaim(settleOf(claim, controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED))
	claim, _ = state.Claim("crews", "order-7")
	is.Equal(claim.Outcome, controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED)
}

// A proposer doesn't learn whether its claim was committed and abandons it; the proposal
// is delivered afterwards. The next resend must be able to run, or a claim without a
// holder would block the key.
func TestAbandonedClaimLetsResendRun(t *testing.T) {
	is := is.New(t)
	state := stateAt(testStart)
	lost := claimOf("order-7", 1, "lost")
	abandon := settleOf(lost, controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN)
	abandon.Abandoned = lost
	state.settleClaim(abandon)
	is.Equal(state.acquireClaim(lost).Claim.Outcome, controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN)
	is.Equal(state.acquireClaim(claimOf("order-7", 2, "resend")).Claim.Id, "resend")
}

// A key is used, its claim expires, and the caller resends it much later. It must not run
// again, whether or not the key carries its creation time, unless it certainly did not run
// before.
func TestExpiredKeyIsRefused(t *testing.T) {
	cases := []struct {
		name    string
		key     string
		outcome controlpb.ClaimOutcome
		code    failure.Code
		hashes  int
	}{
		{"timed key", ulid.MustNew(testStart, nil).String(), controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED, failure.KeyExpired, 0},
		{"key of the future", ulid.MustNew(testStart+90*60_000, nil).String(), controlpb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED, failure.KeyExpired, 1},
		{"caller's key", "order-7", controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, failure.KeyExpired, 1},
		{"caller's key, pending", "order-7", controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING, failure.KeyExpired, 1},
		{"caller's key, not run", "order-7", controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := stateAt(testStart)
			claim := claimOf(c.key, 1, "first")
			state.acquireClaim(claim)
			state.settleClaim(settleOf(claim, c.outcome))
			state.timeMs += 2*claimRetention.Milliseconds() - 1
			state.expireClaims(1)
			_, kept := state.Claim("crews", c.key)
			is.Equal(kept, false)
			is.Equal(state.spent.Len(), c.hashes)
			state = Restore(state.Snapshot())
			is.Equal(state.acquireClaim(claimOf(c.key, 1, "again")).Code, string(c.code))
		})
	}
}

// A customer's spent keys reach their limit. The next key that is not a ULID is refused
// without running, since it could not be recorded as spent; a ULID still runs.
func TestSpentKeysAreBounded(t *testing.T) {
	is := is.New(t)
	state := stateAt(testStart)
	state.spentCounts, _, _ = state.spentCounts.Insert([]byte("crews"), maxSpentKeys)
	is.Equal(state.acquireClaim(claimOf("order-8", 1, "a")).Code, string(failure.LimitReached))
	is.Equal(state.acquireClaim(claimOf(ulid.MustNew(testStart, nil).String(), 1, "a")).Code, "")
}
