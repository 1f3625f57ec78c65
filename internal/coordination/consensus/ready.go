package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// maxCommitted limits the entries in one Ready.Committed, so that a replica that starts
// with a long log processes messages and campaigns between batches. At up to 0.7 ms per
// entry a batch takes 0.1 s, a quarter of the minimum election timeout.
const maxCommitted = 128

// Ready is the work for the driver. It must sync Hard and Entries (in one sync), then
// send Messages, then apply Committed. Entries may replace stored entries with the same
// indexes. Except for the first Early messages, no message may be sent before the sync:
// it would promise a vote or an entry that a crash can undo.
type Ready struct {
	// Hard is nil if term and vote are unchanged and there are no entries. A change of
	// the commit index alone needs no sync: after a restart it is learned from the
	// leader.
	Hard     *consensuspb.HardState
	Entries  []*consensuspb.Entry
	Messages []*consensuspb.Message
	// Early is the number of Messages, from the front, that may be sent before or
	// during the sync: the appends and heartbeats of a leader, which counts its own
	// entries as stored only after Advance (thesis, section 10.2.1). This saves the
	// latency of one sync.
	Early     int
	Committed []*consensuspb.Entry
	Reads     []ReadState
	Fetch     *Fetch
}

// hardState is the hard state most recently returned in a Ready.
type hardState struct {
	term   uint64
	vote   string
	commit uint64
}

// pendingReady describes the Ready for which Advance has not been called yet.
type pendingReady struct {
	last uint64 // newest log index when it was returned
}

// Ready returns the next work for the driver. It returns false if there is none, or if
// Advance has not been called for the previous one.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding != nil || n.fatalErr != nil {
		return Ready{}, false
	}
	n.flush()
	r := Ready{
		Entries:   n.log.entriesBetween(n.log.emitted, n.log.last()),
		Committed: n.log.entriesBetween(n.log.applied, min(n.log.commit, n.log.applied+maxCommitted)),
		Reads:     n.reads.confirmed,
		Fetch:     n.fetch,
	}
	changed := n.term != n.saved.term || n.vote != n.saved.vote
	if changed || len(r.Entries) > 0 && n.log.commit != n.saved.commit {
		n.saved = hardState{n.term, n.vote, n.log.commit}
		r.Hard = &consensuspb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	}
	r.Messages, r.Early = orderMessages(n.outbox, changed)
	if r.empty() {
		return Ready{}, false
	}
	n.log.emitted = n.log.last()
	n.log.applied += uint64(len(r.Committed))
	n.outbox, n.fetch, n.reads.confirmed = nil, nil, nil
	n.outstanding = &pendingReady{last: n.log.last()}
	return r, true
}

func (r *Ready) empty() bool {
	return r.Hard == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && r.Fetch == nil
}

// orderMessages moves the messages that need no sync to the front and returns their
// number. While a change of term or vote is unsynced, all messages wait for the sync.
func orderMessages(outbox []*consensuspb.Message, hardChanged bool) ([]*consensuspb.Message, int) {
	if hardChanged {
		return outbox, 0
	}
	var early, late []*consensuspb.Message
	for _, m := range outbox {
		if m.Kind == consensuspb.MessageKind_MESSAGE_KIND_APPEND || m.Kind == consensuspb.MessageKind_MESSAGE_KIND_HEARTBEAT {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return append(early, late...), len(early)
}

// Advance reports that the last Ready has been completed. Only then does a leader count
// its own entries as stored.
func (n *Node) Advance() {
	if n.outstanding == nil {
		return
	}
	synced := min(n.outstanding.last, n.log.emitted)
	n.outstanding = nil
	n.log.durable = max(n.log.durable, synced)
	if n.role == Leader {
		n.advanceCommit()
	}
}
