package consensus

import "pinewinch.example/pinewinch/internal/protocol/consensuspb"

// maxCommitted bounds the entries of one Ready.Committed: a replica that starts with
// a long log takes messages and campaigns between two parts. At up to 0.7 ms an entry
// a part takes 0.1 s, a quarter of the shortest election timeout.
const maxCommitted = 128

// Ready is carried out in this order: sync Hard and Entries (one sync), then
// send Messages, then apply Committed. Entries may replace a tail with the same
// indexes. But for the first Early ones, no message may leave before the sync:
// it would promise a vote or an entry that a crash takes back.
type Ready struct {
	// Hard is nil where term and vote are unchanged and there are no entries.
	// A commit index alone causes no sync: it is found again from the leader.
	Hard     *consensuspb.HardState
	Entries  []*consensuspb.Entry
	Messages []*consensuspb.Message
	// Early is how many Messages, from the front, may leave before the sync or
	// beside it: a leader's appends and heartbeats, whose entries it counts as
	// its own only after Advance (thesis, 10.2.1). They save one sync of latency.
	Early     int
	Committed []*consensuspb.Entry
	Reads     []ReadState
	Fetch     *Fetch
}

// hardState is what was last handed over to be synced.
type hardState struct {
	term   uint64
	vote   string
	commit uint64
}

// handedOver is the Ready that waits for Advance.
type handedOver struct {
	last uint64
}

// Ready gives what to do next; false when there is nothing, or when the last
// one has not been ended by Advance.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding != nil || n.failed != nil {
		return Ready{}, false
	}
	n.flush()
	r := Ready{
		Entries:   n.log.between(n.log.handed, n.log.last()),
		Committed: n.log.between(n.log.applied, min(n.log.commit, n.log.applied+maxCommitted)),
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
	n.log.handed = n.log.last()
	n.log.applied += uint64(len(r.Committed))
	n.outbox, n.fetch, n.reads.confirmed = nil, nil, nil
	n.outstanding = &handedOver{last: n.log.last()}
	return r, true
}

func (r *Ready) empty() bool {
	return r.Hard == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && r.Fetch == nil
}

// orderMessages moves the messages that need no sync to the front. While term
// or vote are unsynced every message waits.
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

// Advance tells that the newest Ready has been carried out. Only now does a
// leader count its own entries.
func (n *Node) Advance() {
	if n.outstanding == nil {
		return
	}
	synced := min(n.outstanding.last, n.log.handed)
	n.outstanding = nil
	n.log.durable = max(n.log.durable, synced)
	if n.role == Leader {
		n.commitCounted()
	}
}
