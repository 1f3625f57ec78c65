package consensus

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// changeOf finds the one member in which next differs.
func changeOf(old, next *consensuspb.Configuration) (before, after *consensuspb.Member, err error) {
	seen := map[string]bool{}
	changes := 0
	for _, m := range next.GetMembers() {
		if seen[m.Identity] || m.Identity == "" {
			return nil, nil, failure.New(failure.BadRequest, "member %q stands twice or has no identity", m.Identity)
		}
		seen[m.Identity] = true
		was := member(old, m.Identity)
		if was == nil || was.Voter != m.Voter {
			before, after = was, m
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
		return nil, nil, failure.New(failure.BadRequest, "%d members differ where one may", changes)
	}
	return before, after, nil
}

func (n *Node) checkChange(next *consensuspb.Configuration) error {
	before, after, err := changeOf(n.configurations.newest(), next)
	if err != nil {
		return err
	}
	switch {
	case before == nil && after.Voter:
		return failure.New(failure.BadRequest, "%s must be a learner before it is a voter", after.Identity)
	case after != nil && before != nil && !after.Voter:
		return failure.New(failure.BadRequest, "voter %s can be removed but not made a learner", after.Identity)
	case after != nil && before != nil:
		if err := n.checkPromotion(after.Identity); err != nil {
			return err
		}
	}
	return n.checkQuorum(next)
}

func (n *Node) checkPromotion(identity string) error {
	p := n.progressOf(identity)
	if p == nil || !n.caughtUp(p) {
		return failure.New(failure.NotCaughtUp, "learner %s lags behind the log", identity)
	}
	return nil
}

// checkQuorum refuses a change after which the voters that answer now could
// not commit, not even the change back.
func (n *Node) checkQuorum(next *consensuspb.Configuration) error {
	identities := voters(next)
	live := 0
	for _, identity := range identities {
		p := n.progressOf(identity)
		if identity == n.config.Identity || p != nil && n.live(p) {
			live++
		}
	}
	need := quorumOf(len(identities))
	if live < need {
		return failure.New(failure.NoQuorum, "%d of %d voters would be live and %d are needed", live, len(identities), need)
	}
	return nil
}

// settleConfiguration ends the leadership of a leader that removed itself, once
// that is committed: it hands over to the voter that has most of the log.
func (n *Node) settleConfiguration() {
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

// dropRemoved ends the progress of removed members once they have been told
// that the removal is committed, or don't answer any more.
func (n *Node) dropRemoved() {
	index := n.configurations.newestIndex()
	if index > n.log.commit {
		return
	}
	n.progress = slices.DeleteFunc(n.progress, func(p *progress) bool {
		return p.leaving && (p.told >= index || !n.live(p))
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
