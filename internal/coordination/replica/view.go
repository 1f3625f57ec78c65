package replica

import (
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/state/disk"
)

// view is the part of the log's state that is published to readers.
type view struct {
	status consensus.Status
	// leading is true if this replica leads and has applied the first entry of its own
	// term, hence everything that earlier leaders committed.
	leading bool
	leader  string
	member  bool
}

// leaderTerm is the applied index from which this replica may decide as the leader of a
// term.
type leaderTerm struct {
	term       uint64
	readyIndex uint64
}

// publishView publishes the changed view to readers.
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
	c.logChange(earlier, v)
}

// leads reports whether this replica leads and has applied everything that earlier
// leaders committed.
func (c *core) leads(status consensus.Status) bool {
	if status.Role != consensus.Leader || !status.CommittedInTerm {
		return false
	}
	if c.leadership.term != status.Term {
		c.leadership = leaderTerm{term: status.Term, readyIndex: status.Commit}
	}
	return c.state.Index() >= c.leadership.readyIndex
}

func (c *core) instanceOf(identity string) string {
	if identity == "" {
		return ""
	}
	return disk.Instance(identity)
}

func (c *core) logChange(earlier, now *view) {
	if earlier.leader == now.leader && earlier.status.Term == now.status.Term && earlier.member == now.member {
		return
	}
	elections.Add(1)
	c.replica.config.Logger.WithFields(c.delayTracker.fields(earlier.status, c.tick)).WithField("leader", now.leader).WithField("term", now.status.Term).
		WithField("role", now.status.Role.String()).WithField("member", now.member).Info("control log")
}
