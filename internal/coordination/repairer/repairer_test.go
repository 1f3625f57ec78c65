package repairer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/membership/detector"
	"pinewinch.example/pinewinch/internal/coordination/repair"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	delay           = time.Minute
	contactInterval = 2 * time.Second
)

// fakeCluster is a log with the voters a, b and c, led by a, and instances with disks.
type fakeCluster struct {
	now          time.Time
	role         consensus.Role
	unresponsive map[string]bool
	// learner is a member without a vote; nil for none.
	learner *consensuspb.Member
	// learnerUnresponsive is set if that member does not respond.
	learnerUnresponsive bool
	live                []*peerpb.InstanceState
	// published is the list of replicas in the replicated state.
	published []*controlpb.ReplicaInstance
	// contacts has when instances were last heard from.
	contacts map[string]time.Time
	changes  []*peerpb.ChangeMembers
}

func newFakeCluster() *fakeCluster {
	c := &fakeCluster{now: time.Unix(1_000_000, 0), role: consensus.Leader, unresponsive: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		c.live = append(c.live, instance(name, true))
	}
	c.live = append(c.live, instance("spare", false))
	return c
}

func instance(name string, voter bool) *peerpb.InstanceState {
	return &peerpb.InstanceState{Name: name, DataCentre: "dc1", Ready: true, Replica: true, Voter: voter}
}

func (c *fakeCluster) Status() consensus.Status {
	s := consensus.Status{Identity: "a.1", Role: c.role, Configuration: &consensuspb.Configuration{}}
	for _, name := range []string{"a", "b", "c"} {
		s.Configuration.Members = append(s.Configuration.Members, &consensuspb.Member{Identity: name + ".1", Instance: name, Voter: true})
		if name != "a" {
			s.Members = append(s.Members, consensus.MemberStatus{Identity: name + ".1", Voter: true, Live: !c.unresponsive[name]})
		}
	}
	if c.learner != nil {
		s.Configuration.Members = append(s.Configuration.Members, c.learner)
		s.Members = append(s.Members, consensus.MemberStatus{Identity: c.learner.Identity, Live: !c.learnerUnresponsive})
	}
	return s
}

func (c *fakeCluster) State() *store.State {
	return store.Restore(&controlpb.Snapshot{Replicas: c.published})
}

func (c *fakeCluster) ChangeMembers(_ context.Context, change *peerpb.ChangeMembers) error {
	c.changes = append(c.changes, change)
	return nil
}

func (c *fakeCluster) Instances(time.Duration) []*peerpb.InstanceState { return c.live }

func (c *fakeCluster) LastContact(instance string) (time.Time, bool) {
	contact, known := c.contacts[instance]
	return contact, known
}

func (c *fakeCluster) repairer() *Repairer { return c.repairerWith(delay, time.Hour) }

// repairerWith returns a repairer with the delay while there is no history, and the longest one.
func (c *fakeCluster) repairerWith(initial, longest time.Duration) *Repairer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config := Config{Repair: repair.Config{Voters: 3, PartitionDelay: time.Hour, MaxDelay: longest}, ContactInterval: contactInterval, Now: func() time.Time { return c.now }, Logger: logger}
	return New(config, c, c, detector.New(detector.Config{InitialDelay: initial, MinDelay: time.Second, MaxDelay: time.Hour, RepairCost: time.Hour}))
}

// advance advances the time by d with one step per checkInterval.
func (c *fakeCluster) advance(r *Repairer, d time.Duration) {
	for range d / checkInterval {
		r.Step(context.Background())
		c.now = c.now.Add(checkInterval)
	}
}

// A voter stops responding. Before its delay has passed, nothing is done; afterwards the
// spare replaces it. An instance that lost leadership does nothing, and one that gains
// it waits for the whole delay again.
func TestLostVoterIsReplacedAfterItsDelay(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	r := c.repairer()
	c.advance(r, time.Minute)
	c.unresponsive["c"] = true
	c.advance(r, delay-time.Second)
	is.Equal(len(c.changes), 0)
	c.role = consensus.Follower
	c.advance(r, delay)
	c.role = consensus.Leader
	c.advance(r, delay)
	is.Equal(len(c.changes), 0)
	c.advance(r, checkInterval)
	is.Equal(len(c.changes), 1)
	is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"spare", "c.1"})
}

// A voter restarts slowly several times. Its delay must grow to cover that.
func TestDelayAdaptsToSlowRestarts(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	r := c.repairer()
	for range 10 {
		c.unresponsive["c"] = true
		c.advance(r, delay-2*time.Second)
		c.unresponsive["c"] = false
		c.advance(r, time.Minute)
	}
	c.unresponsive["c"] = true
	c.advance(r, delay+5*time.Second)
	is.Equal(len(c.changes), 0)
	c.advance(r, delay)
	is.True(len(c.changes) > 0)
}

// Guards against a lost voter that stays one beside its successor because earlier outages of any
// voters have ended by themselves: further disks, lost when the deployment counts the machine as
// replaced, would take everything that was accepted.
func TestOutagesThatEndedDoNotPutARepairOff(t *testing.T) {
	for _, outage := range []time.Duration{4200 * time.Millisecond, time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			is, c := is.New(t), newFakeCluster()
			spare := c.live[3]
			c.live = c.live[:3]
			const longest = 2 * time.Second
			r := c.repairerWith(longest, longest)
			for n := range 12 {
				name := []string{"b", "c"}[n%2]
				c.unresponsive[name] = true
				c.advance(r, outage)
				c.unresponsive[name] = false
				c.advance(r, 5*time.Second)
			}
			is.Equal(len(c.changes), 0) // nobody could take its place
			c.unresponsive["c"] = true
			c.live = append(c.live, spare)
			c.advance(r, longest-checkInterval)
			is.Equal(len(c.changes), 0)
			c.advance(r, 2*checkInterval)
			is.True(len(c.changes) > 0)
			is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"spare", "c.1"})
		})
	}
}

