package consensus

import "pinewinch.example/pinewinch/internal/coordination/recent"

// observationWindow is the length of one observation window, in minimum election
// timeouts. An observed interval is remembered for at least one and at most two
// windows.
const observationWindow = 60

// electionTimeout is the adaptive minimum election timeout: how long a follower
// tolerates receiving no message from its leader, and a leader no acknowledgement from
// its quorum. It follows the intervals between messages of replicas that turned out to
// be alive, and the pauses of this process. On a machine that repeatedly pauses
// processes for longer than ElectionTicks, a fixed timeout would depose every leader
// before it makes progress. Intervals longer than maxTicks are outages and are not
// observed. Neither is the interval that ends with the return of a lost replica, which
// may have restarted in the meantime.
type electionTimeout struct {
	minTicks, maxTicks int
	// maxInterval is the longest interval, in ticks, observed in the current and the
	// previous window; windowStart is the tick at which the current one began.
	maxInterval recent.Max[int]
	windowStart uint64
	// lastReceived is the tick of the last message received from leader in term.
	leader       string
	term         uint64
	lastReceived uint64
}

func newElectionTimeout(config Config) electionTimeout {
	return electionTimeout{minTicks: config.ElectionTicks, maxTicks: max(config.MaxElectionTicks, config.ElectionTicks)}
}

// ticks returns the current minimum election timeout: twice the longest interval
// observed recently, limited to minTicks and maxTicks.
func (e *electionTimeout) ticks() int {
	return min(max(e.minTicks, 2*e.maxInterval.Value()), e.maxTicks)
}

// tick starts a new observation window when the current one is over.
func (e *electionTimeout) tick(now uint64) {
	if now-e.windowStart >= uint64(observationWindow*e.minTicks) {
		e.maxInterval.Rotate()
		e.windowStart = now
	}
}

// observeLeader records a message from the leader of a term. The interval since the
// previous message is observed only if leader and term are unchanged.
func (e *electionTimeout) observeLeader(identity string, term, now uint64) {
	if e.leader == identity && e.term == term {
		e.observe(int(now - e.lastReceived))
	}
	e.leader, e.term, e.lastReceived = identity, term, now
}

// observe records an interval, in ticks, after which a replica was still alive.
func (e *electionTimeout) observe(interval int) {
	if interval <= e.maxTicks {
		e.maxInterval.Observe(interval)
	}
}

// ObservePause reports that the driver was paused for a number of ticks. The pause is
// observed like an interval between messages, since the other replicas may be paused
// for as long.
func (n *Node) ObservePause(ticks int) { n.electionTimeout.observe(ticks) }
