// Package repair decides when a lost voter of the control log is replaced, and by which
// instance. It is a pure function from the observed state to at most one change of
// members. The change itself (add a learner, let it catch up, make it a voter, and only
// then remove the lost one) is executed by package replica.
package repair

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of the decision.
type Config struct {
	// Voters is the desired number of voters.
	Voters int
	// PartitionDelay is the minimum time after which an unresponsive voter counts as lost if
	// its whole data centre is unreachable: most such outages are network partitions,
	// and the voters behind them return together.
	PartitionDelay time.Duration
	// MaxDelay limits that wait and the delay by earlier outages. A deployment counts a
	// machine as present again some time after the start of its successor; if the lost one
	// is still a voter by then, the next losses that it must bear take the quorum.
	MaxDelay time.Duration
}

// Member is one member of the log's configuration.
type Member struct {
	Identity string
	Instance string
	// DataCentre is empty if no leader ever heard from the instance.
	DataCentre string
	Voter      bool
	// UnresponsiveFor is the time since the member stopped responding; 0 for a live one.
	UnresponsiveFor time.Duration
	// Delay is the time after which the unresponsive member counts as lost, as estimated
	// by package detector.
	Delay time.Duration
	// Replaced is true if the member's instance runs with another identity: its disk has
	// been replaced, and this member is lost.
	Replaced bool
}

// Spare is a live instance with a disk whose replica can become a voter.
type Spare struct {
	Instance   string
	DataCentre string
	// Failed is set if its replica could not be added a moment ago: it may be lost.
	Failed bool
}

// Snapshot is the observed state at one time.
type Snapshot struct {
	Members []Member
	Spares  []Spare
	// Reachable holds the data centres with at least one reachable instance.
	Reachable map[string]bool
	// ChangeInProgress is true while a change of members is in progress.
	ChangeInProgress bool
}

// Change is one change of members: add the replica of an instance, then remove an
// identity. Either may be empty.
type Change struct {
	Add    string
	Remove string
}

// Reason is the reason why nothing is changed now.
type Reason string

// The reasons.
const (
	NothingLost Reason = "nothing_lost"
	// ChangeInProgress: two changes at once could result in two disjoint majorities.
	ChangeInProgress Reason = "change_under_way"
	// NoQuorum: the live voters cannot commit a change; more members must return.
	NoQuorum Reason = "no_quorum"
	// Waiting: a member is unresponsive, but not for long enough.
	Waiting Reason = "waiting"
	NoSpare Reason = "no_spare"
)

// Decide returns the next change, or the reason for none. If a quorum is live, it is
// still live with one more live voter, and then with one lost voter less, so no step of
// a returned change loses the quorum.
func Decide(config Config, s Snapshot) (Change, Reason) {
	voters := votersOf(s.Members)
	live := liveOf(voters)
	switch {
	case s.ChangeInProgress:
		return Change{}, ChangeInProgress
	case len(live) < quorum(len(voters)):
		return Change{}, NoQuorum
	}
	lost, unresponsive := longestLost(config, s, voters)
	switch {
	case lost != nil && len(voters) > config.Voters:
		return Change{Remove: lost.Identity}, ""
	case lost == nil && len(voters) >= config.Voters && unresponsive:
		return Change{}, Waiting
	case lost == nil && len(voters) >= config.Voters:
		return Change{}, NothingLost
	}
	add := chooseSpare(s, live, lost)
	if add == "" {
		return Change{}, NoSpare
	}
	change := Change{Add: add}
	if lost != nil {
		change.Remove = lost.Identity
	}
	return change, ""
}

func votersOf(members []Member) []Member {
	var voters []Member
	for _, member := range members {
		if member.Voter {
			voters = append(voters, member)
		}
	}
	return voters
}

func liveOf(voters []Member) []Member {
	var live []Member
	for _, voter := range voters {
		if voter.UnresponsiveFor == 0 && !voter.Replaced {
			live = append(live, voter)
		}
	}
	return live
}

func quorum(voters int) int { return voters/2 + 1 }

// longestLost returns the voter that has been lost for the longest time, preferring one
// whose disk was replaced. unresponsive reports whether any voter is unresponsive.
func longestLost(config Config, s Snapshot, voters []Member) (lost *Member, unresponsive bool) {
	for i := range voters {
		voter := &voters[i]
		unresponsive = unresponsive || voter.UnresponsiveFor > 0
		if !isLost(config, s, voter) {
			continue
		}
		if lost == nil || compareLost(voter, lost) > 0 {
			lost = voter
		}
	}
	return lost, unresponsive
}

func isLost(config Config, s Snapshot, voter *Member) bool {
	if voter.Replaced {
		return true
	}
	return voter.UnresponsiveFor > 0 && voter.UnresponsiveFor >= Wait(config, s, voter)
}

// Wait returns the time after which an unresponsive voter counts as lost.
func Wait(config Config, s Snapshot, voter *Member) time.Duration {
	delay := voter.Delay
	if s.unreachable(voter.DataCentre) {
		delay = max(delay, config.PartitionDelay)
	}
	return min(delay, config.MaxDelay)
}

// unreachable reports whether no instance of a data centre is reachable.
func (s *Snapshot) unreachable(dataCentre string) bool {
	return dataCentre != "" && !s.Reachable[dataCentre]
}

func compareLost(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.Replaced), boolToInt(b.Replaced)),
		cmp.Compare(a.UnresponsiveFor, b.UnresponsiveFor),
		cmp.Compare(b.Identity, a.Identity),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// chooseSpare picks the spare in the data centre with the fewest live voters, so that
// the loss of a data centre takes as few voters as possible; one that has failed goes
// last. Ties are broken by the instance, then the data centre, of the lost voter, then by
// the least name.
func chooseSpare(s Snapshot, live []Member, lost *Member) string {
	liveVoters := map[string]int{}
	for _, voter := range live {
		liveVoters[voter.DataCentre]++
	}
	spares := slices.Clone(s.Spares)
	slices.SortFunc(spares, func(a, b Spare) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.Failed), boolToInt(b.Failed)),
			cmp.Compare(liveVoters[a.DataCentre], liveVoters[b.DataCentre]),
			cmp.Compare(proximity(lost, b), proximity(lost, a)),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	if len(spares) == 0 {
		return ""
	}
	return spares[0].Instance
}

func proximity(lost *Member, spare Spare) int {
	switch {
	case lost == nil:
		return 0
	case spare.Instance == lost.Instance:
		return 2
	case spare.DataCentre == lost.DataCentre:
		return 1
	}
	return 0
}
