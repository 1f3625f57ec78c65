package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// ballot is what the voters answered to one campaign.
type ballot struct {
	began   uint64 // tick
	answers map[string]bool
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.drawn = n.config.Rand.IntN(n.config.ElectionTicks + 1)
}

func (n *Node) timeout() int {
	ticks := n.patience.ticks()
	return ticks + n.drawn*ticks/n.config.ElectionTicks
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

// mayCampaign tells whether this replica is a voter in the committed
// configuration or one after it. One that is only in the committed one still
// campaigns: until its own removal is committed the quorum may need its log
// (thesis, 4.2.2).
func (n *Node) mayCampaign() bool {
	if isVoter(n.configurations.at(n.log.commit), n.config.Identity) {
		return true
	}
	for _, p := range n.configurations.after(n.log.commit) {
		if isVoter(p.configuration, n.config.Identity) {
			return true
		}
	}
	return false
}

// campaign asks, without a new term, who would vote for this replica. A replica
// that was cut off would otherwise raise its term at every timeout and depose
// a healthy leader on its return; here it stays in its term until a quorum
// that hears no leader would elect it.
func (n *Node) campaign() {
	n.leader = ""
	n.resetTimeout()
	if !n.mayCampaign() {
		return
	}
	if n.disabled.preVote {
		n.elect(false)
		return
	}
	n.role = PreCandidate
	n.ask(consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// elect asks for votes in a new term.
func (n *Node) elect(transferred bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.config.Identity
	n.resetTimeout()
	n.ask(consensuspb.MessageKind_MESSAGE_KIND_VOTE, n.term, transferred)
}

func (n *Node) ask(kind consensuspb.MessageKind, term uint64, transferred bool) {
	n.votes = ballot{began: n.now, answers: map[string]bool{n.config.Identity: true}}
	for _, identity := range voters(n.configurations.newest()) {
		if identity == n.config.Identity {
			continue
		}
		n.send(&consensuspb.Message{
			Kind: kind, To: identity, Term: term, Transfer: transferred,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.count()
}

// count moves on when a quorum of the newest configuration agrees. This
// replica's own vote counts only where it is a voter itself.
func (n *Node) count() {
	identities := voters(n.configurations.newest())
	granted, refused := 0, 0
	for _, identity := range identities {
		yes, answered := n.votes.answers[identity]
		if yes {
			granted++
		} else if answered {
			refused++
		}
	}
	need := n.quorum(len(identities))
	switch {
	case granted >= need && n.role == PreCandidate:
		n.elect(false)
	case granted >= need:
		n.becomeLeader()
	case refused > len(identities)-need:
		n.role = Follower
	}
}

// hearsLeader tells whether this replica follows a live leader other than the
// candidate. It then ignores vote requests, so that a replica that has lost
// only its own link, or was removed, cannot depose a leader that serves the
// others. A leader that asks for votes itself has stepped down.
func (n *Node) hearsLeader(candidate string) bool {
	if n.disabled.stickiness {
		return false
	}
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.leader != candidate && n.elapsed < n.patience.ticks()
}

func (n *Node) handlePreVote(m *consensuspb.Message) {
	granted := m.Term > n.term && n.log.upToDate(m.LogIndex, m.LogTerm) && !n.hearsLeader(m.From)
	reply := &consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

// handleVote votes whatever the own configuration says: a voter that has not
// heard of its promotion yet may be needed for the quorum.
func (n *Node) handleVote(m *consensuspb.Message) {
	free := n.vote == "" && n.leader == "" || n.vote == m.From
	granted := free && n.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetTimeout()
	}
	n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteReply(m *consensuspb.Message, asked Role) {
	// A granted pre-vote answers for the next term; one of an older campaign
	// would answer for a term that is over.
	if n.role != asked || asked == PreCandidate && !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes.answers[m.From] = !m.Reject
	n.count()
}

// becomeLeader opens the term with an empty entry: entries of earlier terms
// commit only through one of the leader's own (Raft, 5.4.2).
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.config.Identity
	n.resetTimeout()
	n.reads.reset()
	n.reads.confirmedTick = n.votes.began
	n.progress = nil
	n.commitAtBeat = [2]uint64{n.log.commit, n.log.commit}
	n.followConfiguration()
	n.appendOwn(consensuspb.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.startRound()
}

// tickLeader steps down when no quorum has recognised this leader for an
// election timeout. A leader that can send but not hear would otherwise keep
// the others from electing one and commit nothing, for as long as the cut lasts.
func (n *Node) tickLeader() {
	if n.silence() >= n.patience.ticks() && !n.disabled.quorumContact {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	if n.now%uint64(n.config.HeartbeatTicks) == 0 {
		n.commitAtBeat = [2]uint64{n.commitAtBeat[1], n.log.commit}
		n.startRound()
	}
}

// silence is how long this leader has heard no quorum: since its election at
// most, as the votes may have been long on their way.
func (n *Node) silence() int { return min(n.quorumAge(), n.elapsed) }
