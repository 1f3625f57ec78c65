package repair

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	delay          = 10 * time.Minute
	partitionDelay = 2 * time.Hour
)

var config = Config{Voters: 3, PartitionDelay: partitionDelay, MaxDelay: partitionDelay}

func voter(instance, dataCentre string, unresponsiveFor time.Duration) Member {
	return Member{Identity: instance + ".id", Instance: instance, DataCentre: dataCentre, Voter: true, UnresponsiveFor: unresponsiveFor, Delay: delay}
}

func TestDecide(t *testing.T) {
	spare := []Spare{{"s1", "dc1", false}, {"s2", "dc2", false}, {"s3", "dc3", false}}
	a, b, c := voter("a", "dc1", 0), voter("b", "dc2", 0), voter("c", "dc3", 0)
	unresponsive := func(m Member, unresponsiveFor time.Duration) Member { m.UnresponsiveFor = unresponsiveFor; return m }
	replaced := func(m Member) Member { m.Replaced = true; return m }
	all := map[string]bool{"dc1": true, "dc2": true, "dc3": true}
	withoutC := map[string]bool{"dc1": true, "dc2": true}
	learner := Member{Identity: "l.id", Instance: "l", DataCentre: "dc1"}
	tests := map[string]struct {
		snapshot Snapshot
		change   Change
		reason   Reason
	}{
		"all live":                              {Snapshot{Members: []Member{a, b, c}, Spares: spare, Reachable: all}, Change{}, NothingLost},
		"unresponsive for a short time":         {Snapshot{Members: []Member{a, b, unresponsive(c, delay-1)}, Spares: spare, Reachable: all}, Change{}, Waiting},
		"lost, spare in its data centre":        {Snapshot{Members: []Member{a, b, unresponsive(c, delay)}, Spares: spare, Reachable: all}, Change{"s3", "c.id"}, ""},
		"its data centre has no spare":          {Snapshot{Members: []Member{a, b, unresponsive(c, delay)}, Spares: spare[:2], Reachable: all}, Change{"s1", "c.id"}, ""},
		"data centre partitioned":               {Snapshot{Members: []Member{a, b, unresponsive(c, partitionDelay-1)}, Spares: spare[:2], Reachable: withoutC}, Change{}, Waiting},
		"data centre lost":                      {Snapshot{Members: []Member{a, b, unresponsive(c, partitionDelay)}, Spares: spare[:2], Reachable: withoutC}, Change{"s1", "c.id"}, ""},
		"disk replaced":                         {Snapshot{Members: []Member{a, b, replaced(c)}, Spares: append(spare, Spare{"c", "dc3", false}), Reachable: all}, Change{"c", "c.id"}, ""},
		"two lost of three":                     {Snapshot{Members: []Member{a, unresponsive(b, delay), unresponsive(c, delay)}, Spares: spare, Reachable: all}, Change{}, NoQuorum},
		"one change at a time":                  {Snapshot{Members: []Member{a, b, unresponsive(c, delay)}, Spares: spare, Reachable: all, ChangeInProgress: true}, Change{}, ChangeInProgress},
		"no spare":                              {Snapshot{Members: []Member{a, b, unresponsive(c, delay)}, Reachable: all}, Change{}, NoSpare},
		"a spare that can't be added goes last": {Snapshot{Members: []Member{a, b, unresponsive(c, delay)}, Spares: []Spare{spare[0], {"s3", "dc3", true}}, Reachable: all}, Change{"s1", "c.id"}, ""},
		"change interrupted before removal":     {Snapshot{Members: []Member{a, b, unresponsive(c, delay), voter("s3", "dc3", 0)}, Spares: spare[:2], Reachable: all}, Change{Remove: "c.id"}, ""},
		"too few voters":                        {Snapshot{Members: []Member{a, b}, Spares: spare, Reachable: all}, Change{Add: "s3"}, ""},
		"learners do not count":                 {Snapshot{Members: []Member{a, unresponsive(b, delay), learner, unresponsive(c, delay)}, Spares: spare, Reachable: all}, Change{}, NoQuorum},
		"longest lost is removed first":         {Snapshot{Members: []Member{a, b, c, unresponsive(voter("d", "dc1", 0), delay), unresponsive(voter("e", "dc2", 0), 2*delay)}, Spares: spare, Reachable: all}, Change{Remove: "e.id"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			change, reason := Decide(config, test.snapshot)
			is.Equal(change, test.change)
			is.Equal(reason, test.reason)
		})
	}
}

// Guards against a lost voter that is waited for because its data centre is unreachable, while a
// spare in another one could vote before the next losses.
func TestVoterOfAnUnreachableDataCentreIsWaitedForAtMostMaxDelay(t *testing.T) {
	is := is.New(t)
	config := Config{Voters: 3, PartitionDelay: partitionDelay, MaxDelay: 2 * time.Second}
	lost := voter("c", "dc3", 2*time.Second-1)
	lost.Delay = time.Second
	s := Snapshot{
		Members: []Member{voter("a", "dc1", 0), voter("b", "dc2", 0), lost}, Spares: []Spare{{"s1", "dc1", false}},
		Reachable: map[string]bool{"dc1": true, "dc2": true},
	}
	_, reason := Decide(config, s)
	is.Equal(reason, Waiting)
	s.Members[2].UnresponsiveFor++
	change, _ := Decide(config, s)
	is.Equal(change, Change{"s1", "c.id"})
}

// In any state, a change removes only a voter that was unresponsive for at least its
// delay or whose disk was replaced, and leaves a live quorum at each step: with the
// added voter, and after the removal.
func TestModelQuorumIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{Reachable: map[string]bool{"dc0": rapid.Bool().Draw(t, "dc0"), "dc1": true, "dc2": true}}
		dataCentre := rapid.IntRange(0, 2)
		for i := range rapid.IntRange(1, 7).Draw(t, "voters") {
			unresponsiveFor := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 15, 150}).Draw(t, "minutes")) * time.Minute
			member := voter(fmt.Sprint("v", i), fmt.Sprint("dc", dataCentre.Draw(t, "centre")), unresponsiveFor)
			member.Replaced = rapid.IntRange(0, 9).Draw(t, "replaced") == 0
			s.Members = append(s.Members, member)
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "spares") {
			s.Spares = append(s.Spares, Spare{fmt.Sprint("s", i), fmt.Sprint("dc", dataCentre.Draw(t, "centre")), rapid.Bool().Draw(t, "failed")})
		}
		change, reason := Decide(config, s)
		if (reason == "") == (change == Change{}) {
			t.Fatalf("change %v with reason %q", change, reason)
		}
		voters, live := len(s.Members), len(liveOf(s.Members))
		if change.Add != "" {
			voters, live = voters+1, live+1
			if live < quorum(voters) {
				t.Fatalf("adding leaves %d live of %d", live, voters)
			}
		}
		for _, member := range s.Members {
			if member.Identity != change.Remove {
				continue
			}
			if member.UnresponsiveFor < delay && !member.Replaced {
				t.Fatalf("%s is removed after %s without a response", member.Identity, member.UnresponsiveFor)
			}
			if live < quorum(voters-1) {
				t.Fatalf("removing leaves %d live of %d", live, voters-1)
			}
		}
	})
}
