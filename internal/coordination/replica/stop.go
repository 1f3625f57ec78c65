package replica

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
)

const (
	// flushTicks is the time for messages to be sent after a leadership transfer.
	flushTicks = 2
	// transferTimeouts limits, in election timeouts, how long a stop waits for another
	// leader.
	transferTimeouts = 2
)

// gracefulStop is the state of a stop: a leader transfers leadership first, and its last
// messages, including its vote for the next leader, get time to be sent.
type gracefulStop struct {
	requested    <-chan struct{}
	deadline     <-chan time.Time
	transferring bool
}

func (s *gracefulStop) begin(c *core) {
	s.requested = nil
	s.transferring = c.transferLeadership()
	if s.transferring {
		s.deadline = time.After(transferTimeouts * c.replica.config.ElectionTimeout)
		return
	}
	s.deadline = time.After(0)
}

func (s *gracefulStop) check(c *core) {
	if s.transferring && c.node.Status().Role != consensus.Leader {
		s.transferring = false
		s.deadline = time.After(flushTicks * c.tick)
	}
}

// transferLeadership asks the live voter with the longest replicated log to take over;
// it returns false if there is none.
func (c *core) transferLeadership() bool {
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