// Guards against a repair that each leader puts off: a voter is gone for good and leaders are lost in
// series, each sooner than the delay. None of them has to count the silence of the voter anew.
func TestLeadersInSeriesDoNotPutARepairOff(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	const longest = 2 * time.Second
	r := c.repairerWith(longest, longest)
	c.advance(r, time.Second)
	c.unresponsive["c"] = true
	c.contacts = map[string]time.Time{"c": c.now}
	lost := c.now
	for len(c.changes) == 0 && c.now.Sub(lost) < time.Minute {
		c.role = consensus.Leader
		c.advance(r, 1500*time.Millisecond)
		c.role = consensus.Follower
		c.advance(r, 500*time.Millisecond)
	}
	is.True(len(c.changes) > 0)
	is.True(c.now.Sub(lost) <= contactInterval+longest+2*time.Second) // and the term in which it is due
}

// A leader has just been elected, and no voter has answered it yet. It has heard from none for longer,
// as it was suspended itself: the voters that answer in a moment must not be replaced.
func TestVoterThatIsAboutToAnswerANewLeaderIsNotReplaced(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	const longest = 2 * time.Second
	r := c.repairerWith(longest, longest)
	c.contacts = map[string]time.Time{"b": c.now.Add(-time.Minute), "c": c.now.Add(-time.Minute)}
	c.unresponsive["c"] = true
	c.advance(r, minObservation-checkInterval)
	c.unresponsive["c"] = false
	c.advance(r, time.Minute)
	is.Equal(len(c.changes), 0)
}

// The disk of a voter was replaced: its instance runs, but is not a member. Its new
// replica must become a voter again without the full delay.
func TestReplacedDiskRejoinsSoon(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	r := c.repairer()
	c.unresponsive["c"] = true
	c.live[2] = instance("c", false)
	c.advance(r, replacedDiskDelay)
	is.Equal(len(c.changes), 0)
	c.advance(r, 2*checkInterval)
	is.True(len(c.changes) > 0)
	is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"c", "c.1"})
}

// A voter returns with an empty disk at its old address, and two more disks are lost a
// few seconds later. Unless the new replica votes by then, three of five voters have
// lost the log and everything accepted is lost. The instance reports its new identity,
// so no delay is needed.
func TestVoterWithNewIdentityIsReplacedImmediately(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	r := c.repairer()
	c.unresponsive["c"] = true
	c.advance(r, checkInterval)
	c.live[2] = instance("c", false)
	c.live[2].Identity = "c.2"
	c.advance(r, checkInterval)
	is.Equal(len(c.changes), 1)
	is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"c", "c.1"})
}

// A leader adds the new replica of a wiped instance as a learner and is lost before the
// learner has caught up. The learner reports itself as a member of the log. If the next
// leader took it for a voter, it would find no spare for the lost voter, the new replica
// would never vote, and the loss of two more disks would lose the log.
func TestNextLeaderPromotesLearner(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	c.unresponsive["c"] = true
	c.learner = &consensuspb.Member{Identity: "c.2", Instance: "c"}
	c.live = c.live[:3]
	c.live[2] = instance("c", true)
	c.live[2].Identity = "c.2"
	r := c.repairer()
	c.advance(r, checkInterval)
	is.Equal(len(c.changes), 1)
	is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"c", "c.1"})
}

// A voter is removed while it is cut off. It returns and still reports itself as a member.
// Unless it counts as a spare, the next lost voter is never replaced.
func TestReplicaRemovedWhileCutOffIsASpare(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	c.live[3] = instance("d", true)
	c.live[3].Identity = "d.1"
	c.unresponsive["c"] = true
	r := c.repairer()
	c.advance(r, delay+2*checkInterval)
	is.True(len(c.changes) > 0)
	is.Equal([]string{c.changes[0].Add, c.changes[0].Remove}, []string{"d", "c.1"})
}

// A voter that reports its identity is not a spare for another one.
func TestVoterIsNoSpare(t *testing.T) {
	is, c := is.New(t), newFakeCluster()
	c.live = c.live[:3]
	for _, live := range c.live {
		live.Identity = live.Name + ".1"
	}
	c.unresponsive["c"] = true
	r := c.repairer()
	c.advance(r, 2*delay)
	is.Equal(len(c.changes), 0)
}

// A voter is lost before the leader's process starts, so that this process never hears from
// it. It must be replaced like any other: the next lost disks could cost the quorum. A voter
// whose whole data centre is unreachable is waited for, as by a leader that knew it.
func TestVoterLostBeforeLeaderStarted(t *testing.T) {
	for name, test := range map[string]struct {
		published []*controlpb.ReplicaInstance
		changes   bool
	}{
		"in the leader's data centre":       {[]*controlpb.ReplicaInstance{{Instance: "c", DataCentre: "dc1"}}, true},
		"in an unreachable data centre":     {[]*controlpb.ReplicaInstance{{Instance: "c", DataCentre: "dc9"}}, false},
		"no leader has published it so far": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCluster()
			c.live = append(c.live[:2:2], c.live[3])
			c.unresponsive["c"], c.published = true, test.published
			r := c.repairer()
			c.advance(r, delay+2*checkInterval)
			is.New(t).Equal(len(c.changes) > 0, test.changes)
		})
	}
}
