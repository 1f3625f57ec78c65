// Package repair decides when a lost voter of the control log is replaced, and
// by whom. It is pure: what is known comes in, at most one change of members
// goes out. The change itself (learner, catching up, voter, and only then the
// removal) is package replica's.
package repair

import (
	"cmp"
	"slices"
	"time"
)

// Config bounds the decision.
type Config struct {
	// Voters is how many voters there shall be.
	Voters int
	// CutDelay is the least silence after which a voter counts as lost whose
	// whole data centre is silent: most such silences are cuts of a link, and
	// the voters behind it come back together.
	CutDelay time.Duration
}

// Member is one member of the log's configuration.
type Member struct {
	Identity   string
	Instance   string
	DataCentre string
	Voter      bool
	// Silence is how long the member has not been heard; 0 for a live one.
	Silence time.Duration
	// Delay is how long it may be silent, as package detector learned.
	Delay time.Duration
	// Replaced tells that its instance runs with another identity: its disk is
	// gone, and this member with it.
	Replaced bool
}

// Spare is a live instance with a disk that is no member.
type Spare struct {
	Instance   string
	DataCentre string
}

// Snapshot is what is known at one moment.
type Snapshot struct {
	Members []Member
	Spares  []Spare
	// Reachable names the data centres of which any instance is heard.
	Reachable map[string]bool
	// Changing tells that a change of members is under way.
	Changing bool
}

// Change is one change of members: add an instance's replica, then remove an
// identity. Either may be empty.
type Change struct {
	Add    string
	Remove string
}

// Reason says why nothing is changed now.
type Reason string

// The reasons.
const (
	NothingLost Reason = "nothing_lost"
	// UnderWay: two changes at once could leave two majorities.
	UnderWay Reason = "change_under_way"
	// NoQuorum: what is left cannot commit a change; more members must return.
	NoQuorum Reason = "no_quorum"
	// Waiting: a member is silent, but not for long enough.
	Waiting Reason = "waiting"
	NoSpare Reason = "no_spare"
)

// Decide gives the next change, or the reason for none. Where a quorum lives,
// it still does with one live voter more and then with one lost voter less, so
// no step of a change that is given loses it.
func Decide(config Config, s Snapshot) (Change, Reason) {
	voters := votersOf(s.Members)
	live := liveOf(voters)
	switch {
	case s.Changing:
		return Change{}, UnderWay
	case len(live) < quorum(len(voters)):
		return Change{}, NoQuorum
	}
	lost, silent := longestLost(config, s, voters)
	switch {
	case lost != nil && len(voters) > config.Voters:
		return Change{Remove: lost.Identity}, ""
	case lost == nil && len(voters) >= config.Voters && silent:
		return Change{}, Waiting
	case lost == nil && len(voters) >= config.Voters:
		return Change{}, NothingLost
	}
	add := choose(s, live, lost)
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
		if voter.Silence == 0 && !voter.Replaced {
			live = append(live, voter)
		}
	}
	return live
}

func quorum(voters int) int { return voters/2 + 1 }

// longestLost is the voter that has been lost for longest, one whose disk is
// gone before all; silent tells whether any voter is silent.
func longestLost(config Config, s Snapshot, voters []Member) (lost *Member, silent bool) {
	for i := range voters {
		voter := &voters[i]
		silent = silent || voter.Silence > 0
		if !isLost(config, s, voter) {
			continue
		}
		if lost == nil || compareLost(voter, lost) > 0 {
			lost = voter
		}
	}
	return lost, silent
}

func isLost(config Config, s Snapshot, voter *Member) bool {
	if voter.Replaced {
		return true
	}
	delay := voter.Delay
	if !s.Reachable[voter.DataCentre] {
		delay = max(delay, config.CutDelay)
	}
	return voter.Silence > 0 && voter.Silence >= delay
}

func compareLost(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(rank(a.Replaced), rank(b.Replaced)),
		cmp.Compare(a.Silence, b.Silence),
		cmp.Compare(b.Identity, a.Identity),
	)
}

func rank(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// choose picks the spare in the data centre with the fewest live voters, so that
// a lost data centre takes as few voters as can be; among those the lost one's
// own instance or data centre, then the least name.
func choose(s Snapshot, live []Member, lost *Member) string {
	held := map[string]int{}
	for _, voter := range live {
		held[voter.DataCentre]++
	}
	spares := slices.Clone(s.Spares)
	slices.SortFunc(spares, func(a, b Spare) int {
		return cmp.Or(
			cmp.Compare(held[a.DataCentre], held[b.DataCentre]),
			cmp.Compare(nearness(lost, b), nearness(lost, a)),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	if len(spares) == 0 {
		return ""
	}
	return spares[0].Instance
}

func nearness(lost *Member, spare Spare) int {
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
