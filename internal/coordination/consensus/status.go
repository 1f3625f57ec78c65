package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// Role is the role of a replica in its term.
type Role int

// The roles. A learner is a Follower that never campaigns.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role for logs and dumps.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is a snapshot of a Node's state, for the driver, dumps and operators.
type Status struct {
	Identity string
	Role     Role
	Term     uint64
	// Leader is the identity of the leader; empty if unknown.
	Leader string
	// First is the oldest index in the log, Last the newest.
	First, Last uint64
	// Commit is the newest committed index. Applied is the newest index returned in
	// Ready.Committed or covered by an installed snapshot.
	Commit, Applied uint64
	// Configuration is the newest configuration in the log, which is in force from its
	// append on. It is shared and must not be modified.
	Configuration *consensuspb.Configuration
	// ConfigurationPending reports that Configuration is not committed yet.
	ConfigurationPending bool
	// ElectionTicks is the current minimum election timeout, in ticks.
	ElectionTicks int
	// Members is the leader's view of the other members; empty unless this replica is
	// the leader.
	Members []MemberStatus
	// QuorumAge is set on a leader: the ticks since the most recent time at which a
	// quorum is known to have acknowledged it.
	QuorumAge int
	// LeaderAge is set on other replicas: the ticks since the last message from the
	// leader or, without one, since the last campaign began.
	LeaderAge int
	// CommittedInTerm reports that the leader has committed an entry of its own term,
	// so that its commit index covers the commits of all earlier leaders.
	CommittedInTerm bool
}

// MemberStatus is a leader's view of another member.
type MemberStatus struct {
	Identity string
	Voter    bool
	State    ProgressState
	// Match is the newest index known to be durable on the member.
	Match uint64
	// Live reports that the member replied within the last Config.ElectionTicks.
	Live bool
	// CaughtUp reports that a learner may be promoted.
	CaughtUp bool
	// Inflight is the number of unacknowledged appends.
	Inflight int
}

// Status returns a copy of the Node's current state.
func (n *Node) Status() Status {
	s := Status{
		Identity:             n.config.Identity,
		Role:                 n.role,
		Term:                 n.term,
		Leader:               n.leader,
		First:                n.log.base + 1,
		Last:                 n.log.last(),
		Commit:               n.log.commit,
		ElectionTicks:        n.electionTimeout.ticks(),
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
