package consensus

import "pinewinch.example/pinewinch/internal/coordination/recent"

// silenceWindow is the length of one observation window, in minimum election timeouts.
// A silence is remembered for at least one and at most two windows.
const silenceWindow = 60

// electionTimeout is the adaptive minimum election timeout: how long a follower
// tolerates silence of its leader, and a leader silence of its quorum. It follows the
// silences of replicas that turned out to be alive and the pauses of this process. On a
// machine that repeatedly pauses processes for longer than ElectionTicks, a fixed
// timeout would depose every leader before it makes progress. Silences longer than
// maxTicks are outages and are not learned from. Neither is the return of a lost
// replica, which may have restarted in the meantime.
type electionTimeout struct {
	minTicks, maxTicks int
	// maxSilence is the longest silence, in ticks, in the current and the previous
	// window; windowStart is the tick at which the current one began.
	maxSilence  recent.Largest[int]
	windowStart uint64
	// lastHeard is the tick of the last message from leader in term.
	leader    string
	term      uint64
	lastHeard uint64
}

func newElectionTimeout(config Config) electionTimeout {
	return electionTimeout{minTicks: config.ElectionTicks, maxTicks: max(config.MostElectionTicks, config.ElectionTicks)}
}

// ticks returns the current minimum election timeout: twice the longest recent silence,
// within the bounds.
func (e *electionTimeout) ticks() int {
	return min(max(e.minTicks, 2*e.maxSilence.Value()), e.maxTicks)
}

// tick starts a new observation window when the current one is over.
func (e *electionTimeout) tick(now uint64) {
	if now-e.windowStart >= uint64(silenceWindow*e.minTicks) {
		e.maxSilence.Turn()
		e.windowStart = now
	}
}

// observeLeader records a message from the leader of a term. The interval since the
// previous message counts as a silence only if leader and term are unchanged.
func (e *electionTimeout) observeLeader(identity string, term, now uint64) {
	if e.leader == identity && e.term == term {
		e.observe(int(now - e.lastHeard))
	}
	e.leader, e.term, e.lastHeard = identity, term, now
}

// observe records a silence, in ticks, of a replica that is alive.
func (e *electionTimeout) observe(silence int) {
	if silence <= e.maxTicks {
		e.maxSilence.See(silence)
	}
}

// StoodStill reports that the driver was paused for a number of ticks. It counts as a
// silence, since the other replicas may be paused for as long.
func (n *Node) StoodStill(ticks int) { n.electionTimeout.observe(ticks) }
