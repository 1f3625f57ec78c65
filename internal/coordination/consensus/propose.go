package consensus

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// checkLeader fails on a replica that is not the leader: with NotLeader and the
// leader's instance, or with NoLeader.
func (n *Node) checkLeader() error {
	if n.fatalErr != nil {
		return n.fatalErr
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

func (n *Node) checkAccepting() error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	if n.transfer.target != "" {
		return failure.New(failure.NotReady, "leadership transfer in progress")
	}
	return nil
}

// Propose appends commands to the leader's log and returns the index of the first. A
// command is committed once Ready.Committed contains it at its index with the term of
// the proposal; an entry of another term at that index means that the command was
// overwritten. Propose fails with NotLeader, NoLeader or NotReady, and then nothing was
// appended.
func (n *Node) Propose(data ...[]byte) (uint64, error) {
	if err := n.checkAccepting(); err != nil {
		return 0, err
	}
	return n.appendLocal(consensuspb.EntryKind_ENTRY_KIND_COMMAND, data...), nil
}

// ProposeConfiguration appends a configuration that differs from the newest one in a
// single member: a learner added, a learner promoted to voter, or a member removed. It
// appends nothing if it fails, with
//   - NotReady before the leader has committed an entry of its own term: otherwise two
//     leaders could change the same configuration such that their quorums do not
//     overlap;
//   - ChangePending while the previous change is not committed;
//   - NotCaughtUp for the promotion of a learner that lags behind;
//   - NoQuorum if the live voters are no quorum of the new configuration.
func (n *Node) ProposeConfiguration(next *consensuspb.Configuration) (uint64, error) {
	if err := n.checkAccepting(); err != nil {
		return 0, err
	}
	if !n.committedInTerm() && !n.disabled.currentTermChange {
		return 0, failure.New(failure.NotReady, "leader has not committed an entry in its term yet")
	}
	if n.configurations.newestIndex() > n.log.commit {
		return 0, failure.New(failure.ChangePending, "previous membership change is not committed yet")
	}
	if err := n.checkChange(next); err != nil {
		return 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, err, "configuration")
	}
	n.configurations = append(n.configurations, indexedConfiguration{n.log.last() + 1, proto.CloneOf(next)})
	// Updated before the append, so that the first append message to a new member
	// contains the entry.
	n.updateProgress()
	return n.appendLocal(consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION, data), nil
}
