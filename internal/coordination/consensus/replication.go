package consensus

import (
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// appendLocal appends entries of the current term to the leader's log and returns the
// index of the first.
func (n *Node) appendLocal(kind consensuspb.EntryKind, data ...[]byte) uint64 {
	first := n.log.last() + 1
	for i, d := range data {
		n.log.extend(&consensuspb.Entry{Index: first + uint64(i), Term: n.term, Kind: kind, Data: d})
	}
	return first
}

// flush queues the messages that the members need now. It runs once per Ready, so that
// proposals and reads made since the previous Ready share messages.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	for _, p := range n.progress {
		if n.reads.unsent {
			n.sendHeartbeat(p, n.reads.round)
		}
		n.replicate(p)
	}
	n.reads.unsent = false
	n.dropRemoved()
	n.finishTransfer()
}

// replicate sends entries to the member as far as flow control permits. A member that
// has all entries is sent a new commit index immediately rather than with the next
// heartbeat.
func (n *Node) replicate(p *progress) {
	for p.next <= n.log.last() && !p.throttled(n.config.MaxInflight) {
		n.sendAppend(p)
	}
	if p.state == Replicating && p.sentCommit < min(p.match, n.log.commit) {
		n.sendHeartbeat(p, 0)
	}
}

func (n *Node) sendAppend(p *progress) {
	previous := p.next - 1
	term, ok := n.log.termAt(previous)
	if !ok {
		n.sendSnapshot(p)
		return
	}
	entries := n.log.entriesFrom(p.next, n.config.MaxAppendBytes)
	p.recordAppend(entries, n.reads.round)
	p.sentCommit = max(p.sentCommit, min(n.log.commit, previous+uint64(len(entries))))
	n.send(&consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND, To: p.identity,
		LogIndex: previous, LogTerm: term, Entries: entries,
		Commit: n.log.commit, ReadRound: n.reads.round,
	})
}

// sendHeartbeat sends a heartbeat with the commit index, limited to the entries known
// to match on the member. Round 0 requests no reply.
func (n *Node) sendHeartbeat(p *progress, round uint64) {
	commit := min(p.match, n.log.commit)
	p.sentCommit = max(p.sentCommit, commit)
	n.send(&consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: p.identity,
		Commit: commit, ReadRound: round,
	})
}

// followLeader accepts the sender as the leader of the current term. It fails if this
// replica leads the term itself.
func (n *Node) followLeader(m *consensuspb.Message) error {
	if n.role == Leader {
		return failure.New(failure.Corrupt, "%s and %s both lead term %d", m.From, n.config.Identity, n.term)
	}
	n.becomeFollower(n.term, m.From)
	n.electionTimeout.observeLeader(m.From, n.term, n.now)
	n.elapsed = 0
	return nil
}

func (n *Node) handleAppend(m *consensuspb.Message) error {
	if err := n.followLeader(m); err != nil {
		return err
	}
	reply := &consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		LogIndex: m.LogIndex, ReadRound: m.ReadRound,
	}
	switch {
	case m.LogIndex < n.log.commit:
		// A stale append: committed entries cannot differ.
		reply.LogIndex = n.log.commit
	case !n.log.matches(m.LogIndex, m.LogTerm):
		reply.Reject = true
		reply.HintIndex = n.log.findConflictByTerm(m.LogIndex, m.LogTerm)
		reply.HintTerm, _ = n.log.termAt(reply.HintIndex)
	default:
		if err := n.mergeEntries(m.Entries); err != nil {
			return err
		}
		reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
		n.commitTo(min(m.Commit, reply.LogIndex))
	}
	n.send(reply)
	return nil
}

func (n *Node) mergeEntries(entries []*consensuspb.Entry) error {
	added, err := n.log.merge(entries)
	if err != nil || len(added) == 0 {
		return err
	}
	n.configurations.truncate(added[0].Index)
	return n.configurations.addFrom(added)
}

func (n *Node) handleHeartbeat(m *consensuspb.Message) {
	if n.followLeader(m) != nil {
		return
	}
	n.commitTo(min(m.Commit, n.log.last()))
	if m.ReadRound != 0 {
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound})
	}
}

// recordReply records a reply from a member. It returns nil if this replica does not
// lead or the sender is not a member.
func (n *Node) recordReply(m *consensuspb.Message) *progress {
	p := n.progressOf(m.From)
	if n.role != Leader || p == nil {
		return nil
	}
	p.hasReplied, p.lastReply = true, n.now
	p.round = max(p.round, m.ReadRound)
	n.confirmRounds()
	return p
}

func (n *Node) handleAppendReply(m *consensuspb.Message) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	advanced := p.advance(m.LogIndex)
	if p.state == Probing && m.LogIndex+1 >= p.next || p.state == Installing && p.match >= n.log.base {
		p.probe(p.match + 1)
		p.state = Replicating
	}
	if advanced {
		n.advanceCommit()
	}
}

// handleReject moves the next index back to where the logs may match: the member's
// hint, or the leader's newest entry whose term is at most the hint's. Skipping a whole
// conflicting term costs one round trip. The index moves back by at least one entry, so
// that a conflict at the compacted base leads to a snapshot.
func (n *Node) handleReject(p *progress, m *consensuspb.Message) {
	stale := m.LogIndex <= p.match || p.state == Probing && m.LogIndex != p.next-1
	if stale || p.state == Installing {
		return
	}
	p.probe(min(n.log.findConflictByTerm(m.HintIndex, m.HintTerm)+1, m.LogIndex))
}

func (n *Node) handleHeartbeatReply(m *consensuspb.Message) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	p.probeSent = false
	switch {
	case p.appendLost():
		p.probe(p.match + 1)
	case p.state == Installing && n.now-p.snapshotTick >= uint64(n.config.ElectionTicks):
		n.sendSnapshot(p)
	}
}

// advanceCommit commits the entries that a quorum has stored. Only entries of the
// leader's own term are committed by counting replicas: an entry of an older term can
// be stored on a quorum and still be overwritten by a later leader (Raft paper, figure
// 8).
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.log.durable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.termAt(index); term != n.term && !n.disabled.currentTermCommit {
		return
	}
	n.commitTo(index)
	n.releaseReads()
	n.stepDownIfRemoved()
}

func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }

// committedInTerm reports whether the leader has committed an entry of its own term, so
// that its commit index covers everything that earlier leaders committed.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.termAt(n.log.commit)
	return n.role == Leader && term == n.term
}
