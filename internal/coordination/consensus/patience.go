package consensus

import "pinewinch.example/pinewinch/internal/coordination/recent"

// patienceWindow, in shortest election timeouts, is for how long at the least a silence is
// remembered, and for twice as long at the most.
const patienceWindow = 60

// patience is how long the silence of a leader, or on a leader of its quorum, is borne. It
// follows the silences of those that lived, and the standstills of this replica itself: on
// a machine where processes stand still for longer than the shortest election timeout again
// and again, no leader would live for long enough to do anything. What lasts longer than
// the longest patience is an outage, and teaches nothing; nor does the return of a replica
// that was lost, as it may have started again meanwhile.
type patience struct {
	shortest, longest int
	// seen is the longest of two windows, the newer of which began at the tick began.
	seen  recent.Largest[int]
	began uint64
	// leader of term was last heard at the tick heard.
	leader string
	term   uint64
	heard  uint64
}

func newPatience(config Config) patience {
	return patience{shortest: config.ElectionTicks, longest: max(config.MostElectionTicks, config.ElectionTicks)}
}

// ticks that a silence is borne for: twice the longest that was seen lately.
func (p *patience) ticks() int {
	return min(max(p.shortest, 2*p.seen.Value()), p.longest)
}

// pass notes the time.
func (p *patience) pass(now uint64) {
	if now-p.began >= uint64(patienceWindow*p.shortest) {
		p.seen.Turn()
		p.began = now
	}
}

// hearLeader notes that the leader of a term is heard.
func (p *patience) hearLeader(identity string, term, now uint64) {
	if p.leader == identity && p.term == term {
		p.learn(int(now - p.heard))
	}
	p.leader, p.term, p.heard = identity, term, now
}

// learn takes in a silence of one that lived, in ticks.
func (p *patience) learn(silence int) {
	if silence <= p.longest {
		p.seen.See(silence)
	}
}

// StoodStill tells the Node that its driver was held up for so many ticks: the others may
// be, too.
func (n *Node) StoodStill(ticks int) { n.patience.learn(ticks) }
