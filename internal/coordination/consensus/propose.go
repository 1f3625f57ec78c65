package consensus

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// leading fails on a replica that doesn't lead: NotLeader with the leader's
// instance, or NoLeader.
func (n *Node) leading() error {
	if n.failed != nil {
		return n.failed
	}
	if n.role == Leader {
		return nil
	}
	if n.leader == "" {
		return failure.New(failure.NoLeader, "no leader is known")
	}
	f := failure.New(failure.NotLeader, "another replica leads")
	f.Leader = member(n.configurations.newest(), n.leader).GetInstance()
	return f
}

func (n *Node) accepting() error {
	if err := n.leading(); err != nil {
		return err
	}
	if n.transfer.to != "" {
		return failure.New(failure.NotReady, "leadership is being handed over")
	}
	return nil
}

// Propose appends commands to the leader's log and gives the index of the
// first. They are committed once they come back in Ready.Committed with the
// same index and the term of the proposal; another term there means that they
// were replaced. It fails with NotLeader, NoLeader or NotReady, and nothing was
// appended then.
func (n *Node) Propose(data ...[]byte) (uint64, error) {
	if err := n.accepting(); err != nil {
		return 0, err
	}
	return n.appendOwn(consensuspb.EntryKind_ENTRY_KIND_COMMAND, data...), nil
}

// ProposeConfiguration appends a configuration that differs from the newest in
// one member: a learner added, a learner promoted, or a member removed. It
// fails, with nothing appended, with
//   - NotReady before the leader has committed in its own term: two leaders
//     could otherwise change the same configuration so that their quorums
//     don't meet;
//   - ChangePending while the last change isn't committed;
//   - NotCaughtUp for a learner that lags;
//   - NoQuorum where the live voters would be no quorum of the new one.
func (n *Node) ProposeConfiguration(next *consensuspb.Configuration) (uint64, error) {
	if err := n.accepting(); err != nil {
		return 0, err
	}
	if !n.committedInTerm() && !n.disabled.ownTermChange {
		return 0, failure.New(failure.NotReady, "this leader has not committed in its term yet")
	}
	if n.configurations.newestIndex() > n.log.commit {
		return 0, failure.New(failure.ChangePending, "a change of members is not committed yet")
	}
	if err := n.checkChange(next); err != nil {
		return 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, err, "configuration")
	}
	n.configurations = append(n.configurations, placed{n.log.last() + 1, proto.CloneOf(next)})
	// Before the append, so that a new member's first append has the entry to carry.
	n.followConfiguration()
	return n.appendOwn(consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION, data), nil
}
