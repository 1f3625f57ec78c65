package consensus

import (
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// transfer of leadership under way: no proposals are taken meanwhile, so that
// the target can catch up.
type transfer struct {
	to    string
	ticks int
	asked bool
}

// Transfer hands leadership to a voter once it has the whole log. It is given
// up after the shortest election timeout; Status tells the outcome.
func (n *Node) Transfer(to string) error {
	if err := n.leading(); err != nil {
		return err
	}
	if to == n.config.Identity {
		return nil
	}
	if !isVoter(n.configurations.newest(), to) {
		return failure.New(failure.BadRequest, "%s is no voter", to)
	}
	if n.transfer.to != to {
		n.transfer = transfer{to: to}
	}
	return nil
}

func (n *Node) tickTransfer() {
	if n.transfer.to == "" {
		return
	}
	n.transfer.ticks++
	if n.transfer.ticks >= n.config.ElectionTicks {
		n.transfer = transfer{}
	}
}

// finishTransfer tells the target to campaign once it has everything.
func (n *Node) finishTransfer() {
	p := n.progressOf(n.transfer.to)
	if p == nil || n.transfer.asked || p.match < n.log.last() {
		return
	}
	n.transfer.asked = true
	n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: p.identity})
}

// handleTimeoutNow campaigns at once: the leader itself wants to be replaced.
func (n *Node) handleTimeoutNow(m *consensuspb.Message) {
	if n.leader == m.From && n.role == Follower && n.mayCampaign() {
		n.elect(true)
	}
}
