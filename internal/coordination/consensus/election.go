package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// voteTally collects the replies to one campaign, for pre-votes or votes.
type voteTally struct {
	startTick uint64          // tick at which the requests were queued
	replies   map[string]bool // granted or refused, by voter identity
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.jitter = n.config.Rand.IntN(n.config.ElectionTicks + 1)
}

func (n *Node) randomizedTimeout() int {
	ticks := n.electionTimeout.ticks()
	return ticks + n.jitter*ticks/n.config.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.term {
		n.term, n.vote = term, ""
	}
	if n.role != Follower || n.leader != leader {
		n.resetTimeout()
	}
	n.role, n.leader = Follower, leader
	n.progress = nil
	n.reads.reset()
	n.transfer = transfer{}
}

// mayCampaign reports whether this replica is a voter in the committed configuration or
// in a later one. A replica that is a voter only in the committed configuration still
// campaigns: until its removal is committed, the quorum may need its log (thesis,
// section 4.2.2).
func (n *Node) mayCampaign() bool {
	if isVoter(n.configurations.at(n.log.commit), n.config.Identity) {
		return true
	}
	for _, c := range n.configurations.after(n.log.commit) {
		if isVoter(c.configuration, n.config.Identity) {
			return true
		}
	}
	return false
}

// campaign starts a pre-vote without incrementing the term. Without pre-vote, a replica
// that was partitioned would increment its term at every election timeout and depose a
// healthy leader when it reconnects. With it, the term stays unchanged until a quorum
// that has no live leader would grant the vote.
func (n *Node) campaign() {
	n.leader = ""
	n.resetTimeout()
	if !n.mayCampaign() {
		return
	}
	if n.disabled.preVote {
		n.startElection(false)
		return
	}
	n.role = PreCandidate
	n.requestVotes(consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// startElection requests votes in a new term. With transferred set, the voters grant
// them even if they have a live leader.
func (n *Node) startElection(transferred bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.config.Identity
	n.resetTimeout()
	n.requestVotes(consensuspb.MessageKind_MESSAGE_KIND_VOTE, n.term, transferred)
}

func (n *Node) requestVotes(kind consensuspb.MessageKind, term uint64, transferred bool) {
	n.votes = voteTally{startTick: n.now, replies: map[string]bool{n.config.Identity: true}}
	for _, identity := range voters(n.configurations.newest()) {
		if identity == n.config.Identity {
			continue
		}
		n.send(&consensuspb.Message{
			Kind: kind, To: identity, Term: term, Transfer: transferred,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes()
}

// countVotes evaluates the replies against the quorum of the newest configuration. This
// replica's own vote counts only if it is a voter in it.
func (n *Node) countVotes() {
	identities := voters(n.configurations.newest())
	granted, refused := 0, 0
	for _, identity := range identities {
		yes, replied := n.votes.replies[identity]
		if yes {
			granted++
		} else if replied {
			refused++
		}
	}
	need := n.quorum(len(identities))
	switch {
	case granted >= need && n.role == PreCandidate:
		n.startElection(false)
	case granted >= need:
		n.becomeLeader()
	case refused > len(identities)-need:
		n.role = Follower
	}
}

// hasLiveLeader reports whether this replica follows a live leader other than the
// candidate. It then ignores vote requests, so that a replica that has only lost its
// own link to the leader, or that was removed, cannot depose a leader that serves the
// others (leader stickiness). A vote request from the leader itself means that it has
// stepped down.
func (n *Node) hasLiveLeader(candidate string) bool {
	if n.disabled.stickiness {
		return false
	}
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.leader != candidate && n.elapsed < n.electionTimeout.ticks()
}

func (n *Node) handlePreVote(m *consensuspb.Message) {
	granted := m.Term > n.term && n.log.upToDate(m.LogIndex, m.LogTerm) && !n.hasLiveLeader(m.From)
	reply := &consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

// handleVote grants votes regardless of this replica's own configuration: a voter that
// has not yet learned of its promotion may be needed for the quorum.
func (n *Node) handleVote(m *consensuspb.Message) {
	eligible := n.vote == "" && n.leader == "" || n.vote == m.From
	granted := eligible && n.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetTimeout()
	}
	n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteReply(m *consensuspb.Message, asked Role) {
	// A granted pre-vote carries the prospective term. A reply to an earlier campaign,
	// with a prospective term that has passed, is ignored.
	if n.role != asked || asked == PreCandidate && !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes.replies[m.From] = !m.Reject
	n.countVotes()
}

// becomeLeader starts the term with an entry without a proposal: entries of earlier terms are
// committed only indirectly, by committing an entry of the leader's own term (Raft
// paper, section 5.4.2).
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.config.Identity
	n.resetTimeout()
	n.reads.reset()
	n.reads.confirmedTick = n.votes.startTick
	n.progress = nil
	n.commitAtHeartbeat = [2]uint64{n.log.commit, n.log.commit}
	n.updateProgress()
	n.appendLocal(consensuspb.EntryKind_ENTRY_KIND_EMPTY, n.config.FirstEntry)
	n.startRound()
}

// tickLeader steps down if no quorum has acknowledged this leader for an election
// timeout. Otherwise a leader that can send but not receive would prevent the election
// of another one while committing nothing, for as long as the network fault lasts.
func (n *Node) tickLeader() {
	if n.ticksSinceQuorum() >= n.electionTimeout.ticks() && !n.disabled.checkQuorum {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	if n.now%uint64(n.config.HeartbeatTicks) == 0 {
		n.commitAtHeartbeat = [2]uint64{n.commitAtHeartbeat[1], n.log.commit}
		n.startRound()
	}
}

// ticksSinceQuorum returns the ticks since a quorum last acknowledged this leader, or
// since its election if that is more recent: the votes may have been delayed in the
// network.
func (n *Node) ticksSinceQuorum() int { return min(n.quorumAge(), n.elapsed) }
