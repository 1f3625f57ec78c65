// Package consensus is the replicated log of the control replicas: a pure state
// machine after Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014)
// with pre-vote, a leader's check of its quorum, read index, learners and
// one-at-a-time membership change. It starts no goroutine and knows no clock,
// socket or disk: ticks and messages go in, and Ready says what to sync, send
// and apply.
//
// A Node is not safe for concurrent use: the driver's goroutine owns it.
package consensus

import (
	"math/rand/v2"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Config of a Node. Every replica of one log should have the same ticks.
type Config struct {
	// Identity is this replica's, made with its data folder.
	Identity string
	// ElectionTicks is the shortest election timeout; the longest is twice
	// that, drawn from Rand.
	ElectionTicks int
	// MostElectionTicks bounds the shortest election timeout where that follows the silences
	// and standstills that are seen; 0 where it does not.
	MostElectionTicks int
	// HeartbeatTicks is how often a leader sends heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append; a single larger entry
	// still goes, alone.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered appends to one follower, and with
	// MaxAppendBytes the bytes on their way to it.
	MaxInflight int
	// Rand is seeded by the caller.
	Rand *rand.Rand
}

// Recovered is what the disk gave back.
type Recovered struct {
	Hard     *consensuspb.HardState
	Snapshot *consensuspb.SnapshotMeta // nil before the first
	Entries  []*consensuspb.Entry      // after the snapshot
	Applied  uint64                    // index the state machine stands at, the snapshot's or a later one
}

// bootstrapIndex is where the first configuration stands on every first voter.
const bootstrapIndex = 1

// Bootstrap gives the same first state to every first voter: a snapshot at
// index 1 with the first configuration.
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

// safeguards that tests switch off, to show that the checker notices.
type safeguards struct {
	preVote       bool
	stickiness    bool
	quorumContact bool
	ownTermCommit bool
	ownTermChange bool
	majority      bool
	readRounds    bool
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
	// configurations are those in the log, newest last.
	configurations configurations

	// now counts the ticks since New.
	now uint64
	// elapsed counts the ticks since the leader was heard or a campaign began.
	elapsed int
	// drawn lengthens this replica's election timeout by its part of ElectionTicks.
	drawn    int
	patience patience
	votes    ballot

	// progress is a leader's view of the other members, in the order of the
	// configuration; nil elsewhere.
	progress []*progress
	// commitAtBeat is the commit index at the last two heartbeats.
	commitAtBeat [2]uint64
	reads        readRounds
	transfer     transfer

	outbox      []*consensuspb.Message
	fetch       *Fetch
	saved       hardState
	outstanding *handedOver
	// failed is set for good when the log contradicts what was committed: to
	// go on would spread the contradiction.
	failed error
}

// New makes a Node from what the disk gave back. An empty Recovered is a
// replica that waits to be added to a configuration.
func New(config Config, recovered Recovered) *Node {
	n := &Node{config: config, patience: newPatience(config)}
	n.log = newEntryLog(recovered)
	n.term = recovered.Hard.GetTerm()
	n.vote = recovered.Hard.GetVote()
	// A crash in the middle of a sync can leave entries of a term whose hard
	// state was lost. No vote in that term was ever sent, so forgetting it is safe.
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, ""
	}
	n.saved = hardState{term: n.term, vote: n.vote, commit: n.log.commit}
	if recovered.Snapshot != nil {
		n.configurations.reset(recovered.Snapshot)
	}
	n.failed = n.configurations.take(n.log.entries)
	n.resetTimeout()
	return n
}

// Tick tells the Node that one tick has passed. A driver that was held up
// calls it once for every tick it missed, so that ages are not understated.
func (n *Node) Tick() {
	if n.failed != nil {
		return
	}
	n.now++
	n.elapsed++
	n.patience.pass(n.now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout() {
		n.campaign()
	}
}

// Step takes a message of another replica. It fails with WrongAnswer when the
// message is for another identity and with Corrupt when the log contradicts
// what was committed; after the latter the Node does nothing more.
func (n *Node) Step(m *consensuspb.Message) error {
	if n.failed != nil {
		return n.failed
	}
	if m.To != n.config.Identity {
		return failure.New(failure.WrongAnswer, "message for replica %s reached %s", m.To, n.config.Identity)
	}
	if m.Term < n.term {
		n.refuseStale(m)
		return nil
	}
	if m.Term > n.term && !n.takeTerm(m) {
		return nil
	}
	n.failed = n.handle(m)
	return n.failed
}

// refuseStale tells a sender of an older term of the newer one.
func (n *Node) refuseStale(m *consensuspb.Message) {
	switch m.Kind {
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: true})
	case consensuspb.MessageKind_MESSAGE_KIND_APPEND, consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT, consensuspb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	}
}

// takeTerm follows a message into its newer term and tells whether to handle it.
func (n *Node) takeTerm(m *consensuspb.Message) bool {
	switch m.Kind {
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case consensuspb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case consensuspb.MessageKind_MESSAGE_KIND_VOTE:
		if !m.Transfer && n.hearsLeader(m.From) {
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

// send queues a message; its term is this Node's unless set.
func (n *Node) send(m *consensuspb.Message) {
	m.From = n.config.Identity
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outbox = append(n.outbox, m)
}
