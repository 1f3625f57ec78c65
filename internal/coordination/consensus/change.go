package consensus

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// memberDiff returns the single member in which next differs from old: its state
// before, nil if it is added, and after, nil if it is removed. It fails unless exactly
// one member differs.
func memberDiff(old, next *consensuspb.Configuration) (before, after *consensuspb.Member, err error) {
	seen := map[string]bool{}
	changes := 0
	for _, m := range next.GetMembers() {
		if seen[m.Identity] || m.Identity == "" {
			return nil, nil, failure.New(failure.BadRequest, "member %q is listed twice or has no identity", m.Identity)
		}
		seen[m.Identity] = true
		previous := member(old, m.Identity)
		if previous == nil || previous.Voter != m.Voter {
			before, after = previous, m
			changes++
		}
	}
	for _, m := range old.GetMembers() {
		if !seen[m.Identity] {
			before, after = m, nil
			changes++
		}
	}
	if changes != 1 {
		return nil, nil, failure.New(failure.BadRequest, "%d members differ; a change must affect exactly one", changes)
	}
	return before, after, nil
}

func (n *Node) checkChange(next *consensuspb.Configuration) error {
	before, after, err := memberDiff(n.configurations.newest(), next)
	if err != nil {
		return err
	}
	switch {
	case before == nil && after.Voter:
		return failure.New(failure.BadRequest, "%s must be added as a learner before it can become a voter", after.Identity)
	case after != nil && before != nil && !after.Voter:
		return failure.New(failure.BadRequest, "voter %s cannot be demoted to a learner, only removed", after.Identity)
	case after != nil && before != nil:
		if err := n.checkPromotion(after.Identity); err != nil {
			return err
		}
	}
	return n.checkLiveQuorum(next)
}

func (n *Node) checkPromotion(identity string) error {
	p := n.progressOf(identity)
	if p == nil || !n.caughtUp(p) {
		return failure.New(failure.NotCaughtUp, "learner %s has not caught up with the log", identity)
	}
	return nil
}

// checkLiveQuorum rejects a change after which the voters that are live now could not
// commit anything, not even the reverse change.
func (n *Node) checkLiveQuorum(next *consensuspb.Configuration) error {
	identities := voters(next)
	live := 0
	for _, identity := range identities {
		p := n.progressOf(identity)
		if identity == n.config.Identity || p != nil && n.live(p) {
			live++
		}
	}
	need := quorumSize(len(identities))
	if live < need {
		return failure.New(failure.NoQuorum, "only %d of %d voters would be live; %d are required", live, len(identities), need)
	}
	return nil
}

// stepDownIfRemoved ends the leadership of a leader whose removal is committed. It
// first asks the voter with the most complete log to start an election.
func (n *Node) stepDownIfRemoved() {
	pending := n.configurations.newestIndex() > n.log.commit
	if pending || isVoter(n.configurations.newest(), n.config.Identity) {
		return
	}
	n.flush()
	if p := n.successor(); p != nil {
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: p.identity})
	}
	n.becomeFollower(n.term, "")
}

// dropRemoved stops replicating to removed members that have been sent the commit of
// their removal, or that no longer reply.
func (n *Node) dropRemoved() {
	index := n.configurations.newestIndex()
	if index > n.log.commit {
		return
	}
	n.progress = slices.DeleteFunc(n.progress, func(p *progress) bool {
		return p.removed && (p.sentCommit >= index || !n.live(p))
	})
}

func (n *Node) successor() *progress {
	var best *progress
	for _, p := range n.progress {
		if !isVoter(n.configurations.newest(), p.identity) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}
