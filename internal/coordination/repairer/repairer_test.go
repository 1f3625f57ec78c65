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
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const delay = time.Minute

// world is a log of three voters a, b, c, led by a, and instances with disks.
type world struct {
	now    time.Time
	role   consensus.Role
	silent map[string]bool
	// learner is a member without a vote; nil for none.
	learner *consensuspb.Member
	live    []*peerpb.InstanceState
	changes []*peerpb.ChangeMembers
}

func newWorld() *world {
	w := &world{now: time.Unix(1_000_000, 0), role: consensus.Leader, silent: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		w.live = append(w.live, instance(name, true))
	}
	w.live = append(w.live, instance("spare", false))
	return w
}

func instance(name string, voter bool) *peerpb.InstanceState {
	return &peerpb.InstanceState{Name: name, DataCentre: "dc1", Ready: true, Replica: true, Voter: voter}
}

func (w *world) Status() consensus.Status {
	s := consensus.Status{Identity: "a.1", Role: w.role, Configuration: &consensuspb.Configuration{}}
	for _, name := range []string{"a", "b", "c"} {
		s.Configuration.Members = append(s.Configuration.Members, &consensuspb.Member{Identity: name + ".1", Instance: name, Voter: true})
		if name != "a" {
			s.Members = append(s.Members, consensus.MemberStatus{Identity: name + ".1", Voter: true, Live: !w.silent[name]})
		}
	}
	if w.learner != nil {
		s.Configuration.Members = append(s.Configuration.Members, w.learner)
		s.Members = append(s.Members, consensus.MemberStatus{Identity: w.learner.Identity, Live: true})
	}
	return s
}

func (w *world) ChangeMembers(_ context.Context, change *peerpb.ChangeMembers) error {
	w.changes = append(w.changes, change)
	return nil
}

func (w *world) Instances(time.Duration) []*peerpb.InstanceState { return w.live }

func (w *world) repairer() *Repairer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config := Config{Repair: repair.Config{Voters: 3, CutDelay: time.Hour}, Now: func() time.Time { return w.now }, Logger: logger}
	return New(config, w, w, detector.New(detector.Config{InitialDelay: delay, MinDelay: time.Second, MaxDelay: time.Hour, RepairCost: time.Hour}))
}

// pass lets time go by with a look each second.
func (w *world) pass(r *Repairer, d time.Duration) {
	for range d / lookEvery {
		r.Step(context.Background())
		w.now = w.now.Add(lookEvery)
	}
}

// A voter falls silent. While it may come back nothing is done; past the delay
// the spare takes its place. A leader that lost its place does nothing, and one
// that gains it waits the whole delay again.
func TestLostVoterIsReplacedAfterItsDelay(t *testing.T) {
	is, w := is.New(t), newWorld()
	r := w.repairer()
	w.pass(r, time.Minute)
	w.silent["c"] = true
	w.pass(r, delay-time.Second)
	is.Equal(len(w.changes), 0)
	w.role = consensus.Follower
	w.pass(r, delay)
	w.role = consensus.Leader
	w.pass(r, delay)
	is.Equal(len(w.changes), 0)
	w.pass(r, lookEvery)
	is.Equal(len(w.changes), 1)
	is.Equal([]string{w.changes[0].Add, w.changes[0].Remove}, []string{"spare", "c.1"})
}

// A voter restarts slowly again and again. Its delay must come to cover that.
func TestSlowRestartsAreLearned(t *testing.T) {
	is, w := is.New(t), newWorld()
	r := w.repairer()
	for range 10 {
		w.silent["c"] = true
		w.pass(r, delay-2*time.Second)
		w.silent["c"] = false
		w.pass(r, time.Minute)
	}
	w.silent["c"] = true
	w.pass(r, delay+5*time.Second)
	is.Equal(len(w.changes), 0)
	w.pass(r, delay)
	is.True(len(w.changes) > 0)
}

// A voter's disk was replaced: its instance runs, as no member. The new replica
// there takes the place without the long wait.
func TestReplacedDiskIsTakenBackSoon(t *testing.T) {
	is, w := is.New(t), newWorld()
	r := w.repairer()
	w.silent["c"] = true
	w.live[2] = instance("c", false)
	w.pass(r, replacedAfter)
	is.Equal(len(w.changes), 0)
	w.pass(r, 2*lookEvery)
	is.True(len(w.changes) > 0)
	is.Equal([]string{w.changes[0].Add, w.changes[0].Remove}, []string{"c", "c.1"})
}

// A voter comes back with an empty disk under its old address, and two more disks
// are lost a few seconds later. Unless the new replica votes by then, three of
// five voters have lost the log and everything accepted is gone. The instance
// names its new identity, so there is nothing to wait for.
func TestNewIdentityAtAVotersAddressIsTakenInAtOnce(t *testing.T) {
	is, w := is.New(t), newWorld()
	r := w.repairer()
	w.silent["c"] = true
	w.pass(r, lookEvery)
	w.live[2] = instance("c", false)
	w.live[2].Identity = "c.2"
	w.pass(r, lookEvery)
	is.Equal(len(w.changes), 1)
	is.Equal([]string{w.changes[0].Add, w.changes[0].Remove}, []string{"c", "c.1"})
}

// A leader adds the new replica of a wiped instance as a learner and is lost before
// that has caught up. The learner tells of itself that it belongs to the log. If the
// next leader took it for a voter, it would find nobody for the lost one's place, the
// new replica would never vote, and two more disks that are lost would take the log.
func TestLearnerThatAnEarlierLeaderLeftIsTakenOn(t *testing.T) {
	is, w := is.New(t), newWorld()
	w.silent["c"] = true
	w.learner = &consensuspb.Member{Identity: "c.2", Instance: "c"}
	w.live = w.live[:3]
	w.live[2] = instance("c", true)
	w.live[2].Identity = "c.2"
	r := w.repairer()
	w.pass(r, lookEvery)
	is.Equal(len(w.changes), 1)
	is.Equal([]string{w.changes[0].Add, w.changes[0].Remove}, []string{"c", "c.1"})
}
