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

// keptBy makes a state that names the instances that keep the log.
func keptBy(replicas ...string) *store.State {
	snapshot := stateOf(2e5).Snapshot()
	for _, name := range replicas {
		snapshot.Replicas = append(snapshot.Replicas, &controlpb.ReplicaInstance{Instance: name, DataCentre: "dc0"})
	}
	return store.Restore(snapshot)
}

// freshWithin gives how many of the followers are fresh after that long.
func freshWithin(limit time.Duration, followers []*Follower) (fresh int) {
	pass(limit)
	for _, f := range followers {
		if f.Fresh() == nil {
			fresh++
		}
	}
	return fresh
}

// Two of three seeds have lost their disks, and all instances start anew: they know
// the seeds only. The first 16 filled the one seed that had the state; the others, of
// 38, were refused as too many and told of no other source for 24 s, while the
// replicas that are no seeds had room. A refusal names who else has the state.
func TestRefusedFollowersFindTheOtherReplicas(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newMesh()
		state := keptBy("v", "x", "y", "gone")
		for _, name := range []string{"v", "x", "y"} {
			newVoter(m, name).Publish(state)
		}
		var followers []*Follower
		for i := range 38 {
			m.rates[relay(i).Name] = thinLink
			followers = append(followers, m.start(ctx, relay(i)))
		}
		is.Equal(freshWithin(5*time.Second, followers), 38)
	})
}

// More instances start at once than the replicas serve. Those that are refused
// everywhere follow one that was sooner.
func TestMoreFollowersThanReplicasServe(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newMesh()
		newVoter(m, "v").Publish(keptBy("v"))
		var followers []*Follower
		for i := range 3 * feed.MaxFollowers {
			followers = append(followers, m.start(ctx, Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"}))
		}
		is.Equal(freshWithin(5*time.Second, followers), len(followers))
	})
}

// A replica lost its disk and comes back while instances without one have taken all
// places at the source that it knows. It waited 6.7 s for a place; until it has the
// state nobody can put it in its own place among the voters, and the loss of two more
// disks, allowed by then, took the quorum with all that was accepted. Whoever keeps
// the log is served whatever the number of others.
func TestReplicaWithoutADiskIsServedInACrowd(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newMesh()
		newVoter(m, "v").Publish(keptBy("v", "w"))
		for i := range 2 * feed.MaxFollowers {
			m.start(ctx, Candidate{Name: fmt.Sprintf("r%02d", i), DataCentre: "dc1"})
		}
		pass(5 * time.Second)
		wiped := m.start(ctx, Candidate{Name: "w", DataCentre: "dc0", Replica: true})
		is.Equal(freshWithin(time.Second, []*Follower{wiped}), 1)
	})
}

// The same crowd still gets its state when the replica comes: it has the state before
// the others, whose thin links take seconds for it.
func TestReplicaWithoutADiskWaitsForNoTransfer(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is, m := is.New(t), newMesh()
		snapshot := stateOf(5e6).Snapshot()
		snapshot.Replicas = []*controlpb.ReplicaInstance{{Instance: "v"}, {Instance: "w"}}
		newVoter(m, "v").Publish(store.Restore(snapshot))
		var crowd []*Follower
		for i := range feed.MaxFollowers {
			m.rates[relay(i).Name] = thinLink
			crowd = append(crowd, m.start(ctx, relay(i)))
		}
		is.Equal(freshWithin(500*time.Millisecond, crowd), 0)
		wiped := m.start(ctx, Candidate{Name: "w", DataCentre: "dc0", Replica: true})
		is.Equal(freshWithin(500*time.Millisecond, []*Follower{wiped}), 1)
		is.Equal(freshWithin(0, crowd), 0)
	})
}
