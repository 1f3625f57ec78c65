package follower

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/feed"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// stateWithReplicas returns a state of about 200 KB that lists these replicas.
func stateWithReplicas(replicas ...string) *store.State {
	snapshot := stateOfSize(2e5).Snapshot()
	for _, name := range replicas {
		snapshot.Replicas = append(snapshot.Replicas, &controlpb.ReplicaInstance{Instance: name, DataCentre: "dc0"})
	}
	return store.Restore(snapshot)
}

// countFreshAfter returns how many of the followers are fresh after the delay.
func countFreshAfter(delay time.Duration, followers []*Follower) (fresh int) {
	advance(delay)
	for _, f := range followers {
		if f.CheckFresh() == nil {
			fresh++
		}
	}
	return fresh
}

// Two of three seeds have lost their disks and all 38 instances restart, knowing only
// the seeds. The first 16 exhaust the follower limit of the one seed that has the state.
// Without referrals the others were refused for 24 s, although the replicas that are not
// seeds had capacity. A refusal must list other sources of the state.
func TestRefusedFollowersFindTheOtherReplicas(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newNetwork()
		state := stateWithReplicas("v", "x", "y", "gone")
		for _, name := range []string{"v", "x", "y"} {
			newVoter(m, name).Publish(state)
		}
		var followers []*Follower
		for i := range 38 {
			m.rates[relay(i).Name] = slowLink
			followers = append(followers, m.start(ctx, relay(i)))
		}
		is.Equal(countFreshAfter(5*time.Second, followers), 38)
	})
}

// More instances start at once than the replicas can serve. Those refused by all replicas
// must follow an instance that was admitted.
func TestMoreFollowersThanReplicasServe(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newNetwork()
		newVoter(m, "v").Publish(stateWithReplicas("v"))
		var followers []*Follower
		for i := range 3 * feed.MaxFollowers {
			followers = append(followers, m.start(ctx, Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"}))
		}
		is.Equal(countFreshAfter(5*time.Second, followers), len(followers))
	})
}

// A replica restarts with a wiped disk while diskless instances use up the follower limit
// of the only source that it knows. Subject to the limit, it waited 6.7 s. Until it has
// the state it cannot be added as a voter in place of its former self, and the loss of two
// more disks, which is tolerated by then, lost the quorum with all accepted data. A replica
// must be served regardless of the number of other followers.
func TestWipedReplicaIsServedAboveFollowerLimit(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newNetwork()
		newVoter(m, "v").Publish(stateWithReplicas("v", "w"))
		for i := range 2 * feed.MaxFollowers {
			m.start(ctx, Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"})
		}
		advance(5 * time.Second)
		wiped := m.start(ctx, Candidate{Name: "w", DataCentre: "dc0", Replica: true})
		is.Equal(countFreshAfter(time.Second, []*Follower{wiped}), 1)
	})
}

// Diskless followers on slow links, whose transfers take seconds, are still receiving the
// state when a wiped replica restarts. The replica must have the state before them.
func TestWipedReplicaDoesNotWaitForTransfers(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newNetwork()
		snapshot := stateOfSize(5e6).Snapshot()
		snapshot.Replicas = []*controlpb.ReplicaInstance{{Instance: "v"}, {Instance: "w"}}
		newVoter(m, "v").Publish(store.Restore(snapshot))
		var diskless []*Follower
		for i := range feed.MaxFollowers {
			m.rates[relay(i).Name] = slowLink
			diskless = append(diskless, m.start(ctx, relay(i)))
		}
		is.Equal(countFreshAfter(500*time.Millisecond, diskless), 0)
		wiped := m.start(ctx, Candidate{Name: "w", DataCentre: "dc0", Replica: true})
		is.Equal(countFreshAfter(500*time.Millisecond, []*Follower{wiped}), 1)
		is.Equal(countFreshAfter(0, diskless), 0)
	})
}
