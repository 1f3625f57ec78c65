package replica

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
)

const (
	// lingerTicks is how long messages may take to leave after a hand-over.
	lingerTicks = 2
	// handOverTimeouts bounds, in election timeouts, how long a stop waits for
	// another leader.
	handOverTimeouts = 2
)

// stopping is a graceful end: a leader hands over first, and its last messages,
// its vote for the next leader among them, get time to leave.
type stopping struct {
	asked   <-chan struct{}
	ended   <-chan time.Time
	handing bool
}

func (s *stopping) begin(c *core) {
	s.asked = nil
	s.handing = c.handOver()
	if s.handing {
		s.ended = time.After(handOverTimeouts * c.replica.config.ElectionTimeout)
		return
	}
	s.ended = time.After(0)
}

func (s *stopping) check(c *core) {
	if s.handing && c.node.Status().Role != consensus.Leader {
		s.handing = false
		s.ended = time.After(lingerTicks * c.tick)
	}
}

// handOver asks the voter with most of the log to lead; false where there is none.
func (c *core) handOver() bool {
	status := c.node.Status()
	best := ""
	var match uint64
	for _, member := range status.Members {
		if member.Voter && member.Live && (best == "" || member.Match > match) {
			best, match = member.Identity, member.Match
		}
	}
	return best != "" && c.node.Transfer(best) == nil
}
