package consensus

// ReadState confirms a read round: a reader of that round may read once the
// state machine has applied Index.
type ReadState struct {
	Round uint64
	Index uint64
}

// begun is a round that no quorum has answered yet.
type begun struct {
	round uint64
	tick  uint64
}

// pendingRead waits for its round; its index is 0 until the leader has
// committed in its own term.
type pendingRead struct {
	round uint64
	index uint64
}

// readRounds are a leader's rounds of heartbeats. A quorum that answers a
// round recognised this leader after the round began (thesis, 6.4). The number
// of a round is never used twice by one Node.
type readRounds struct {
	round         uint64 // the newest
	unsent        bool   // the newest has not been sent yet
	open          []begun
	confirmedTick uint64 // when the newest confirmed round began
	waiting       []pendingRead
	confirmed     []ReadState
}

func (r *readRounds) reset() {
	*r = readRounds{round: r.round, confirmed: r.confirmed}
}

// ReadIndex starts a read that must see everything committed before it. The
// round is confirmed by a ReadState in a Ready; reads made between two Readys
// share one. A round that is unconfirmed when the replica ceases to lead never
// will be.
func (n *Node) ReadIndex() (uint64, error) {
	if err := n.leading(); err != nil {
		return 0, err
	}
	n.startRound()
	read := pendingRead{round: n.reads.round}
	if n.committedInTerm() {
		read.index = n.log.commit
	}
	if last := len(n.reads.waiting) - 1; last >= 0 && n.reads.waiting[last].round == read.round {
		n.reads.waiting[last] = read
	} else {
		n.reads.waiting = append(n.reads.waiting, read)
	}
	n.confirmRounds()
	return read.round, nil
}

// startRound begins a round unless one waits to be sent.
func (n *Node) startRound() {
	if n.reads.unsent {
		return
	}
	n.reads.round++
	n.reads.unsent = true
	n.reads.open = append(n.reads.open, begun{n.reads.round, n.now})
	n.confirmRounds()
}

// confirmRounds closes the rounds that a quorum has answered.
func (n *Node) confirmRounds() {
	answered := n.quorumValue(n.reads.round, func(p *progress) uint64 { return p.round })
	if n.role == Leader && len(n.reads.open) > 0 && n.reads.open[0].round <= answered {
		n.patience.learn(n.silence())
	}
	for len(n.reads.open) > 0 && n.reads.open[0].round <= answered {
		n.reads.confirmedTick = n.reads.open[0].tick
		n.reads.open = n.reads.open[1:]
	}
	n.settleReads()
}

// settleReads releases the reads whose round is closed.
func (n *Node) settleReads() {
	for len(n.reads.waiting) > 0 {
		read := n.reads.waiting[0]
		if read.index == 0 && n.committedInTerm() {
			read.index = n.log.commit
		}
		unconfirmed := len(n.reads.open) > 0 && n.reads.open[0].round <= read.round
		if read.index == 0 || unconfirmed && !n.disabled.readRounds {
			return
		}
		n.reads.confirmed = append(n.reads.confirmed, ReadState{Round: read.round, Index: read.index})
		n.reads.waiting = n.reads.waiting[1:]
	}
}

// quorumAge is how many ticks ago a quorum surely recognised this leader.
func (n *Node) quorumAge() int { return int(n.now - n.reads.confirmedTick) }
