package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// ProgressState is how a leader replicates to one member.
type ProgressState int

const (
	// Probing sends one append at a time until the logs are known to agree.
	Probing ProgressState = iota
	// Replicating sends batches without waiting for answers, up to MaxInflight.
	Replicating
	// Installing waits until the member has fetched a snapshot.
	Installing
)

// String names the state for logs and dumps.
func (s ProgressState) String() string {
	return [...]string{"probing", "replicating", "installing"}[s]
}

// sent is an append on its way.
type sent struct {
	last  uint64 // index of its last entry
	round uint64 // newest round when it left
}

// progress is a leader's view of one other member.
type progress struct {
	identity string
	state    ProgressState
	match    uint64 // newest index known to be durable there
	next     uint64 // index of the next entry to send
	// told is the commit index that it surely takes from what was sent.
	told  uint64
	round uint64 // newest round that it answered
	// answered and heard tell whether, and at which tick, it last answered.
	answered bool
	heard    uint64
	// waiting stops a probe until it or a heartbeat is answered.
	waiting  bool
	inflight []sent
	// snapshotTick is when the member was last told to fetch a snapshot.
	snapshotTick uint64
	// leaving marks a removed member, which gets the log until it knows that its
	// removal is committed: it then stops to campaign.
	leaving bool
}

func (n *Node) progressOf(identity string) *progress {
	for _, p := range n.progress {
		if p.identity == identity {
			return p
		}
	}
	return nil
}

// followConfiguration makes the progress list follow the newest configuration.
func (n *Node) followConfiguration() {
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
		// One that was removed and is added again may not have left yet.
		p.leaving = false
		list = append(list, p)
	}
	for _, p := range n.progress {
		if member(configuration, p.identity) == nil {
			p.leaving = true
			list = append(list, p)
		}
	}
	n.progress = list
}

// live tells whether the member answered within the shortest election timeout.
func (n *Node) live(p *progress) bool {
	return p.answered && n.now-p.heard < uint64(n.config.ElectionTicks)
}

// caughtUp tells whether the member holds all that was committed two
// heartbeats ago: it then lags by less than the time a change takes, and its
// vote does not hold up the next commits.
func (n *Node) caughtUp(p *progress) bool {
	return n.live(p) && p.state == Replicating && p.match >= n.commitAtBeat[0]
}

func (p *progress) probe(next uint64) {
	p.state = Probing
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.waiting = false
}

// advance takes an acknowledgement up to index and tells whether it is news.
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

// lost tells whether the oldest append must have been lost: the member has
// answered a heartbeat that left two rounds after it.
func (p *progress) lost() bool {
	return len(p.inflight) > 0 && p.round >= p.inflight[0].round+2
}

// full tells whether flow control holds back the next append.
func (p *progress) full(maxInflight int) bool {
	switch p.state {
	case Probing:
		return p.waiting
	case Replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// record notes an append that leaves with these entries.
func (p *progress) record(entries []*consensuspb.Entry, round uint64) {
	if p.state == Probing {
		p.waiting = true
		return
	}
	if len(entries) == 0 {
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, sent{last: p.next - 1, round: round})
}
