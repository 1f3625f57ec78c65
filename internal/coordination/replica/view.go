package replica

import (
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// view is what readers may know of the owner's state.
type view struct {
	status consensus.Status
	// leading tells that this replica leads and has applied its own term's
	// first entry, hence everything that earlier leaders committed.
	leading bool
	leader  string
	member  bool
}

// leaderTerm is from which applied index on this replica may decide as the
// leader of a term.
type leaderTerm struct {
	term  uint64
	ready uint64
}

// publishView shows readers what has changed.
func (c *core) publishView() {
	status := c.node.Status()
	v := &view{status: status, leader: c.instanceOf(status.Leader)}
	for _, member := range status.Configuration.GetMembers() {
		v.member = v.member || member.Identity == c.disk.identity
	}
	v.leading = c.leads(status)
	if v.leading {
		c.confirmAsLeader(status)
	}
	earlier := c.replica.view.Swap(v)
	if earlier.leader != v.leader {
		c.replica.leaderChanged.Raise()
	}
	currentTerm.Set(int64(status.Term))
	currentIndex.Set(int64(c.state.Index()))
	c.report(earlier, v)
}

// leads tells whether this replica leads and has applied everything that
// earlier leaders committed.
func (c *core) leads(status consensus.Status) bool {
	if status.Role != consensus.Leader || !status.CommittedInTerm {
		return false
	}
	if c.leaderOf.term != status.Term {
		c.leaderOf = leaderTerm{term: status.Term, ready: status.Commit}
	}
	return c.state.Index() >= c.leaderOf.ready
}

func (c *core) instanceOf(identity string) string {
	if identity == "" {
		return ""
	}
	return disk.Instance(identity)
}

func (c *core) report(earlier, now *view) {
	if earlier.leader == now.leader && earlier.status.Term == now.status.Term && earlier.member == now.member {
		return
	}
	elections.Add(1)
	c.replica.config.Logger.WithFields(c.strain.fields(earlier.status, c.tick)).WithField("leader", now.leader).WithField("term", now.status.Term).
		WithField("role", now.status.Role.String()).WithField("member", now.member).Info("control log")
}
