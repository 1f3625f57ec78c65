package follower

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// testCluster is a voter and followers under random partitions and changes.
type testCluster struct {
	network   *network
	voter     *voter
	followers []*Follower
	names     []string
	// lastRevisions are the last revisions seen, by follower.
	lastRevisions []uint64
	// accepted are the times at which the changes were accepted.
	accepted []time.Time
}

func newTestCluster(ctx context.Context, count int) *testCluster {
	w := &testCluster{network: newNetwork(), names: []string{"v"}, lastRevisions: make([]uint64, count)}
	w.voter = newVoter(w.network, "v")
	known := []Candidate{{Name: "v", DataCentre: "dc0", Replica: true}}
	for i := range count {
		self := relay(i)
		if i%2 == 0 {
			self.DataCentre = "dc2"
		}
		known = append(known, self)
	}
	for _, self := range known[1:] {
		w.names = append(w.names, self.Name)
		w.followers = append(w.followers, w.network.start(ctx, self, known...))
	}
	return w
}

// check returns a violation, or "". The revision of an instance must never decrease, and an
// instance that reports itself fresh must have every change accepted at least one
// freshness bound ago.
func (w *testCluster) check() string {
	since := time.Now().Add(-bound)
	for i, f := range w.followers {
		revision := f.State().Revision()
		if revision < w.lastRevisions[i] {
			return fmt.Sprintf("revision of %s decreased from %d to %d", w.names[i+1], w.lastRevisions[i], revision)
		}
		w.lastRevisions[i] = revision
		if f.CheckFresh() != nil {
			continue
		}
		if int(revision) < len(w.accepted) && w.accepted[revision].Before(since) {
			return fmt.Sprintf("%s admits at revision %d; %d was accepted %s ago", w.names[i+1], revision, revision+1, time.Since(w.accepted[revision]))
		}
	}
	return ""
}

// Links are cut in one or both directions and heal, at random, while changes are accepted
// and relays switch between sources. In any order of events, no instance may admit work
// under rules older than the freshness bound, and no revision may decrease.
func TestModelFreshAndMonotone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(stepGenerator(), 25, 25).Draw(rt, "steps")
		violation := ""
		bubble(t, func(_ *testing.T, ctx context.Context) { violation = runSteps(ctx, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

type action int

const (
	waitOnly action = iota
	change
	cut
	heal
)

type step struct {
	do       action
	from, to int
	ms       int
}

func stepGenerator() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			do:   rapid.SampledFrom([]action{waitOnly, change, cut, heal}).Draw(t, "do"),
			from: rapid.IntRange(0, modelFollowers).Draw(t, "from"),
			to:   rapid.IntRange(0, modelFollowers).Draw(t, "to"),
			ms:   rapid.IntRange(1, 2500).Draw(t, "ms"),
		}
	})
}

const modelFollowers = 4

func runSteps(ctx context.Context, steps []step) string {
	w := newTestCluster(ctx, modelFollowers)
	for _, s := range steps {
		switch s.do {
		case change:
			w.accepted = append(w.accepted, time.Now())
			w.voter.change()
		case cut, heal:
			w.network.setCut(w.names[s.from], w.names[s.to], s.do == cut)
		}
		advance(time.Duration(s.ms) * time.Millisecond)
		if violation := w.check(); violation != "" {
			return violation
		}
	}
	return ""
}

// A follower asks an instance that no longer leads, then one that is unreachable, and
// then the new leader. A command with unknown outcome must not be resent: it may have
// been committed.
func TestProposeRetriesOnlyCommandsThatDidNotRun(t *testing.T) {
	moved := failure.New(failure.NotLeader, "moved")
	moved.Leader = "w"
	tests := map[string]struct {
		answers map[string][]error
		want    failure.Code
		calls   int
	}{
		"leader answers":        {map[string][]error{"v": {nil}}, "", 1},
		"leader moved":          {map[string][]error{"v": {moved}, "w": {nil}}, "", 2},
		"new leader gone":       {map[string][]error{"v": {moved, nil}, "w": {failure.New(failure.Unreachable, "")}}, "", 3},
		"outcome unknown":       {map[string][]error{"v": {failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "")}}, failure.OutcomeUnknown, 1},
		"unreachable, may have": {map[string][]error{"v": {failure.Ran(failure.Unreachable, failure.NotRunUnknown, nil, "")}}, failure.Unreachable, 1},
		"overloaded":            {map[string][]error{"v": {failure.New(failure.Overloaded, "")}}, failure.Overloaded, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				is := is.New(t)
				m, calls := newNetwork(), 0
				newVoter(m, "v")
				m.reply = func(to string) (*peerpb.Reply, error) {
					calls++
					if len(test.answers[to]) == 0 {
						return nil, failure.New(failure.Internal, "more calls than expected")
					}
					answer := test.answers[to][0]
					test.answers[to] = test.answers[to][1:]
					return &peerpb.Reply{}, answer
				}
				f := m.start(ctx, relay(1))
				advance(time.Second)
				_, err := f.Propose(ctx, nil)
				is.Equal(err == nil, test.want == "")
				is.True(err == nil || failure.Is(err, test.want))
				is.Equal(calls, test.calls)
			})
		})
	}
}
