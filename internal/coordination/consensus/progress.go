package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// ProgressState is the replication mode of one member.
type ProgressState int

const (
	// Probing sends one append at a time until the matching index is known.
	Probing ProgressState = iota
	// Replicating pipelines appends, up to MaxInflight, without waiting for replies.
	Replicating
	// Installing waits until the member has fetched a snapshot.
	Installing
)

// String returns the name of the state for logs and dumps.
func (s ProgressState) String() string {
	return [...]string{"probing", "replicating", "installing"}[s]
}

// inflightAppend is an append that has not been acknowledged.
type inflightAppend struct {
	last  uint64 // index of its last entry
	round uint64 // newest read round when it was sent
}

// progress is the leader's view of one other member.
type progress struct {
	identity string
	state    ProgressState
	match    uint64 // newest index known to be durable on the member
	next     uint64 // index of the next entry to send
	// sentCommit is the commit index that the member learns from the messages sent so
	// far, if they arrive.
	sentCommit uint64
	round      uint64 // newest read round that the member has answered
	// hasReplied tells whether the member has replied to this leader, and lastReply the
	// tick of its last reply.
	hasReplied bool
	lastReply  uint64
	// probeSent blocks further probes until the outstanding one, or a heartbeat, is
	// answered.
	probeSent bool
	inflight  []inflightAppend
	// snapshotTick is the tick at which the member was last asked to fetch a snapshot.
	snapshotTick uint64
	// removed marks a member that was removed from the configuration. It still receives
	// the log until it knows that its removal is committed, and then stops campaigning.
	removed bool
}

func (n *Node) progressOf(identity string) *progress {
	for _, p := range n.progress {
		if p.identity == identity {
			return p
		}
	}
	return nil
}

// updateProgress aligns the progress list with the newest configuration.
func (n *Node) updateProgress() {
	var list []*progress
	configuration := n.configurations.newest()
	for _, m := range configuration.GetMembers() {
		if m.Identity == n.config.Identity {
			continue
		}
		p := n.progressOf(m.Identity)
		if p == nil {
			p = &progress{identity: m.Identity, next: n.log.last() + 1}
		}
		// A member that was removed and added again may still be in the list as
		// removed.
		p.removed = false
		list = append(list, p)
	}
	for _, p := range n.progress {
		if member(configuration, p.identity) == nil {
			p.removed = true
			list = append(list, p)
		}
	}
	n.progress = list
}

// live reports whether the member has replied within the last ElectionTicks.
func (n *Node) live(p *progress) bool {
	return p.hasReplied && n.now-p.lastReply < uint64(n.config.ElectionTicks)
}

// caughtUp reports whether the member stores all entries that were committed two
// heartbeats ago. Its lag is then shorter than a membership change takes, so that its
// vote does not delay the next commits.
func (n *Node) caughtUp(p *progress) bool {
	return n.live(p) && p.state == Replicating && p.match >= n.commitAtHeartbeat[0]
}

func (p *progress) probe(next uint64) {
	p.state = Probing
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.probeSent = false
}

// advance processes an acknowledgement up to index and reports whether the match index
// increased.
func (p *progress) advance(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// appendLost reports whether the oldest unacknowledged append was lost: the member has
// answered a heartbeat sent at least two rounds later.
func (p *progress) appendLost() bool {
	return len(p.inflight) > 0 && p.round >= p.inflight[0].round+2
}

// throttled reports whether flow control blocks the next append.
func (p *progress) throttled(maxInflight int) bool {
	switch p.state {
	case Probing:
		return p.probeSent
	case Replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// recordAppend accounts for an append of these entries that is being sent.
func (p *progress) recordAppend(entries []*consensuspb.Entry, round uint64) {
	if p.state == Probing {
		p.probeSent = true
		return
	}
	if len(entries) == 0 {
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, inflightAppend{last: p.next - 1, round: round})
}
