package consensus

// ReadState confirms a read round: reads of that round may be served once the state
// machine has applied Index.
type ReadState struct {
	Round uint64
	Index uint64
}

// openRound is a round that no quorum has acknowledged yet.
type openRound struct {
	round     uint64
	startTick uint64
}

// pendingRead is a read whose round is not confirmed yet. Its index is 0 until the
// leader has committed an entry of its own term.
type pendingRead struct {
	round uint64
	index uint64
}

// readRounds tracks the heartbeat rounds of a leader. Acknowledgements of a round by a
// quorum prove that this replica was still the leader after the round began (thesis,
// section 6.4). A Node never reuses a round number.
type readRounds struct {
	round         uint64 // newest round
	unsent        bool   // the newest round has not been sent yet
	open          []openRound
	confirmedTick uint64 // tick at which the newest confirmed round began
	waiting       []pendingRead
	confirmed     []ReadState
}

func (r *readRounds) reset() {
	*r = readRounds{round: r.round, confirmed: r.confirmed}
}

// ReadIndex starts a linearizable read, which observes everything committed before the
// call, and returns its round. A later Ready confirms the round with a ReadState; reads
// started between two Readys share a round. A round that is unconfirmed when the
// replica loses leadership is never confirmed.
func (n *Node) ReadIndex() (uint64, error) {
	if err := n.checkLeader(); err != nil {
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

// startRound begins a new round unless the newest one has not been sent yet.
func (n *Node) startRound() {
	if n.reads.unsent {
		return
	}
	n.reads.round++
	n.reads.unsent = true
	n.reads.open = append(n.reads.open, openRound{n.reads.round, n.now})
	n.confirmRounds()
}

// confirmRounds closes the rounds that a quorum has acknowledged.
func (n *Node) confirmRounds() {
	acknowledged := n.quorumValue(n.reads.round, func(p *progress) uint64 { return p.round })
	if n.role == Leader && len(n.reads.open) > 0 && n.reads.open[0].round <= acknowledged {
		n.electionTimeout.observe(n.ticksSinceQuorum())
	}
	for len(n.reads.open) > 0 && n.reads.open[0].round <= acknowledged {
		n.reads.confirmedTick = n.reads.open[0].startTick
		n.reads.open = n.reads.open[1:]
	}
	n.releaseReads()
}

// releaseReads confirms the reads whose round is closed.
func (n *Node) releaseReads() {
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

// quorumAge is an upper bound on the ticks since a quorum last acknowledged this
// leader.
func (n *Node) quorumAge() int { return int(n.now - n.reads.confirmedTick) }
