package consensus

import (
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// appendOwn adds entries of the leader's term behind its log.
func (n *Node) appendOwn(kind consensuspb.EntryKind, data ...[]byte) uint64 {
	first := n.log.last() + 1
	for i, d := range data {
		n.log.extend(&consensuspb.Entry{Index: first + uint64(i), Term: n.term, Kind: kind, Data: d})
	}
	return first
}

// flush queues what the members should be told now. It runs once per Ready, so
// that proposals and reads made since the last one share their messages.
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

// replicate sends the member what flow control lets through. A member that has
// all is told a new commit index at once rather than with the next heartbeat.
func (n *Node) replicate(p *progress) {
	for p.next <= n.log.last() && !p.full(n.config.MaxInflight) {
		n.sendAppend(p)
	}
	if p.state == Replicating && p.told < min(p.match, n.log.commit) {
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
	entries := n.log.from(p.next, n.config.MaxAppendBytes)
	p.record(entries, n.reads.round)
	p.told = max(p.told, min(n.log.commit, previous+uint64(len(entries))))
	n.send(&consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND, To: p.identity,
		LogIndex: previous, LogTerm: term, Entries: entries,
		Commit: n.log.commit, ReadRound: n.reads.round,
	})
}

// sendHeartbeat asserts leadership and tells the commit index as far as the
// member surely holds the same log. Round 0 wants no answer.
func (n *Node) sendHeartbeat(p *progress, round uint64) {
	commit := min(p.match, n.log.commit)
	p.told = max(p.told, commit)
	n.send(&consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: p.identity,
		Commit: commit, ReadRound: round,
	})
}

// follow recognises the sender as the leader of this term.
func (n *Node) follow(m *consensuspb.Message) error {
	if n.role == Leader {
		return failure.New(failure.Corrupt, "%s and %s both lead term %d", m.From, n.config.Identity, n.term)
	}
	n.becomeFollower(n.term, m.From)
	n.patience.hearLeader(m.From, n.term, n.now)
	n.elapsed = 0
	return nil
}

func (n *Node) handleAppend(m *consensuspb.Message) error {
	if err := n.follow(m); err != nil {
		return err
	}
	reply := &consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		LogIndex: m.LogIndex, ReadRound: m.ReadRound,
	}
	switch {
	case m.LogIndex < n.log.commit:
		// Old news: what is committed cannot differ.
		reply.LogIndex = n.log.commit
	case !n.log.matches(m.LogIndex, m.LogTerm):
		reply.Reject = true
		reply.HintIndex = n.log.closest(m.LogIndex, m.LogTerm)
		reply.HintTerm, _ = n.log.termAt(reply.HintIndex)
	default:
		if err := n.takeEntries(m.Entries); err != nil {
			return err
		}
		reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
		n.commitTo(min(m.Commit, reply.LogIndex))
	}
	n.send(reply)
	return nil
}

func (n *Node) takeEntries(entries []*consensuspb.Entry) error {
	added, err := n.log.merge(entries)
	if err != nil || len(added) == 0 {
		return err
	}
	n.configurations.truncate(added[0].Index)
	return n.configurations.take(added)
}

func (n *Node) handleHeartbeat(m *consensuspb.Message) {
	if n.follow(m) != nil {
		return
	}
	n.commitTo(min(m.Commit, n.log.last()))
	if m.ReadRound != 0 {
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound})
	}
}

// hear notes that a member answered; nil when it is none.
func (n *Node) hear(m *consensuspb.Message) *progress {
	p := n.progressOf(m.From)
	if n.role != Leader || p == nil {
		return nil
	}
	p.answered, p.heard = true, n.now
	p.round = max(p.round, m.ReadRound)
	n.confirmRounds()
	return p
}

func (n *Node) handleAppendReply(m *consensuspb.Message) {
	p := n.hear(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	news := p.advance(m.LogIndex)
	if p.state == Probing && m.LogIndex+1 >= p.next || p.state == Installing && p.match >= n.log.base {
		p.probe(p.match + 1)
		p.state = Replicating
	}
	if news {
		n.commitCounted()
	}
}

// handleReject goes back to where the logs can agree: the member's hint, or
// the leader's own newest entry of a term no newer than the hint's. A whole
// term that differs costs one round trip. It goes back one entry at least, so
// that a difference at the compacted base leads to a snapshot.
func (n *Node) handleReject(p *progress, m *consensuspb.Message) {
	stale := m.LogIndex <= p.match || p.state == Probing && m.LogIndex != p.next-1
	if stale || p.state == Installing {
		return
	}
	p.probe(min(n.log.closest(m.HintIndex, m.HintTerm)+1, m.LogIndex))
}

func (n *Node) handleHeartbeatReply(m *consensuspb.Message) {
	p := n.hear(m)
	if p == nil {
		return
	}
	p.waiting = false
	switch {
	case p.lost():
		p.probe(p.match + 1)
	case p.state == Installing && n.now-p.snapshotTick >= uint64(n.config.ElectionTicks):
		n.sendSnapshot(p)
	}
}

// commitCounted commits what a quorum holds. Only an entry of the leader's own
// term is committed by counting: one of an older term that a quorum holds can
// still be replaced by a later leader (Raft, figure 8).
func (n *Node) commitCounted() {
	index := n.quorumValue(n.log.durable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.termAt(index); term != n.term && !n.disabled.ownTermCommit {
		return
	}
	n.commitTo(index)
	n.settleReads()
	n.settleConfiguration()
}

func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }

// committedInTerm tells whether the leader's commit index covers all that
// earlier leaders committed.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.termAt(n.log.commit)
	return n.role == Leader && term == n.term
}
