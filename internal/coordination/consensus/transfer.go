package consensus

import (
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// transfer is a leadership transfer in progress. Proposals are rejected meanwhile, so
// that the target can catch up.
type transfer struct {
	target         string
	ticks          int
	timeoutNowSent bool
}

// Transfer hands leadership to a voter as soon as its log is complete. The attempt is
// abandoned after Config.ElectionTicks; Status shows the outcome.
func (n *Node) Transfer(target string) error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	if target == n.config.Identity {
		return nil
	}
	if !isVoter(n.configurations.newest(), target) {
		return failure.New(failure.BadRequest, "%s is not a voter", target)
	}
	if n.transfer.target != target {
		n.transfer = transfer{target: target}
	}
	return nil
}

func (n *Node) tickTransfer() {
	if n.transfer.target == "" {
		return
	}
	n.transfer.ticks++
	if n.transfer.ticks >= n.config.ElectionTicks {
		n.transfer = transfer{}
	}
}

// finishTransfer tells the target to start an election once its log is complete.
func (n *Node) finishTransfer() {
	p := n.progressOf(n.transfer.target)
	if p == nil || n.transfer.timeoutNowSent || p.match < n.log.last() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: p.identity})
}

// handleTimeoutNow starts an election immediately, at the request of the current
// leader.
func (n *Node) handleTimeoutNow(m *consensuspb.Message) {
	if n.leader == m.From && n.role == Follower && n.mayCampaign() {
		n.startElection(true)
	}
}
