package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// Role of a replica in its term.
type Role int

// The roles. A learner is a Follower that never campaigns.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role for logs and dumps.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is a copy of what a Node knows, for the driver, dumps and operators.
type Status struct {
	Identity string
	Role     Role
	Term     uint64
	// Leader is the identity of the leader; empty when none is known.
	Leader string
	// First is the oldest index still in the log, Last the newest.
	First, Last uint64
	// Commit is the newest committed index, Applied the newest handed over in
	// Ready.Committed or installed.
	Commit, Applied uint64
	// Configuration is the newest in the log, in force from its append on. It
	// is shared and must not be changed.
	Configuration *consensuspb.Configuration
	// ConfigurationPending tells that it is not committed yet.
	ConfigurationPending bool
	// ElectionTicks is the shortest election timeout as it is now.
	ElectionTicks int
	// Members is what a leader knows of the others; empty elsewhere.
	Members []MemberStatus
	// QuorumAge is, on a leader, the ticks since the newest moment at which a
	// quorum is known to have recognised it.
	QuorumAge int
	// LeaderAge is, on a follower, the ticks since it heard its leader.
	LeaderAge int
	// CommittedInTerm tells that the leader has committed in its own term, so
	// that its commit index covers all earlier leaders'.
	CommittedInTerm bool
}

// MemberStatus is a leader's view of another member.
type MemberStatus struct {
	Identity string
	Voter    bool
	State    ProgressState
	// Match is the newest index known to be durable there.
	Match uint64
	// Live tells that it answered within the shortest election timeout.
	Live bool
	// CaughtUp tells that a learner may be promoted.
	CaughtUp bool
	Inflight int
}

// Status copies the Node's present view.
func (n *Node) Status() Status {
	s := Status{
		Identity:             n.config.Identity,
		Role:                 n.role,
		Term:                 n.term,
		Leader:               n.leader,
		First:                n.log.base + 1,
		Last:                 n.log.last(),
		Commit:               n.log.commit,
		ElectionTicks:        n.patience.ticks(),
		Applied:              n.log.applied,
		Configuration:        n.configurations.newest(),
		ConfigurationPending: n.configurations.newestIndex() > n.log.commit,
	}
	if n.role != Leader {
		s.LeaderAge = n.elapsed
		return s
	}
	s.QuorumAge = n.quorumAge()
	s.CommittedInTerm = n.committedInTerm()
	for _, p := range n.progress {
		s.Members = append(s.Members, n.memberStatus(p))
	}
	return s
}

func (n *Node) memberStatus(p *progress) MemberStatus {
	return MemberStatus{
		Identity: p.identity,
		Voter:    isVoter(n.configurations.newest(), p.identity),
		State:    p.state,
		Match:    p.match,
		Live:     n.live(p),
		CaughtUp: n.caughtUp(p),
		Inflight: len(p.inflight),
	}
}
