// Package consensus implements the replicated log of the control state as a pure state
// machine based on Raft, with pre-vote, check quorum, read index, learners and
// single-server membership changes. It starts no goroutines and uses no clock, socket
// or disk: the driver passes in ticks and messages, and Ready returns what to sync,
// send and apply.
//
// Sections and figures refer to "the thesis" (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014) and "the Raft paper" (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014).
//
// A Node is not safe for concurrent use; one goroutine of the driver owns it.
package consensus

import (
	"math/rand/v2"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Config configures a Node. All replicas of a log should use the same tick counts.
type Config struct {
	// Identity identifies this replica. It is created together with the data directory.
	Identity string
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// randomized, with Rand, between this value and twice this value.
	ElectionTicks int
	// MaxElectionTicks is the upper limit, in ticks, of the minimum election timeout
	// when it adapts to the observed intervals between messages and to process pauses;
	// 0 disables the adaptation.
	MaxElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats, in ticks.
	HeartbeatTicks int
	// MaxAppendBytes limits the encoded size of the entries in one append message. A
	// single entry larger than that is sent on its own.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged append messages per follower and, together
	// with MaxAppendBytes, the bytes in flight to it.
	MaxInflight int
	// FirstEntry is the data of a leader's first entry; nil for none. A version that doesn't know it ignores it.
	FirstEntry []byte
	// Rand randomizes election timeouts. The caller seeds it.
	Rand *rand.Rand
}

// Recovered is the state read from disk at start.
type Recovered struct {
	Hard     *consensuspb.HardState
	Snapshot *consensuspb.SnapshotMeta // nil before the first snapshot
	Entries  []*consensuspb.Entry      // entries after the snapshot
	Applied  uint64                    // index up to which the state machine has applied; at least the snapshot's
}

// bootstrapIndex is the log index of the initial configuration on every initial voter.
const bootstrapIndex = 1

// Bootstrap returns the initial state that all initial voters share: a snapshot at
// bootstrapIndex that contains the first configuration.
func Bootstrap(members []*consensuspb.Member) Recovered {
	return Recovered{
		Hard: &consensuspb.HardState{Term: 1, Commit: bootstrapIndex},
		Snapshot: &consensuspb.SnapshotMeta{
			Index:         bootstrapIndex,
			Term:          1,
			Configuration: &consensuspb.Configuration{Members: members},
		},
		Applied: bootstrapIndex,
	}
}

// safeguards are protocol rules that tests disable one by one to verify that the model
// checker detects the resulting violation. A set field disables its rule.
type safeguards struct {
	preVote           bool
	stickiness        bool
	checkQuorum       bool
	currentTermCommit bool
	currentTermChange bool
	majority          bool
	readRounds        bool
}

// Node is one replica of the log.
type Node struct {
	config   Config
	disabled safeguards

	role   Role
	term   uint64
	vote   string
	leader string
	log    entryLog
	// configurations holds the configurations in the log, newest last.
	configurations configurations

	// now is the number of ticks since New.
	now uint64
	// elapsed is the number of ticks since the last message from the leader or, without
	// one, since the last campaign began.
	elapsed int
	// jitter lengthens the election timeout by jitter/ElectionTicks of its minimum.
	jitter          int
	electionTimeout electionTimeout
	votes           voteTally

	// progress is the replication state of the other members, in configuration order.
	// It is nil unless this replica is the leader.
	progress []*progress
	// commitAtHeartbeat is the commit index at the last two heartbeats, older first.
	commitAtHeartbeat [2]uint64
	reads             readRounds
	transfer          transfer

	outbox      []*consensuspb.Message
	fetch       *Fetch
	saved       hardState
	outstanding *pendingReady
	// fatalErr is set permanently when the log contradicts a committed entry:
	// continuing could spread the inconsistency to other replicas.
	fatalErr error
}

// New creates a Node from the recovered state. With an empty Recovered the replica
// waits until it is added to a configuration.
func New(config Config, recovered Recovered) *Node {
	n := &Node{config: config, electionTimeout: newElectionTimeout(config)}
	n.log = newEntryLog(recovered)
	n.term = recovered.Hard.GetTerm()
	n.vote = recovered.Hard.GetVote()
	// A crash during a sync can leave entries of a term whose hard state was not
	// persisted. No vote of that term was sent, since votes are sent after the sync, so
	// it is safe to reset the vote.
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, ""
	}
	n.saved = hardState{term: n.term, vote: n.vote, commit: n.log.commit}
	if recovered.Snapshot != nil {
		n.configurations.reset(recovered.Snapshot)
	}
	n.fatalErr = n.configurations.addFrom(n.log.entries)
	n.resetTimeout()
	return n
}

// Tick advances the logical clock by one tick. A driver that was delayed calls it once
// for each missed tick, so that ages are not underestimated.
func (n *Node) Tick() {
	if n.fatalErr != nil {
		return
	}
	n.now++
	n.elapsed++
	n.electionTimeout.tick(n.now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.randomizedTimeout() {
		n.campaign()
	}
}

// Step processes a message from another replica. It returns WrongAnswer if the message
// is addressed to another identity and Corrupt if the log contradicts a committed
// entry; after Corrupt the Node no longer does anything.
func (n *Node) Step(m *consensuspb.Message) error {
	if n.fatalErr != nil {
		return n.fatalErr
	}
	if m.To != n.config.Identity {
		return failure.New(failure.WrongAnswer, "message for replica %s received by replica %s", m.To, n.config.Identity)
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return nil
	}
	n.fatalErr = n.handle(m)
	return n.fatalErr
}

// rejectStale answers a message of an older term with a rejection that carries the
// current term.
func (n *Node) rejectStale(m *consensuspb.Message) {
	switch m.Kind {
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: true})
	case consensuspb.MessageKind_MESSAGE_KIND_APPEND, consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT, consensuspb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	}
}

// adoptTerm updates the term from a message of a newer term and reports whether to
// process the message. Pre-votes and granted pre-vote replies carry a prospective term,
// which is not adopted.
func (n *Node) adoptTerm(m *consensuspb.Message) bool {
	switch m.Kind {
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE:
		if !m.Transfer && n.hasLiveLeader(m.From) {
			return false
		}
	}
	n.becomeFollower(m.Term, "")
	return true
}

func (n *Node) handle(m *consensuspb.Message) error {
	switch m.Kind {
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		n.handleVoteReply(m, PreCandidate)
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(m, Candidate)
	case consensuspb.MessageKind_MESSAGE_KIND_APPEND:
		return n.handleAppend(m)
	case consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(m)
	case consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	case consensuspb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case consensuspb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	}
	return nil
}

// send queues a message. The message's term defaults to the current term.
func (n *Node) send(m *consensuspb.Message) {
	m.From = n.config.Identity
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outbox = append(n.outbox, m)
}
