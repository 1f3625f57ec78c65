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
	mu     sync.Mutex
	users  int
	newest *encodedSnapshot
}

// release ends a use that encode began.
func (c *snapshotCache) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.newest = nil
	}
}

type encodedSnapshot struct {
	index    uint64
	data     []byte
	checksum uint64
}

// encode gives the state in its encoded form, until release.
func (c *snapshotCache) encode(state *store.State) (*encodedSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest != nil && c.newest.index == state.Index() {
		c.users++
		return c.newest, nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state.Snapshot())
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a snapshot")
	}
	c.users++
	c.newest = &encodedSnapshot{index: state.Index(), data: data, checksum: xxhash.Sum64(data)}
	return c.newest, nil
}

// parts cuts the snapshot into pieces of at most MaxBatchBytes.
func (e *encodedSnapshot) parts() []*peerpb.SnapshotPart {
	var parts []*peerpb.SnapshotPart
	for offset := 0; offset < len(e.data); offset += MaxBatchBytes {
		end := min(offset+MaxBatchBytes, len(e.data))
		parts = append(parts, &peerpb.SnapshotPart{
			Index:  e.index,
			Total:  uint64(len(e.data)),
			Offset: uint64(offset),
			Data:   e.data[offset:end],
		})
	}
	parts[len(parts)-1].Checksum = e.checksum
	return parts
}

// Assembly puts the parts of one snapshot together.
type Assembly struct {
	index uint64
	total uint64
	data  []byte
}

// Add takes the next part; after the last one it gives the snapshot. A part
// that does not fit, or a wrong checksum, fails with wrong_answer: the follower
// then leaves the source.
func (a *Assembly) Add(part *peerpb.SnapshotPart) (*controlpb.Snapshot, error) {
	if part.Offset == 0 {
		*a = Assembly{index: part.Index, total: part.Total}
	}
	if part.Total > MaxSnapshotBytes {
		return nil, failure.New(failure.TooLarge, "snapshot of %d bytes", part.Total)
	}
	held := uint64(len(a.data))
	if part.Index != a.index || part.Total != a.total || part.Offset != held || held+uint64(len(part.Data)) > a.total {
		return nil, failure.New(failure.WrongAnswer, "snapshot part at %d does not follow %d", part.Offset, held)
	}
	a.data = append(a.data, part.Data...)
	if uint64(len(a.data)) < a.total {
		return nil, nil
	}
	return a.finish(part.Checksum)
}

func (a *Assembly) finish(checksum uint64) (*controlpb.Snapshot, error) {
	data := a.data
	*a = Assembly{}
	if xxhash.Sum64(data) != checksum {
		return nil, failure.New(failure.WrongAnswer, "snapshot with a wrong checksum")
	}
	snapshot := &controlpb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "snapshot does not decode")
	}
	return snapshot, nil
}
