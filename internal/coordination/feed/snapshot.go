package feed

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// MaxSnapshotBytes limits the memory that a follower uses for a snapshot.
const MaxSnapshotBytes = 64 << 20

// snapshotCache holds the newest encoded snapshot while one is being sent to any
// follower. Followers that connect together after a restart share one encoding, and
// nothing stays in memory afterwards.
type snapshotCache struct {
	marshal func(*controlpb.Snapshot) ([]byte, error)
	mu      sync.Mutex
	users   int
	newest  *encodedSnapshot
}

func newSnapshotCache() *snapshotCache {
	return &snapshotCache{marshal: func(snapshot *controlpb.Snapshot) ([]byte, error) {
		return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	}}
}

// release ends a use started by begin.
func (c *snapshotCache) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.newest = nil
	}
}

type encodedSnapshot struct {
	index      uint64
	compressed bool
	// done is closed when data, checksum and err are set.
	done     chan struct{}
	data     []byte
	checksum uint64
	err      error
}

// begin returns the encoding of the state, which may still be in progress. The caller
// calls release when it no longer needs it.
func (c *snapshotCache) begin(state *store.State, compressed bool) *encodedSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.newest == nil || c.newest.index != state.Index() || c.newest.compressed != compressed {
		c.newest = &encodedSnapshot{index: state.Index(), compressed: compressed, done: make(chan struct{})}
		go c.newest.encode(state, c.marshal)
	}
	return c.newest
}

func (e *encodedSnapshot) encode(state *store.State, marshal func(*controlpb.Snapshot) ([]byte, error)) {
	defer close(e.done)
	data, err := marshal(state.Snapshot())
	if err != nil {
		e.err = failure.Wrap(failure.Internal, err, "encode a snapshot")
		return
	}
	if e.compressed {
		data = compress(data)
	}
	e.data, e.checksum = data, xxhash.Sum64(data)
}

// resumeAt returns the offset up to which the follower already has this snapshot.
func (e *encodedSnapshot) resumeAt(held *peerpb.HeldSnapshot) int {
	same := held.GetIndex() == e.index && held.GetTotal() == uint64(len(e.data)) && held.GetChecksum() == e.checksum
	if !same || held.GetSize() >= uint64(len(e.data)) {
		return 0
	}
	return int(held.GetSize())
}

// parts splits the snapshot from an offset on into parts of at most MaxBatchBytes.
func (e *encodedSnapshot) parts(from int) []*peerpb.SnapshotPart {
	var parts []*peerpb.SnapshotPart
	for offset := from; offset < len(e.data); offset += MaxBatchBytes {
		end := min(offset+MaxBatchBytes, len(e.data))
		parts = append(parts, &peerpb.SnapshotPart{
			Index:      e.index,
			Total:      uint64(len(e.data)),
			Offset:     uint64(offset),
			Data:       e.data[offset:end],
			Checksum:   e.checksum,
			Compressed: e.compressed,
		})
	}
	return parts
}

// SnapshotAssembler reassembles one snapshot from its parts.
type SnapshotAssembler struct {
	index uint64
	total uint64
	// checksum is the checksum of the whole snapshot, taken from the newest part.
	checksum   uint64
	compressed bool
	data       []byte
}

// Held describes the bytes received of an unfinished snapshot, or is nil if there are none.
func (a *SnapshotAssembler) Held() *peerpb.HeldSnapshot {
	if len(a.data) == 0 {
		return nil
	}
	return &peerpb.HeldSnapshot{Index: a.index, Total: a.total, Checksum: a.checksum, Size: uint64(len(a.data))}
}

// Add appends the next part and returns the snapshot after the last one, else nil. A
// part out of sequence or a wrong checksum fails with wrong_answer, a snapshot over
// MaxSnapshotBytes with too_large. The follower then leaves the source.
func (a *SnapshotAssembler) Add(part *peerpb.SnapshotPart) (*controlpb.Snapshot, error) {
	if part.Offset == 0 {
		*a = SnapshotAssembler{index: part.Index, total: part.Total, compressed: part.Compressed}
	}
	if part.Total > MaxSnapshotBytes {
		return nil, failure.New(failure.TooLarge, "snapshot of %d bytes exceeds the limit", part.Total)
	}
	held := uint64(len(a.data))
	if part.Index != a.index || part.Total != a.total || part.Offset != held || held+uint64(len(part.Data)) > a.total {
		return nil, failure.New(failure.WrongAnswer, "snapshot part at offset %d out of sequence: %d bytes received", part.Offset, held)
	}
	a.checksum = part.Checksum
	a.data = append(a.data, part.Data...)
	if uint64(len(a.data)) < a.total {
		return nil, nil
	}
	return a.finish()
}

func (a *SnapshotAssembler) finish() (*controlpb.Snapshot, error) {
	done := *a
	*a = SnapshotAssembler{}
	if xxhash.Sum64(done.data) != done.checksum {
		return nil, failure.New(failure.WrongAnswer, "snapshot checksum mismatch")
	}
	data := done.data
	if done.compressed {
		decompressed, err := decompress(data)
		if err != nil {
			return nil, err
		}
		data = decompressed
	}
	snapshot := &controlpb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "snapshot does not decode")
	}
	return snapshot, nil
}
