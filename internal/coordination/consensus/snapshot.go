package consensus

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

// Fetch asks the driver to fetch a snapshot that is at least as new as Meta from the
// replica From, to make it durable in place of the log, and to call Installed with the
// metadata of the snapshot received. The same Fetch is repeated while the leader is
// waiting for it; a driver that is already fetching ignores it.
type Fetch struct {
	From string
	Meta *consensuspb.SnapshotMeta
}

// SnapshotMeta returns the metadata for a snapshot of the state machine at an applied
// index; false if the index is not applied or no longer in the log.
func (n *Node) SnapshotMeta(index uint64) (*consensuspb.SnapshotMeta, bool) {
	term, ok := n.log.termAt(index)
	configuration := n.configurations.at(index)
	if !ok || index > n.log.applied || configuration == nil {
		return nil, false
	}
	return &consensuspb.SnapshotMeta{Index: index, Term: term, Configuration: configuration}, true
}

// Compact removes log entries up to index, which a durable snapshot of this replica
// must cover. The index is limited to the applied index.
func (n *Node) Compact(index uint64) {
	n.log.compact(index)
	n.configurations.compact(n.log.base)
}

// RetentionIndex returns the index up to which entries may be removed so that the newest ones,
// at most maxEntries and at most maxBytes in encoded size, remain.
func (n *Node) RetentionIndex(maxEntries uint64, maxBytes int) uint64 {
	size := 0
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		entry := n.log.entries[i]
		size += proto.Size(entry)
		if size > maxBytes || n.log.last()-entry.Index >= maxEntries {
			return entry.Index
		}
	}
	return n.log.base
}

// sendSnapshot asks a member to fetch a snapshot because the entries that it needs have
// been compacted.
func (n *Node) sendSnapshot(p *progress) {
	meta, ok := n.SnapshotMeta(n.log.base)
	if !ok {
		return
	}
	p.state, p.snapshotTick = Installing, n.now
	p.inflight = nil
	n.send(&consensuspb.Message{
		Kind: consensuspb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: p.identity,
		Snapshot: meta, ReadRound: n.reads.round,
	})
}

func (n *Node) handleSnapshot(m *consensuspb.Message) {
	if n.followLeader(m) != nil {
		return
	}
	if n.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		n.commitTo(m.Snapshot.Index)
	}
	if m.Snapshot.Index <= n.log.commit {
		n.acknowledge(m.From, n.log.commit)
		return
	}
	n.fetch = &Fetch{From: m.From, Meta: m.Snapshot}
}

// Installed reports that a fetched snapshot is durable and that the state machine has
// been restored from it. A snapshot that is not newer than the commit index is ignored.
func (n *Node) Installed(meta *consensuspb.SnapshotMeta) {
	if meta.Index <= n.log.commit {
		return
	}
	if !n.log.matches(meta.Index, meta.Term) {
		n.configurations = nil
	}
	n.log.restore(meta.Index, meta.Term)
	n.configurations.reset(meta)
	if n.leader != "" && n.role == Follower {
		n.acknowledge(n.leader, meta.Index)
	}
}

func (n *Node) acknowledge(to string, index uint64) {
	n.send(&consensuspb.Message{Kind: consensuspb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: to, LogIndex: index})
}
