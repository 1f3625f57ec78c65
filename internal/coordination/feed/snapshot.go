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

// MaxSnapshotBytes bounds the memory that a follower gives to a snapshot.
const MaxSnapshotBytes = 64 << 20

// snapshotCache keeps the newest encoded snapshot while any follower is sent
// one: those that come together after a restart cost one encoding, and nothing
// stays in memory afterwards.
type snapshotCache struct {
	// marshal encodes a snapshot.
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

// release ends a use that begin began.
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
	// done is closed when the rest is there.
	done     chan struct{}
	data     []byte
	checksum uint64
	err      error
}

// begin gives the state's encoding, until release; it may still be under way.
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

// resumeAt is the offset up to which the follower holds this very snapshot.
func (e *encodedSnapshot) resumeAt(held *peerpb.HeldSnapshot) int {
	same := held.GetIndex() == e.index && held.GetTotal() == uint64(len(e.data)) && held.GetChecksum() == e.checksum
	if !same || held.GetSize() >= uint64(len(e.data)) {
		return 0
	}
	return int(held.GetSize())
}

// parts cuts the snapshot from an offset on into pieces of at most MaxBatchBytes.
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

// Assembly puts the parts of one snapshot together.
type Assembly struct {
	index uint64
	total uint64
	// checksum is of the whole, as the newest part tells it.
	checksum   uint64
	compressed bool
	data       []byte
}

// Held describes what is there of an unfinished snapshot; nil where nothing is.
func (a *Assembly) Held() *peerpb.HeldSnapshot {
	if len(a.data) == 0 {
		return nil
	}
	return &peerpb.HeldSnapshot{Index: a.index, Total: a.total, Checksum: a.checksum, Size: uint64(len(a.data))}
}

// Add takes the next part; after the last one it gives the snapshot. A part
// that does not fit, or a wrong checksum, fails with wrong_answer: the follower
// then leaves the source.
func (a *Assembly) Add(part *peerpb.SnapshotPart) (*controlpb.Snapshot, error) {
	if part.Offset == 0 {
		*a = Assembly{index: part.Index, total: part.Total, compressed: part.Compressed}
	}
	if part.Total > MaxSnapshotBytes {
		return nil, failure.New(failure.TooLarge, "snapshot of %d bytes", part.Total)
	}
	held := uint64(len(a.data))
	if part.Index != a.index || part.Total != a.total || part.Offset != held || held+uint64(len(part.Data)) > a.total {
		return nil, failure.New(failure.WrongAnswer, "snapshot part at %d does not follow %d", part.Offset, held)
	}
	a.checksum = part.Checksum
	a.data = append(a.data, part.Data...)
	if uint64(len(a.data)) < a.total {
		return nil, nil
	}
	return a.finish()
}

func (a *Assembly) finish() (*controlpb.Snapshot, error) {
	done := *a
	*a = Assembly{}
	if xxhash.Sum64(done.data) != done.checksum {
		return nil, failure.New(failure.WrongAnswer, "snapshot with a wrong checksum")
	}
	data := done.data
	if done.compressed {
		whole, err := decompress(data)
		if err != nil {
			return nil, err
		}
		data = whole
	}
	snapshot := &controlpb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "snapshot does not decode")
	}
	return snapshot, nil
}
